//! Faults from a seed: which, when, for how long. They come in series and overlap.

use crate::{
    host::HostProcess,
    ledger::{FaultSpan, LimitSpan},
    refusals::copy_refusals,
    versions::HostDisturbance,
    world::{SoakTarget, SoakWorld},
};
use fighall_core::clock::boot_time;
use fighall_testkit::{faults::StoreFaults, relay::RelayFaults};
use rustix::process::Signal;
use std::{cell::Cell, io::Result, rc::Rc, time::Duration};

/// Shortest and longest time of a fault, in milliseconds.
const FAULT_MS: (u64, u64) = (300, 4_000);
/// Longest pause between the starts of two faults, in milliseconds.
const GAP_MS: u64 = 1_500;
/// Longest time for which the store is away before it comes back from a copy, and longest time from then
/// until what it lost is written again, in milliseconds.
const RESTORE_MS: u64 = 800;
/// Highest limit that a target names, in tenths of a request per second, and the factor on the length of a
/// fault by which each limit stays: limits are checked over windows of several seconds.
const MAX_LIMIT_TENTHS: u64 = 200;
const LIMIT_LENGTH_FACTOR: u32 = 2;
/// Bound of a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(6);
/// Time for which a draining target goes on serving after it said so.
const DRAIN_TIME: Duration = Duration::from_secs(3);

/// `FaultKind` is what a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// The store breaks every connection.
    StoreDown,
    /// The store answers late.
    StoreSlow,
    /// The store loses answers of writes.
    StoreLosesAnswers,
    /// Watches of the store hear nothing.
    StoreSilent,
    /// The store goes away and comes back from a copy some seconds old.
    StoreRestored,
    /// One host's connections to the store go silent.
    StoreSilentForHost,
    /// One host gets nothing from the store.
    StoreCutForHost,
    /// A host is killed and starts again.
    HostKill,
    /// A host stops as planned and starts again.
    HostStop,
    /// A host stands still.
    HostPause,
    /// All hosts are killed and start again.
    AllKill,
    /// All hosts stop as planned, one after the other, and start again.
    AllStop,
    /// A target's connections are reset.
    TargetReset,
    /// A target's open connections go silent.
    TargetSilent,
    /// A target hears nothing, or is not heard.
    TargetOneWay,
    /// A target answers late.
    TargetSlow,
    /// A target's connections close before an answer, or within one.
    TargetBroken,
    /// A target leaves as planned and another one comes.
    TargetReplaced,
    /// A target ends without a word and another one comes.
    TargetLost,
    /// A target names a rate limit, changes it and ends it.
    TargetLimited,
    /// A key is withdrawn.
    KeyWithdrawn,
    /// A route is added, removed, moved or split.
    PolicyChanged,
    /// A host reads its settings again.
    HostReload,
    /// Targets shed requests, copy refusals and start again under new names.
    RefusalsCopied,
}

/// All kinds of faults.
pub const ALL_FAULTS: [FaultKind; 24] = [
    FaultKind::StoreDown,
    FaultKind::StoreSlow,
    FaultKind::StoreLosesAnswers,
    FaultKind::StoreSilent,
    FaultKind::StoreSilentForHost,
    FaultKind::StoreCutForHost,
    FaultKind::HostKill,
    FaultKind::HostStop,
    FaultKind::HostPause,
    FaultKind::AllKill,
    FaultKind::AllStop,
    FaultKind::TargetReset,
    FaultKind::TargetSilent,
    FaultKind::TargetOneWay,
    FaultKind::TargetSlow,
    FaultKind::TargetBroken,
    FaultKind::TargetReplaced,
    FaultKind::TargetLost,
    FaultKind::KeyWithdrawn,
    FaultKind::PolicyChanged,
    FaultKind::HostReload,
    FaultKind::StoreRestored,
    FaultKind::TargetLimited,
    FaultKind::RefusalsCopied,
];

impl FaultKind {
    /// Tells whether the fault is planned work, which must cut no request.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::HostStop
                | Self::AllStop
                | Self::TargetReplaced
                | Self::KeyWithdrawn
                | Self::PolicyChanged
                | Self::HostReload
                | Self::TargetLimited
        )
    }

    /// Tells whether the fault restarts or pauses hosts.
    pub fn stops_hosts(self) -> bool {
        matches!(
            self,
            Self::HostKill | Self::HostStop | Self::HostPause | Self::AllKill | Self::AllStop
        )
    }
}

/// Starts faults until `stopped` is set; each runs in a task of its own.
pub async fn cause(
    world: Rc<SoakWorld>,
    seed: u64,
    kinds: Vec<FaultKind>,
    stopped: Rc<Cell<bool>>,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut tasks = Vec::new();
    while !stopped.get() {
        compio::time::sleep(Duration::from_millis(random.u64(100..GAP_MS))).await;
        let Some(kind) = random.choice(kinds.iter().copied()) else {
            break;
        };
        let length = Duration::from_millis(random.u64(FAULT_MS.0..FAULT_MS.1));
        let pick = random.u64(..);
        tasks.push(compio::runtime::spawn(run(
            Rc::clone(&world),
            kind,
            length,
            pick,
        )));
    }
    for task in tasks {
        let _ = task.await;
    }
}

