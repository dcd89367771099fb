//! Runs a gateway as a daemon: command line, settings, logging and the stop signal.

use crate::{
    dialect::WireDialect,
    errors::{Error, Result},
    node::GatewayNode,
    reload::SettingsFile,
    settings::{BoundsReader, GatewaySettings},
};
use fighall_core::log::new_daemon_logger;
use fighall_kernel::{
    kernel::wait_for_stop_signal,
    program::{ProgramOptions, run_program},
};
use slog::info;
use std::process::ExitCode;

/// `DaemonOptions` are the parts that differ between gateway programs.
#[derive(Clone, Debug)]
pub struct DaemonOptions {
    /// Name, description and settings variable for the command line.
    pub program: ProgramOptions,
    /// Parser of the bounds in the settings.
    pub bounds: BoundsReader,
    /// Wire formats of the deployment.
    pub dialect: WireDialect,
}

/// Runs the gateway until the stop signal. Returns the exit code of the process.
pub fn run_daemon(options: DaemonOptions) -> ExitCode {
    let DaemonOptions {
        program,
        bounds,
        dialect,
    } = options;
    run_program(
        &program,
        |path| GatewaySettings::load(path, bounds),
        |settings, path| run(settings, SettingsFile { path, bounds }, dialect),
    )
}

fn run(settings: GatewaySettings, file: SettingsFile, dialect: WireDialect) -> Result<()> {
    let runtime = compio::runtime::Runtime::new()
        .map_err(|error| Error::io("starting the runtime", error))?;
    runtime.block_on(async {
        let logger = new_daemon_logger(&settings.host, settings.log_level);
        info!(logger, "starting"; "settings" => format!("{settings:?}"));
        let gateway = GatewayNode::start(settings, file, dialect, logger.clone()).await?;
        wait_for_stop_signal().await;
        gateway.stop().await;
        info!(logger, "stopped");
        Ok(())
    })
}
