//! `fighall-gateway`: a gateway that uses fighall's native wire dialect.
//!
//! Exit codes: 0 after a graceful shutdown or a check without findings, 1 for invalid settings, 2 for
//! wrong arguments, 5 when the gateway could not start.

#![forbid(unsafe_code)]

use fighall_gateway::{
    daemon::{DaemonOptions, run_daemon},
    native,
};
use fighall_kernel::program::ProgramOptions;
use std::process::ExitCode;

fn main() -> ExitCode {
    run_daemon(DaemonOptions {
        program: ProgramOptions {
            name: "fighall-gateway".to_owned(),
            about: "A gateway of fighall: sends to targets of any region directly".to_owned(),
            settings_variable: None,
        },
        bounds: native::read_bounds,
        dialect: native::dialect(),
    })
}
