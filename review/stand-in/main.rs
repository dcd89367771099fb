//! Plays the cases of the review against processes of the system under test.
//!
//! `stand-in CASE RECORD` exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod cases;
mod host;
mod http;
mod json;
mod proxy;
mod store;
mod target;
mod world;

use std::{env, path::Path, process::ExitCode};

fn main() -> ExitCode {
    let arguments: Vec<_> = env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        eprintln!("usage: stand-in CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Path::new(record);
    let held = match case.as_str() {
        "silent-watches" => cases::silent_watches(record, trouble),
        "missed-removals" => cases::missed_removals(record, trouble),
        "abandoned-pipelines" => cases::abandoned_pipelines(record, trouble),
        "large-bodies" => cases::large_bodies(record, trouble),
        _ => None,
    };
    match held {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
