//! `fighall-entry`: the daemon of every entry host.
//!
//! Exit codes: 0 after a planned stop or a clean check, 1 for findings in the settings, 2 for
//! wrong arguments, 5 when the daemon could not start.

#![forbid(unsafe_code)]

use clap::{Arg, ArgAction, Command};
use fighall_core::log::new_logger;
use fighall_entry::{
    errors::{Error, Result},
    node::EntryNode,
    settings::EntrySettings,
};
use fighall_kernel::kernel::stop_requested;
use slog::info;
use std::process::ExitCode;

/// Exit code for findings in the settings.
const EXIT_FINDINGS: u8 = 1;
/// Exit code for a daemon that could not start.
const EXIT_START: u8 = 5;

fn command() -> Command {
    Command::new("fighall-entry")
        .version(clap::crate_version!())
        .about("The daemon of every entry host of fighall")
        .after_help("Exit codes: 0 stopped as planned, 1 findings, 2 usage, 5 could not start")
        .arg(
            Arg::new("settings")
                .required(true)
                .help("Settings file: JSON with comments"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings"),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let path = matches
        .get_one::<String>("settings")
        .cloned()
        .unwrap_or_default();
    let settings = match EntrySettings::load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_FINDINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{path}: no findings");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START)
        }
    }
}

fn run(settings: EntrySettings) -> Result<()> {
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::io("starting the runtime", error))?;
    runtime.block_on(async {
        let logger = new_logger(&settings.host, settings.log_level);
        let node = EntryNode::start(settings, logger.clone()).await?;
        let identity = node.identity();
        info!(logger, "listening";
            "callers" => &identity.caller_address,
            "peers" => &identity.peer_address,
            "forwards" => &identity.forward_address,
            "operators" => &identity.operator_address,
        );
        stop_requested().await;
        node.stop().await;
        Ok(())
    })
}
