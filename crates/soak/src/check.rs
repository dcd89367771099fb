//! The promises, checked from what callers and targets have seen.

use crate::{
    ledger::{CallerOutcome, CallerRecord, LimitSpan},
    world::{ORG_RATE, ORGANISATIONS, SoakWorld},
};
use fighall_core::ids::BootTime;
use std::{collections::BTreeMap, time::Duration};

/// Time after which a withdrawn key is dead, also on hosts that are cut off.
const REVOKE: Duration = Duration::from_secs(5);
/// Time after which a leaving target gets nothing from hosts that the store serves.
const DRAIN: Duration = Duration::from_millis(2_500);
/// Time before a moment in which faults still excuse what happens at it.
const CONTACT: Duration = Duration::from_secs(3);
/// Window of an organisation's rate.
const RATE_WINDOW: Duration = Duration::from_secs(5);
/// Factor and requests by which the rate and burst may be exceeded.
const RATE_SLACK: (f64, f64) = (1.1, 20.0);
/// Window over which the limits of targets are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Factor and requests by which the limit of a target may be exceeded in a window.
const LIMIT_SLACK: (f64, f64) = (1.5, 5.0);
/// Time after which hosts have to keep to a limit that a target has told them of.
const TOLD_AFTER: Duration = Duration::from_millis(500);
/// Part of the requests that is served in the quiet time at the end.
const QUIET_PART: f64 = 0.9;

/// Lists every promise that the run broke.
pub fn findings(world: &SoakWorld, quiet_from: BootTime) -> Vec<String> {
    let runs = all_runs(world);
    let mut findings = Vec::new();
    world.ledger.with_records(|records| {
        for record in records {
            check_record(world, record, &runs, &mut findings);
        }
        check_quiet(records, quiet_from, &mut findings);
    });
    check_rates(world, &mut findings);
    check_drains(world, &mut findings);
    check_limits(world, &mut findings);
    findings.extend(world.versions.findings());
    for target in world.targets.borrow().values() {
        if target.stand_in.with_record(|record| record.saw_key) {
            findings.push(format!("{} saw a key", target.stand_in.name()));
        }
    }
    findings
}

fn all_runs(world: &SoakWorld) -> BTreeMap<String, u32> {
    let mut runs = BTreeMap::new();
    for target in world.targets.borrow().values() {
        target.stand_in.with_record(|record| {
            for (mark, count) in &record.runs {
                *runs.entry(mark.clone()).or_default() += count;
            }
        });
    }
    runs
}

fn check_record(
    world: &SoakWorld,
    record: &CallerRecord,
    runs: &BTreeMap<String, u32>,
    findings: &mut Vec<String>,
) {
    let ran = runs.get(&record.id).copied().unwrap_or(0);
    let mut report = |what: &str| {
        let faults = world.ledger.faults_at(record.sent_at).join(", ");
        findings.push(format!(
            "{what}: {record:?}, ran {ran} times, during [{faults}]"
        ));
    };
    if !record.idempotent && ran > 1 {
        report("a request ran twice");
    }
    if let CallerOutcome::Answered { status, own } = record.outcome {
        if [408, 421, 429, 503].contains(&status) && ran > 0 {
            report("a request that was said not to have run ran");
        }
        if status < 300 && (!own || ran == 0) {
            report("an answer is not the request's own");
        }
    }
    let withdrawn = world.ledger.withdrawn().get(&record.key).copied();
    if withdrawn.is_some_and(|at| record.sent_at > at + REVOKE) && ran > 0 {
        report("a withdrawn key still works");
    }
    let calm = !world
        .ledger
        .is_disturbed(record.sent_at, record.ended_at, CONTACT);
    if record.outcome == CallerOutcome::Broken && ran > 0 && calm {
        report("planned work cut a request");
    }
}

