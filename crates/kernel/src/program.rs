//! Command line of the daemons: arguments, settings and exit codes.

use clap::{Arg, ArgAction, Command};
use std::{fmt::Display, process::ExitCode};

/// Exit code for settings that cannot be loaded or have findings.
const EXIT_INVALID_SETTINGS: u8 = 1;
/// Exit code for a daemon that failed to start.
const EXIT_START_FAILED: u8 = 5;

/// `ProgramOptions` holds the parts of the command line that differ between daemons.
#[derive(Clone, Debug, Default)]
pub struct ProgramOptions {
    /// Name of the program.
    pub name: String,
    /// Description in one line, for `--help`.
    pub about: String,
    /// Environment variable with the path of the settings file, used if the argument is absent.
    pub settings_variable: Option<String>,
}

/// Parses the command line, loads the settings file with `load` and runs the daemon with `run`, which
/// also receives the path of the settings file. With `--check` the settings are only loaded.
pub fn run_program<S, L: Display, R: Display>(
    options: &ProgramOptions,
    load: impl FnOnce(&str) -> Result<S, L>,
    run: impl FnOnce(S, String) -> Result<(), R>,
) -> ExitCode {
    let matches = command(options).get_matches();
    let path = matches
        .get_one::<String>("settings")
        .cloned()
        .unwrap_or_default();
    let settings = match load(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        println!("{path}: no findings");
        return ExitCode::SUCCESS;
    }
    match run(settings, path) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_START_FAILED)
        }
    }
}

fn command(options: &ProgramOptions) -> Command {
    let mut settings = Arg::new("settings")
        .required(true)
        .help("Settings file: JSON with comments");
    if let Some(variable) = &options.settings_variable {
        settings = settings.env(variable.clone());
    }
    Command::new(options.name.clone())
        .version(clap::crate_version!())
        .about(options.about.clone())
        .after_help("Exit codes: 0 stopped as planned, 1 findings, 2 usage, 5 could not start")
        .arg(settings)
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Only checks the settings"),
        )
}
