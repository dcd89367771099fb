//! `fighall-publish`: checks and publishes service files.

#![forbid(unsafe_code)]

use fighall_tools::{access, publishing};
use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = publishing::command().get_matches();
    access::run(publishing::run(matches))
}
