//! `fighall-soak`: plays seeds of the fault soak.
//!
//! Exit codes: 0 without findings, 1 with findings, 2 for wrong arguments, 5 when a run could not be
//! played.

#![forbid(unsafe_code)]

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use fighall_soak::{
    fault::{ALL_FAULTS, FaultKind},
    run::{SoakOptions, play},
};
use std::{path::PathBuf, process::ExitCode, time::Duration};

fn command() -> Command {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name)
            .long(name)
            .default_value(default)
            .value_parser(value_parser!(u64))
            .help(help)
    };
    Command::new("fighall-soak")
        .version(clap::crate_version!())
        .about("Plays seeds of the fault soak on this machine")
        .after_help("Exit codes: 0 no findings, 1 findings, 2 usage, 5 could not be played")
        .arg(
            Arg::new("program")
                .required(true)
                .help("The gateway program, such as target/release/fighall-gateway"),
        )
        .arg(
            Arg::new("second-program")
                .long("second-program")
                .help("The gateway program of another build, which half of the hosts start with"),
        )
        .arg(number("seed", "1", "First seed"))
        .arg(number("seeds", "1", "Number of seeds"))
        .arg(number("seconds", "15", "Time during which faults start"))
        .arg(number("hosts", "6", "Hosts"))
        .arg(number("targets", "8", "Targets"))
        .arg(number("callers", "16", "Callers"))
        .arg(number(
            "padding-keys",
            "0",
            "Keys that no caller uses, which make the policy large",
        ))
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .value_parser(ALL_FAULTS.map(|kind| format!("{kind:?}")))
                .help("Kind of fault to start, once or more often; all kinds by default"),
        )
        .arg(
            Arg::new("folder")
                .long("folder")
                .default_value("target/soak")
                .help("Folder for settings and logs"),
        )
}

fn chosen_kinds(matches: &ArgMatches) -> Vec<FaultKind> {
    let Some(names) = matches.get_many::<String>("fault") else {
        return ALL_FAULTS.to_vec();
    };
    let kind_of = |name: &String| {
        let mut kinds = ALL_FAULTS.into_iter();
        kinds.find(|kind| format!("{kind:?}") == *name)
    };
    names.filter_map(kind_of).collect()
}

fn main() -> ExitCode {
    let matches = command().get_matches();
    let number = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let count = |name: &str| usize::try_from(number(name)).unwrap_or(1);
    let Ok(runtime) = compio::runtime::Runtime::new() else {
        eprintln!("the runtime could not be started");
        return ExitCode::from(5);
    };
    let kinds = chosen_kinds(&matches);
    let mut failed = false;
    for seed in number("seed")..number("seed") + number("seeds") {
        let options = SoakOptions {
            program: PathBuf::from(text("program")),
            second_program: matches
                .get_one::<String>("second-program")
                .map(PathBuf::from),
            folder: PathBuf::from(text("folder")).join(format!("seed-{seed}")),
            seed,
            length: Duration::from_secs(number("seconds")),
            hosts: count("hosts"),
            targets: count("targets"),
            callers: number("callers"),
            padding_keys: count("padding-keys"),
            kinds: kinds.clone(),
        };
        match runtime.block_on(play(&options)) {
            Ok(report) => {
                println!(
                    "seed {seed}: {} requests, {} on changing routes, an older policy used for {:?} at most, {} findings",
                    report.requests,
                    report.probes,
                    report.latest_use,
                    report.findings.len()
                );
                for finding in &report.findings {
                    println!("  {finding}");
                }
                failed |= !report.findings.is_empty();
            }
            Err(error) => {
                eprintln!("seed {seed}: {error}");
                return ExitCode::from(5);
            }
        }
    }
    ExitCode::from(u8::from(failed))
}
