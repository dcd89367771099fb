//! One gateway process: its settings, its life and the signals that it gets.

use fighall_testkit::{loopback::program_addresses, relay::FaultRelay};
use rustix::process::{Pid, Signal, kill_process};
use std::{
    cell::{Cell, RefCell},
    fs::File,
    io::{Error, Result, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

/// `HostPlace` is where a host stands.
#[derive(Clone, Debug)]
pub struct HostPlace {
    /// Name.
    pub name: String,
    /// Region.
    pub region: String,
    /// Availability zone.
    pub zone: String,
}

/// `HostProcess` is one host, running or not.
#[derive(Debug)]
pub struct HostProcess {
    /// Place.
    pub place: HostPlace,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for look-ups.
    pub directory: SocketAddr,
    /// Relay to the store.
    pub store: FaultRelay,
    programs: Vec<PathBuf>,
    settings: PathBuf,
    log: PathBuf,
    child: RefCell<Option<Child>>,
    starts: Cell<u64>,
}

impl HostProcess {
    /// Writes the settings of a host into `folder`; nothing is started yet. Its starts take turns with
    /// `programs`.
    ///
    /// # Errors
    ///
    /// Returns the error of picking ports or of writing the settings.
    pub async fn new(
        programs: Vec<PathBuf>,
        folder: &Path,
        place: HostPlace,
        zones: &[(String, String)],
        store: SocketAddr,
    ) -> Result<Self> {
        let relay = FaultRelay::start(store.to_string()).await?;
        let [callers, ready, directory, metrics, peers] = program_addresses();
        let mut entries = Vec::new();
        for (zone, region) in zones {
            entries.push(format!(
                "{{\"zone\": \"{zone}\", \"region\": \"{region}\"}}"
            ));
        }
        let text = format!(
            "{{\"host\": \"{}\", \"region\": \"{}\", \"zone\": \"{}\", \"zones\": [{}], \
             \"callers\": \"{callers}\", \"ready\": \"{ready}\", \"directory\": \"{directory}\", \
             \"metrics\": \"{metrics}\", \"peers\": \"{peers}\", \"store\": \"{}\", \
             \"bounds\": [\"revoke=5000\", \"drain=2500\", \"stop=6000\"]}}",
            place.name,
            place.region,
            place.zone,
            entries.join(", "),
            relay.address(),
        );
        let settings = folder.join(format!("{}.json", place.name));
        std::fs::write(&settings, text)?;
        Ok(Self {
            log: folder.join(format!("{}.log", place.name)),
            programs,
            store: relay,
            child: RefCell::new(None),
            starts: Cell::new(0),
            place,
            callers,
            directory,
            settings,
        })
    }

    /// Starts the process, unless it runs.
    ///
    /// # Errors
    ///
    /// Returns the error of starting it.
    pub fn start(&self) -> Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let mut log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let turn = usize::try_from(self.starts.get()).map_err(Error::other)?;
        let program = self.programs.iter().cycle().nth(turn);
        let program = program.ok_or_else(|| Error::other("no program"))?;
        writeln!(log, "start of {}", program.display())?;
        let child = Command::new(program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child.replace(Some(child));
        self.starts.set(self.starts.get() + 1);
        Ok(())
    }

    /// Gets the number of times that the host was started, which tells its processes apart.
    pub fn starts(&self) -> u64 {
        self.starts.get()
    }

    /// Tells whether the process runs. One that has ended is reaped.
    pub fn is_running(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let running = child
            .as_mut()
            .is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        if !running {
            child.take();
        }
        running
    }

    /// Sends a signal to the process, if it runs.
    ///
    /// # Errors
    ///
    /// Returns the error of sending it.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        if !self.is_running() {
            return Ok(());
        }
        let child = self.child.borrow();
        let Some(child) = child.as_ref() else {
            return Ok(());
        };
        let id = i32::try_from(child.id()).map_err(Error::other)?;
        let pid = Pid::from_raw(id).ok_or_else(|| Error::other("no process id"))?;
        kill_process(pid, signal).map_err(Error::from)
    }
}

impl Drop for HostProcess {
    // Only the process that this host started is ended, by its handle.
    fn drop(&mut self) {
        if let Some(mut child) = self.child.borrow_mut().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
