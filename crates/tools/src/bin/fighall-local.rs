//! `fighall-local`: the quick start in one process.

#![forbid(unsafe_code)]

use fighall_tools::{access, tour};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = tour::command().get_matches();
    access::run(tour::run(matches))
}
