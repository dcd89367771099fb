//! `fighall-load`: open-loop load against entry hosts.

#![forbid(unsafe_code)]

use fighall_tools::{access, loading};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = loading::command().get_matches();
    access::run(loading::run(matches))
}
