//! `fighall-timeline`: the time line of all processes.

#![forbid(unsafe_code)]

use fighall_tools::{access, timeline};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = timeline::command().get_matches();
    access::run(timeline::run(matches))
}
