//! One run of the soak from a seed.

use crate::{
    caller, check,
    fault::{self, FaultKind},
    prober,
    world::SoakWorld,
};
use fighall_core::clock::boot_time;
use std::{cell::Cell, io::Result, path::PathBuf, rc::Rc, time::Duration};

/// Time for the hosts to start.
const START_TIME: Duration = Duration::from_secs(2);
/// Time after the last fault within which everything has to be served again.
const RECOVER_TIME: Duration = Duration::from_secs(6);
/// Time of the quiet traffic at the end.
const QUIET_TIME: Duration = Duration::from_secs(2);

/// `SoakOptions` are the size and the seed of a run.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Gateway program.
    pub program: PathBuf,
    /// Gateway program of another build: half of the hosts start with it, and each later start of a host
    /// changes its build.
    pub second_program: Option<PathBuf>,
    /// Folder for settings and logs.
    pub folder: PathBuf,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Time during which faults start.
    pub length: Duration,
    /// Hosts.
    pub hosts: usize,
    /// Targets.
    pub targets: usize,
    /// Callers.
    pub callers: u64,
    /// Keys that no caller uses, which make the policy large.
    pub padding_keys: usize,
    /// Kinds of faults.
    pub kinds: Vec<FaultKind>,
}

/// `SoakReport` is what a run came to.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// Requests sent.
    pub requests: usize,
    /// Requests on routes that change.
    pub probes: usize,
    /// Longest time for which a host without a disturbance used a version after a later one was acknowledged.
    pub latest_use: Duration,
    /// Promises that were broken.
    pub findings: Vec<String>,
}

/// Plays one run.
///
/// # Errors
///
/// Returns the error of a socket, a file or a process of the soak's own.
pub async fn play(options: &SoakOptions) -> Result<SoakReport> {
    std::fs::create_dir_all(&options.folder)?;
    let mut programs = vec![options.program.clone()];
    programs.extend(options.second_program.clone());
    let world = SoakWorld::new(
        &programs,
        &options.folder,
        options.hosts,
        options.targets,
        options.padding_keys,
    )
    .await?;
    compio::time::sleep(START_TIME).await;
    let stopped = Rc::new(Cell::new(false));
    let mut callers = Vec::new();
    for number in 0..options.callers {
        let seed = options.seed.wrapping_mul(1_000_003).wrapping_add(number);
        let task = caller::call(Rc::clone(&world), seed, Rc::clone(&stopped));
        callers.push(compio::runtime::spawn(task));
    }
    for host in 0..options.hosts {
        let seed = options.seed.wrapping_add(u64::try_from(host).unwrap_or(0));
        let task = prober::probe(Rc::clone(&world), host, seed, Rc::clone(&stopped));
        callers.push(compio::runtime::spawn(task));
    }
    let faults_ended = Rc::new(Cell::new(false));
    let kinds = options.kinds.clone();
    let causing = fault::cause(
        Rc::clone(&world),
        options.seed,
        kinds,
        Rc::clone(&faults_ended),
    );
    let causing = compio::runtime::spawn(causing);
    compio::time::sleep(options.length).await;
    faults_ended.set(true);
    let _ = causing.await;
    compio::time::sleep(RECOVER_TIME).await;
    let quiet_from = boot_time();
    compio::time::sleep(QUIET_TIME).await;
    stopped.set(true);
    for task in callers {
        let _ = task.await;
    }
    Ok(SoakReport {
        probes: world.versions.probe_count(),
        latest_use: world.versions.latest_use(),
        requests: world.ledger.with_records(<[_]>::len),
        findings: check::findings(&world, quiet_from),
    })
}