async fn run(world: Rc<SoakWorld>, kind: FaultKind, length: Duration, pick: u64) {
    let from = boot_time();
    let name = format!("{kind:?} {pick:x}");
    if let Err(error) = act(&world, kind, length, pick).await {
        eprintln!("{name}: {error}");
    }
    for host in disturbed_hosts(&world, kind, pick) {
        let to = boot_time();
        let disturbance = HostDisturbance { host, from, to };
        world.versions.add_disturbance(disturbance);
    }
    world.ledger.note_fault(FaultSpan {
        name,
        planned: kind.is_planned(),
        stops_hosts: kind.stops_hosts(),
        from,
        to: boot_time(),
    });
}

async fn act(world: &SoakWorld, kind: FaultKind, length: Duration, pick: u64) -> Result<()> {
    match kind {
        FaultKind::StoreDown
        | FaultKind::StoreSlow
        | FaultKind::StoreLosesAnswers
        | FaultKind::StoreSilent => disturb_store(world, kind, length).await,
        FaultKind::StoreRestored => restore_store(world, length, pick).await?,
        FaultKind::StoreSilentForHost => any_host(world, pick).store.silence(),
        FaultKind::StoreCutForHost => {
            let relay = &any_host(world, pick).store;
            let cut = RelayFaults {
                hold_back: true,
                ..RelayFaults::default()
            };
            relay.set_faults(cut);
            compio::time::sleep(length).await;
            relay.set_faults(RelayFaults::default());
        }
        FaultKind::HostKill => {
            let host = any_host(world, pick);
            host.signal(Signal::KILL)?;
            compio::time::sleep(length / 4).await;
            host.start()?;
        }
        FaultKind::HostStop => stop(world, host_index(world, pick)).await?,
        FaultKind::HostPause => {
            let host = any_host(world, pick);
            host.signal(Signal::STOP)?;
            compio::time::sleep(length).await;
            host.signal(Signal::CONT)?;
        }
        FaultKind::AllKill => {
            for host in &world.hosts {
                host.signal(Signal::KILL)?;
            }
            compio::time::sleep(length / 4).await;
            for host in &world.hosts {
                host.start()?;
            }
        }
        FaultKind::AllStop => {
            for index in 0..world.hosts.len() {
                stop(world, index).await?;
            }
        }
        FaultKind::HostReload => any_host(world, pick).signal(Signal::HUP)?,
        FaultKind::KeyWithdrawn => withdraw(world, pick)?,
        FaultKind::PolicyChanged => world.change_route(pick)?,
        FaultKind::RefusalsCopied => copy_refusals(world, length, pick).await?,
        _ => disturb_target(world, kind, length, pick).await?,
    }
    Ok(())
}

async fn disturb_store(world: &SoakWorld, kind: FaultKind, length: Duration) {
    world.store.set_faults(StoreFaults {
        down: kind == FaultKind::StoreDown,
        delay_ms: if kind == FaultKind::StoreSlow { 300 } else { 0 },
        lost_answer_percent: if kind == FaultKind::StoreLosesAnswers {
            60
        } else {
            0
        },
        silent_watches: kind == FaultKind::StoreSilent,
        stale_reads: false,
    });
    compio::time::sleep(length).await;
    world.store.set_faults(StoreFaults::default());
}

// Authors and targets notice within a moment that the store lost what they wrote.
async fn restore_store(world: &SoakWorld, length: Duration, pick: u64) -> Result<()> {
    let copy = world.store.copy();
    compio::time::sleep(length).await;
    world.store.set_faults(StoreFaults {
        down: true,
        ..StoreFaults::default()
    });
    compio::time::sleep(Duration::from_millis(pick % RESTORE_MS)).await;
    world.store.restore(copy);
    world.store.set_faults(StoreFaults::default());
    compio::time::sleep(Duration::from_millis((pick >> 16) % RESTORE_MS)).await;
    world.write_again()
}