fn check_quiet(records: &[CallerRecord], from: BootTime, findings: &mut Vec<String>) {
    // The first organisation asks for more than its rate.
    let within = |record: &&CallerRecord| record.organisation != ORGANISATIONS[0];
    let quiet = records.iter().filter(|record| record.sent_at >= from);
    let quiet: Vec<_> = quiet.filter(within).collect();
    let served = quiet.iter().filter(
        |record| matches!(record.outcome, CallerOutcome::Answered { status, .. } if status < 300),
    );
    let served = u32::try_from(served.count()).unwrap_or(0);
    let asked = u32::try_from(quiet.len()).unwrap_or(u32::MAX);
    if f64::from(served) < f64::from(asked) * QUIET_PART || asked < 10 {
        findings.push(format!(
            "after the faults {served} of {asked} requests were served"
        ));
    }
}

fn check_rates(world: &SoakWorld, findings: &mut Vec<String>) {
    let window = u64::try_from(RATE_WINDOW.as_micros()).unwrap_or(u64::MAX);
    let allowed = (ORG_RATE * RATE_WINDOW.as_secs_f64() + ORG_RATE) * RATE_SLACK.0 + RATE_SLACK.1;
    for organisation in ORGANISATIONS {
        let mut starts = Vec::new();
        for target in world.targets.borrow().values() {
            target.stand_in.with_record(|record| {
                let own = record.starts.get(organisation);
                starts.extend(own.into_iter().flatten().copied());
            });
        }
        starts.sort_unstable();
        let (mut oldest, mut most, mut at) = (0, 0, 0);
        for (index, start) in starts.iter().enumerate() {
            while starts[oldest] + window < *start {
                oldest += 1;
            }
            let count = u32::try_from(index - oldest + 1).unwrap_or(u32::MAX);
            if count > most {
                (most, at) = (count, starts[oldest] - starts[0]);
            }
        }
        if f64::from(most) > allowed {
            findings.push(format!(
                "{organisation}: {most} requests within {RATE_WINDOW:?}, {:?} after its first one",
                Duration::from_micros(at)
            ));
        }
    }
}

fn check_drains(world: &SoakWorld, findings: &mut Vec<String>) {
    for (name, at) in world.ledger.drained() {
        let targets = world.targets.borrow();
        let Some(target) = targets.get(&name) else {
            continue;
        };
        let last = target.stand_in.with_record(|record| record.last_start_us);
        let last = Duration::from_micros(last);
        let late = last > at + DRAIN;
        if late && !world.ledger.is_disturbed(at, last, CONTACT) {
            findings.push(format!(
                "{name} got work {:?} after it began to leave",
                last - at
            ));
        }
    }
}

// Counts the requests of all hosts, whether a target has told them of its limit or not.
fn check_limits(world: &SoakWorld, findings: &mut Vec<String>) {
    for span in world.ledger.limits() {
        let targets = world.targets.borrow();
        let Some(target) = targets.get(&span.target) else {
            continue;
        };
        let mut starts: Vec<_> = target.stand_in.with_record(|record| {
            let starts = record.starts.values().flatten();
            starts.copied().map(Duration::from_micros).collect()
        });
        starts.sort_unstable();
        for start in &starts {
            let end = *start + LIMIT_WINDOW;
            let is_bound = *start >= span.named_at + CONTACT && *start >= span.from + TOLD_AFTER;
            let excused = world.ledger.are_hosts_stopped(*start, end, CONTACT);
            if !is_bound || end > span.to || excused {
                continue;
            }
            let count = starts
                .iter()
                .filter(|at| **at >= *start && **at < end)
                .count();
            let allowed = allowed_requests(&span);
            if f64::from(u32::try_from(count).unwrap_or(u32::MAX)) > allowed {
                findings.push(format!(
                    "{count} requests in {LIMIT_WINDOW:?} where {allowed} are allowed: {span:?}"
                ));
                break;
            }
        }
    }
}

fn allowed_requests(span: &LimitSpan) -> f64 {
    span.rate * LIMIT_WINDOW.as_secs_f64() * LIMIT_SLACK.0 + LIMIT_SLACK.1
}
