//! Runs scripted scenarios and reports every expectation that did not hold.

#![forbid(unsafe_code)]

use clap::{Arg, ArgAction, Command, crate_version};
use fighall_testkit::scenario;
use std::{fs, process::ExitCode};

/// An expectation did not hold, or a script is wrong.
const EXIT_FAILED: u8 = 1;
/// A file could not be read.
const EXIT_INPUT: u8 = 2;

fn main() -> ExitCode {
    let matches = command().get_matches();
    let mut code = ExitCode::SUCCESS;
    for path in matches.get_many::<String>("file").into_iter().flatten() {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                eprintln!("{path}: {error}");
                return ExitCode::from(EXIT_INPUT);
            }
        };
        match scenario::run(path, &text) {
            Ok(()) => println!("{path}: holds"),
            Err(findings) => {
                eprintln!("{findings}");
                code = ExitCode::from(EXIT_FAILED);
            }
        }
    }
    code
}

fn command() -> Command {
    Command::new("fighall-scenario")
        .version(crate_version!())
        .about("Runs scripted scenarios on loopback, one after another")
        .after_help("Exit codes: 0 all hold, 1 an expectation failed, 2 a file cannot be read")
        .arg(
            Arg::new("file")
                .help("Scenario in the Rhai language; see the folder scenarios")
                .value_name("FILE")
                .action(ArgAction::Append)
                .required(true),
        )
}
