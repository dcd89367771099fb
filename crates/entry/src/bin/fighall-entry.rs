//! `fighall-entry`: the daemon of every entry host.
//!
//! Exit codes: 0 after a planned stop or a clean check, 1 for findings in the settings, 2 for
//! wrong arguments, 5 when the daemon could not start.

#![forbid(unsafe_code)]

use fighall_core::log::new_logger;
use fighall_entry::{
    errors::{Error, Result},
    node::EntryNode,
    settings::EntrySettings,
};
use fighall_kernel::{
    kernel::wait_for_stop_signal,
    program::{ProgramOptions, run_program},
};
use slog::info;
use std::process::ExitCode;

fn main() -> ExitCode {
    let options = ProgramOptions {
        name: "fighall-entry".to_owned(),
        about: "The daemon of every entry host of fighall".to_owned(),
        settings_variable: None,
    };
    run_program(&options, EntrySettings::load, |settings, _| run(settings))
}

fn run(settings: EntrySettings) -> Result<()> {
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::io("starting the runtime", error))?;
    runtime.block_on(async {
        let logger = new_logger(&settings.host, settings.log_level);
        let node = EntryNode::start(settings, logger.clone()).await?;
        let identity = node.identity();
        info!(logger, "listening";
            "callers" => &identity.caller_address,
            "peers" => &identity.peer_address,
            "forwards" => &identity.forward_address,
            "operators" => &identity.operator_address,
        );
        wait_for_stop_signal().await;
        node.stop().await;
        Ok(())
    })
}
