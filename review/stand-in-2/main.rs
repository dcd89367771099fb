//! Cases of the second independent review. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
//!
//! Usage, in the root of the repository: `stand-in-2 CASE FOLDER`, with `TROUBLE=0` to leave out the disruption.

mod cases;
mod host;
mod http;
mod json;
mod record;
mod store;
mod target;
mod world;

use std::path::Path;
use std::process::ExitCode;

/// Exit code of a case that could not run.
const EXIT_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: stand-in-2 CASE FOLDER");
        return ExitCode::from(EXIT_NOT_RUN);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record_path = Path::new(&folder).join("record.txt");
    let verdict = match case.as_str() {
        "head" => cases::embedded_head(trouble, &record_path),
        "flood" => cases::endless_interim(trouble, &record_path),
        "length" => cases::endless_length(trouble, &record_path),
        "drill" => cases::restart_in_drill(trouble, &record_path),
        _ => None,
    };
    match verdict {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(EXIT_NOT_RUN),
    }
}
