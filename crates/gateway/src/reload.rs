//! Reload of the settings file while the process runs, on `SIGHUP` and at regular intervals.

use crate::{
    errors::Result,
    names,
    router::RequestRouter,
    settings::{BoundsReader, GatewaySettings},
};
use fighall_kernel::kernel::{MicroKernel, SIGHUP};
use futures_util::{FutureExt, pin_mut, select_biased};
use slog::{Logger, info, warn};
use std::{cell::RefCell, rc::Rc, time::Duration};

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
    logger: Rc<Logger>,
    current: RefCell<GatewaySettings>,
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
            logger: kernel.find(names::LOGGER)?,
            current: RefCell::new((*settings).clone()),
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
                warn!(self.logger, "settings not taken; the last ones stay";
                    "findings" => error.to_string());
                return;
            }
        };
        let mut current = self.current.borrow_mut();
        if *current == new_settings {
            if signalled {
                info!(self.logger, "settings unchanged");
            }
            return;
        }
        if !has_same_fixed_settings(&current, &new_settings) {
            warn!(
                self.logger,
                "changed addresses and locations take effect after a restart"
            );
        }
        info!(self.logger, "settings taken"; "bounds" => format!("{:?}", new_settings.bounds));
        self.router.borrow_mut().bounds = new_settings.bounds;
        *current = new_settings;
    }
}

// Tells whether the settings are equal apart from the bounds, the log level and the store call budget. The
// others, such as the bound addresses, stay as they were at the start until a restart.
fn has_same_fixed_settings(current: &GatewaySettings, new_settings: &GatewaySettings) -> bool {
    let new_settings = GatewaySettings {
        bounds: current.bounds,
        log_level: current.log_level,
        store_calls: current.store_calls,
        ..new_settings.clone()
    };
    *current == new_settings
}
