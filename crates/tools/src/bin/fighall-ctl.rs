//! `fighall-ctl`: the operators' command line.

#![forbid(unsafe_code)]

use fighall_tools::{access, control};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = control::command().get_matches();
    access::run(control::run(matches))
}
