//! A gateway process of its own, with what the operating system reports of it.

use super::settings;
use fighall_gateway::settings::GatewaySettings;
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

/// Time after which a process has copied the policy and the targets.
const START_TIME: Duration = Duration::from_millis(2_500);

/// `GatewayProcess` is a running process; it is killed on drop.
pub(crate) struct GatewayProcess {
    child: Child,
    /// Settings that the process was started with.
    pub(crate) settings: GatewaySettings,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl GatewayProcess {
    /// Starts a process with `memory_mb` and, if given, a limit on its descriptors.
    pub(crate) async fn start(
        store: SocketAddr,
        memory_mb: usize,
        max_descriptors: Option<usize>,
    ) -> Self {
        let (text, settings) = settings("h1", store, "");
        let memory = format!("\"memory_mb\": {memory_mb}");
        let text = text.replace("\"memory_mb\": 32", &memory);
        let name = format!("gateway_process_{}.json", settings.callers.ip());
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::write(&path, text).expect("a settings file");
        let program = env!("CARGO_BIN_EXE_fighall-gateway");
        let mut command = match max_descriptors {
            None => Command::new(program),
            Some(count) => {
                let mut command = Command::new("sh");
                command.arg("-c");
                command.arg(format!("ulimit -n {count} && exec \"$0\" \"$1\""));
                command.arg(program);
                command
            }
        };
        let command = command.arg(&path).stdout(Stdio::null());
        let child = command.stderr(Stdio::null()).spawn();
        compio::time::sleep(START_TIME).await;
        Self {
            child: child.expect("a process"),
            settings,
        }
    }

    /// Checks that the process is still running.
    pub(crate) fn check_alive(&mut self) {
        let state = self.child.try_wait().expect("a process state");
        assert!(state.is_none(), "the process ended: {state:?}");
    }

    /// Gets the largest resident memory of the process until now.
    pub(crate) fn peak_memory_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("a running process");
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let field = line.and_then(|line| line.split_whitespace().nth(1));
        field.and_then(|text| text.parse().ok()).expect("a size")
    }

    /// Counts the open descriptors of the process.
    pub(crate) fn descriptor_count(&self) -> usize {
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        descriptors.expect("a running process").count()
    }
}
