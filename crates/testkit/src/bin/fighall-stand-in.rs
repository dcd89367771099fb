//! `fighall-stand-in`: small stand-ins of the platform and of targets, for trials and tests.

#![forbid(unsafe_code)]

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fighall_kernel::kernel::wait_for_stop_signal;
use fighall_testkit::{
    behaviour::TargetBehaviour, platform::PlatformStandIn, target::TargetStandIn,
};
use std::{net::SocketAddr, process::ExitCode};

/// Exit code for a stand-in that could not start.
const EXIT_START: u8 = 5;

fn command() -> Command {
    let listen = |default: &'static str| {
        Arg::new("listen")
            .long("listen")
            .value_name("IP:PORT")
            .value_parser(value_parser!(SocketAddr))
            .default_value(default)
            .help("Address to listen on")
    };
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .value_parser(value_parser!(u32))
            .default_value(default)
            .help(help)
    };
    Command::new("fighall-stand-in")
        .version(clap::crate_version!())
        .about("Small stand-ins of the platform's store and of targets")
        .after_help("Exit codes: 0 stopped, 2 usage, 5 could not start")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("platform")
                .about("An object store in memory; faults are set by PUT /.stand-in/faults")
                .arg(listen("127.0.0.1:7700")),
        )
        .subcommand(
            Command::new("target")
                .about("A target; its behaviour is set by PUT /.stand-in/behaviour")
                .arg(listen("127.0.0.1:7800"))
                .arg(
                    Arg::new("name")
                        .long("name")
                        .default_value("target")
                        .help("Name of the target"),
                )
                .arg(number("slots", "9", "Requests at once"))
                .arg(number("service-us", "5000", "Service time in microseconds"))
                .arg(number(
                    "probe-us",
                    "6000",
                    "Time of a probe in microseconds",
                ))
                .arg(number(
                    "cold-us",
                    "0",
                    "Additional time while the cache is cold",
                ))
                .arg(number(
                    "warm-after",
                    "0",
                    "Requests after which the cache is warm",
                ))
                .arg(
                    Arg::new("sheds")
                        .long("sheds")
                        .action(ArgAction::SetTrue)
                        .help("Refuses requests beyond the slots with the \"not run\" mark"),
                ),
        )
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let runtime = match compio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return failed(&error),
    };
    let outcome = runtime.block_on(async {
        match matches.subcommand() {
            Some(("target", matches)) => run_target(matches).await,
            Some((_, matches)) => run_platform(matches).await,
            None => Ok(()),
        }
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => failed(&error),
    }
}

fn failed(error: &std::io::Error) -> ExitCode {
    eprintln!("the stand-in could not start: {error}");
    ExitCode::from(EXIT_START)
}

fn address_of(matches: &ArgMatches) -> SocketAddr {
    let address = matches.get_one::<SocketAddr>("listen").copied();
    address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)))
}

async fn run_platform(matches: &ArgMatches) -> std::io::Result<()> {
    let platform = PlatformStandIn::start(address_of(matches), 1).await?;
    println!("platform at {}", platform.address());
    wait_for_stop_signal().await;
    Ok(())
}

async fn run_target(matches: &ArgMatches) -> std::io::Result<()> {
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(0);
    let behaviour = TargetBehaviour {
        slots: number("slots"),
        service_us: u64::from(number("service-us")),
        probe_us: u64::from(number("probe-us")),
        cold_us: u64::from(number("cold-us")),
        warm_after: u64::from(number("warm-after")),
        sheds: matches.get_flag("sheds"),
        ..TargetBehaviour::default()
    };
    let name = matches
        .get_one::<String>("name")
        .cloned()
        .unwrap_or_default();
    let target = TargetStandIn::start(&name, address_of(matches), behaviour).await?;
    println!("target {name} at {}", target.address());
    wait_for_stop_signal().await;
    Ok(())
}