async fn disturb_target(
    world: &SoakWorld,
    kind: FaultKind,
    length: Duration,
    pick: u64,
) -> Result<()> {
    let name = {
        let listed = world.listed.borrow();
        let index = usize::try_from(pick).unwrap_or(0) % listed.len().max(1);
        listed.get(index).cloned().unwrap_or_default()
    };
    let target = world.targets.borrow().get(&name).cloned();
    let Some(target) = target else {
        return Ok(());
    };
    match kind {
        FaultKind::TargetReset => target.relay.reset(),
        FaultKind::TargetSilent => target.relay.silence(),
        FaultKind::TargetOneWay | FaultKind::TargetSlow => {
            let slow = kind == FaultKind::TargetSlow;
            target.relay.set_faults(RelayFaults {
                delay: if slow {
                    Duration::from_millis(150)
                } else {
                    Duration::ZERO
                },
                hold_there: !slow && pick.is_multiple_of(2),
                hold_back: !slow && !pick.is_multiple_of(2),
            });
            compio::time::sleep(length).await;
            target.relay.set_faults(RelayFaults::default());
        }
        FaultKind::TargetBroken => {
            target.stand_in.change(|behaviour| {
                behaviour.early_close_percent = 20;
                behaviour.cut_percent = 20;
            });
            compio::time::sleep(length).await;
            target.stand_in.change(|behaviour| {
                behaviour.early_close_percent = 0;
                behaviour.cut_percent = 0;
            });
        }
        FaultKind::TargetLimited => limit_target(world, &target, length, pick).await,
        FaultKind::TargetReplaced => {
            world.add_target().await?;
            world.drain_target(&name)?;
            compio::time::sleep(DRAIN_TIME).await;
            world.remove_target(&name);
        }
        FaultKind::TargetLost => {
            world.add_target().await?;
            target.stand_in.close();
            compio::time::sleep(length).await;
            world.remove_target(&name);
        }
        _ => {}
    }
    Ok(())
}

// The target names two limits, one after the other.
async fn limit_target(world: &SoakWorld, target: &SoakTarget, length: Duration, pick: u64) {
    let set_limits = |limits: Vec<String>| {
        let mut was_limited = false;
        target.stand_in.change(|behaviour| {
            was_limited = !behaviour.limits.is_empty();
            behaviour.limits = limits;
        });
        was_limited
    };
    let named_at = boot_time();
    for (number, bits) in [pick >> 16, pick >> 24].into_iter().enumerate() {
        let tenths = u32::try_from(bits % MAX_LIMIT_TENTHS).unwrap_or(0);
        let rate = f64::from(tenths) / 10.0;
        let from = boot_time();
        if set_limits(vec![rate.to_string()]) && number == 0 {
            return;
        }
        compio::time::sleep(length * LIMIT_LENGTH_FACTOR).await;
        world.ledger.note_limit(LimitSpan {
            target: target.stand_in.name().to_owned(),
            rate,
            named_at,
            from,
            to: boot_time(),
        });
    }
    set_limits(Vec::new());
}

// One key of the organisation is withdrawn; another one takes its place.
fn withdraw(world: &SoakWorld, pick: u64) -> Result<()> {
    let keys: Vec<_> = world.keys().into_iter().collect();
    let index = usize::try_from(pick).unwrap_or(0) % keys.len().max(1);
    let Some((key, organisation)) = keys.get(index) else {
        return Ok(());
    };
    let next = format!("fk_{organisation}_{}", world.number());
    world.publish(|policy| {
        policy.keys.remove(key);
        policy.keys.insert(next, organisation.clone());
    })?;
    world.ledger.note_withdrawn(key, boot_time());
    Ok(())
}

// Another fault may start the host again meanwhile: only the process that was asked to stop is waited
// for, and killed when it does not.
async fn stop(world: &SoakWorld, index: usize) -> Result<()> {
    let host = &world.hosts[index];
    host.signal(Signal::TERM)?;
    let (from, starts) = (boot_time(), host.starts());
    let stops = || host.is_running() && host.starts() == starts;
    while stops() && boot_time().saturating_sub(from) < STOP_LIMIT {
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    if stops() {
        host.signal(Signal::KILL)?;
    }
    while stops() {
        compio::time::sleep(Duration::from_millis(10)).await;
    }
    world.versions.add_disturbance(HostDisturbance {
        host: Some(index),
        from,
        to: boot_time(),
    });
    host.start()
}

fn host_index(world: &SoakWorld, pick: u64) -> usize {
    usize::try_from(pick >> 8).unwrap_or(0) % world.hosts.len()
}

fn any_host(world: &SoakWorld, pick: u64) -> &HostProcess {
    &world.hosts[host_index(world, pick)]
}

// Lists the hosts, by number, whose use of older versions a fault excuses; none stands for the store and so for all.
fn disturbed_hosts(world: &SoakWorld, kind: FaultKind, pick: u64) -> Vec<Option<usize>> {
    match kind {
        FaultKind::StoreDown
        | FaultKind::StoreSlow
        | FaultKind::StoreLosesAnswers
        | FaultKind::StoreSilent
        | FaultKind::StoreRestored
        | FaultKind::AllKill => vec![None],
        FaultKind::StoreSilentForHost
        | FaultKind::StoreCutForHost
        | FaultKind::HostKill
        | FaultKind::HostPause => vec![Some(host_index(world, pick))],
        _ => Vec::new(),
    }
}
