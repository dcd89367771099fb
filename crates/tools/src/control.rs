//! `fighall-ctl`: the operators' command line.

use crate::{
    access::{FleetAccess, with_operator_arguments},
    codes, drains,
    errors::Result,
    explain, keys, moves, overview, timeline,
};
use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::{Shell, generate};

/// Creates the command line.
pub fn command() -> Command {
    let command = Command::new("fighall-ctl")
        .version(clap::crate_version!())
        .about("Operates a fleet of fighall")
        .after_help(codes::HELP)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("status").about("Shows hosts, shares, headroom and organisations"))
        .subcommand(keys::command())
        .subcommand(drains::drain_command())
        .subcommand(drains::undrain_command())
        .subcommand(moves::command())
        .subcommand(explain::command())
        .subcommand(
            Command::new("trace")
                .about("Follows one request over all hosts")
                .arg(
                    Arg::new("request")
                        .required(true)
                        .help("Identifier of the request"),
                ),
        )
        .subcommand(
            Command::new("completion")
                .about("Prints the completion script of a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(value_parser!(Shell)),
                ),
        );
    with_operator_arguments(command)
}

/// Runs the command line.
///
/// # Errors
///
/// Returns the errors of the subcommand.
pub async fn run(matches: ArgMatches) -> Result<()> {
    let Some((name, arguments)) = matches.subcommand() else {
        return Ok(());
    };
    if name == "completion" {
        print_completion(arguments);
        return Ok(());
    }
    let access = FleetAccess::new(arguments)?;
    match name {
        "status" => overview::run(&access).await,
        "key" => keys::run(&access, arguments).await,
        "drain" => drains::drain(&access, arguments).await,
        "undrain" => drains::undrain(&access, arguments).await,
        "move" => moves::run(&access, arguments).await,
        "explain" => explain::run(&access, arguments).await,
        "trace" => timeline::trace(&access, arguments).await,
        _ => Ok(()),
    }
}

fn print_completion(matches: &ArgMatches) {
    let Some(shell) = matches.get_one::<Shell>("shell").copied() else {
        return;
    };
    generate(shell, &mut command(), "fighall-ctl", &mut std::io::stdout());
}
