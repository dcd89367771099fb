//! Reload of the settings file while the process runs, on `SIGHUP` and at regular intervals.

use crate::{
    errors::Result,
    names,
    router::RequestRouter,
    settings::{BoundsReader, GatewaySettings},
    settings_status::{self, SettingsStatus, format_digest},
};
use fighall_kernel::kernel::{MicroKernel, SIGHUP};
use futures_util::{FutureExt, pin_mut, select_biased};
use slog::{Logger, info, warn};
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

/// Interval at which the settings file is read again, since it may change without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// `SettingsFile` is the file that the settings are loaded from.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// Path of the file.
    pub path: String,
    /// Parses the bounds in it, in the platform's format.
    pub bounds: BoundsReader,
}

/// `SettingsReload` applies changes of the settings file.
pub struct SettingsReload {
    file: SettingsFile,
    router: Rc<RefCell<RequestRouter>>,
    status: Rc<Cell<SettingsStatus>>,
    logger: Rc<Logger>,
    // Settings that the process started with, and those that were read last.
    started: Rc<GatewaySettings>,
    read: RefCell<GatewaySettings>,
    // Findings of the file as it is now; empty if it has none.
    rejected: RefCell<String>,
}

impl std::fmt::Debug for SettingsReload {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SettingsReload")
            .field("file", &self.file)
            .finish_non_exhaustive()
    }
}

impl SettingsReload {
    /// Creates a reload of a file whose settings are already in force.
    ///
    /// # Errors
    ///
    /// Returns an error if a required service is not registered.
    pub fn new(kernel: &MicroKernel, file: SettingsFile) -> Result<Self> {
        let settings: Rc<GatewaySettings> = kernel.find(names::SETTINGS)?;
        Ok(Self {
            file,
            router: kernel.find(names::ROUTER)?,
            status: kernel.find(names::SETTINGS_STATUS)?,
            logger: kernel.find(names::LOGGER)?,
            read: RefCell::new((*settings).clone()),
            started: settings,
            rejected: RefCell::new(String::new()),
        })
    }

    /// Reads the file on each `SIGHUP` and at regular intervals until the process ends.
    pub async fn watch_file(self: Rc<Self>) {
        loop {
            let signalled = {
                let signal = compio::signal::unix::signal(SIGHUP).fuse();
                let interval = compio::time::sleep(READ_INTERVAL).fuse();
                pin_mut!(signal, interval);
                select_biased! {
                    _ = signal => true,
                    () = interval => false,
                }
            };
            self.reload(signalled);
        }
    }

    fn reload(&self, signalled: bool) {
        let new_settings = match GatewaySettings::load(&self.file.path, self.file.bounds) {
            Ok(settings) => settings,
            Err(error) => {
                self.report_rejection(error.to_string());
                return;
            }
        };
        self.rejected.borrow_mut().clear();
        if *self.read.borrow() == new_settings {
            if signalled {
                info!(self.logger, "settings unchanged");
            }
            return;
        }
        let in_force = settings_status::in_force(&self.started, &new_settings);
        let status = SettingsStatus::new(&in_force);
        let fixed = settings_status::fixed_changes(&self.started, &new_settings);
        if !fixed.is_empty() {
            warn!(self.logger, "changed settings that take effect after a restart";
                "settings" => fixed.join(", "));
        }
        info!(self.logger, "settings taken"; "bounds" => format!("{:?}", in_force.bounds),
            "settings" => format_digest(status.shared), "own_settings" => format_digest(status.own),
            "signalled" => signalled);
        self.router.borrow_mut().bounds = in_force.bounds;
        self.status.set(status);
        self.read.replace(new_settings);
    }

    // The file is read every few seconds, but each fault is reported once.
    fn report_rejection(&self, findings: String) {
        if *self.rejected.borrow() == findings {
            return;
        }
        warn!(self.logger, "settings not taken; the last ones stay"; "findings" => &findings,
            "settings" => format_digest(self.status.get().shared));
        self.rejected.replace(findings);
    }
}
