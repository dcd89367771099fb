//! The cases. Each returns whether its rule held; none if it could not be run.

use crate::{
    http::{Connection, Message},
    proxy::Proxy,
    target::Target,
    world::{HOST_NAME, SAFE_PATH, UNSAFE_PATH, World, new_request_id},
};
use std::{
    collections::{BTreeMap, BTreeSet},
    path::Path,
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

/// Machines of the small deployments: two in the first zone of each region, one in the second.
const HOST_ZONES: [&str; 9] = [
    "lima-a",
    "lima-a",
    "arequipa-a",
    "arequipa-a",
    "iquitos-a",
    "iquitos-a",
    "lima-b",
    "arequipa-b",
    "iquitos-b",
];
const DRAIN: Duration = Duration::from_millis(2_500);
const EVACUATE: Duration = Duration::from_millis(5_000);
/// Requests of callers who have left that may reach a target late.
const FEW: usize = 5;
/// Time for which machines stay out of touch after a disruption.
const CONTACT: Duration = Duration::from_millis(3_000);

/// Open connections to the store go silent while nothing passes on them; later a target leaves and a zone is
/// evacuated.
pub fn silent_watches(record: &Path, trouble: bool) -> Option<bool> {
    let mut world = World::new(record);
    world.start_targets(2, Duration::from_millis(30));
    let proxy = Proxy::new();
    world.start_hosts(&HOST_ZONES, |store| proxy.listen(store));
    if !world.wait_until_ready() {
        return None;
    }
    world.start_callers(3, Duration::from_millis(100));
    // Watches last 20 s. The first ones are over, and the second ones have begun.
    thread::sleep(Duration::from_secs(25));
    if trouble {
        let (silenced, open) = proxy.silence_waiting(Duration::from_secs(3));
        let text = format!("{silenced} of {open} connections to the store go silent");
        world.record.note(&text);
    }
    thread::sleep(CONTACT + Duration::from_millis(500));
    let leaving = Arc::clone(&world.targets[0]);
    leaving.report_draining(&world.store);
    let draining_at = Instant::now();
    world.record.note(&format!(
        "the store acknowledges that {} is draining",
        leaving.id
    ));
    world.store.write("evacuations", "arequipa-a", "{}");
    let evacuated_at = Instant::now();
    world
        .record
        .note("the store acknowledges the evacuation of arequipa-a");
    thread::sleep(Duration::from_secs(12));
    let evacuated: Vec<_> = world
        .targets
        .iter()
        .filter(|target| target.zone == "arequipa-a")
        .cloned()
        .collect();
    world.end();
    let (served, sent) = world.count_answers();
    world
        .record
        .note(&format!("{served} of {sent} requests served"));
    let drained = report_late(&world, "DRAIN", &[leaving], draining_at + DRAIN);
    let emptied = report_late(&world, "EVAC", &evacuated, evacuated_at + EVACUATE);
    (served > 0).then_some(drained && emptied)
}

/// The store drops its history right after a target has left without having reported `draining`.
pub fn missed_removals(record: &Path, trouble: bool) -> Option<bool> {
    let mut world = World::new(record);
    world.start_targets(4, Duration::from_millis(30));
    world.start_hosts(&HOST_ZONES, |store| store);
    if !world.wait_until_ready() {
        return None;
    }
    world.start_callers(3, Duration::from_millis(100));
    // Until the watches with which all hosts begin are over.
    thread::sleep(Duration::from_secs(24));
    let first = Arc::clone(&world.targets[0]);
    let second = Arc::clone(&world.targets[1]);
    first.report_draining(&world.store);
    world.record.note(&format!(
        "the store acknowledges that {} is draining",
        first.id
    ));
    thread::sleep(Duration::from_millis(100));
    world.store.remove("servers", &second.id);
    let removed_at = Instant::now();
    world
        .record
        .note(&format!("the entry of {} is removed", second.id));
    thread::sleep(Duration::from_millis(50));
    if trouble {
        world.store.discard_history();
        world.record.note("the store discards its history");
    }
    let touch_at = Instant::now() + CONTACT;
    thread::sleep(Duration::from_secs(15));
    world.end();
    let (served, sent) = world.count_answers();
    world
        .record
        .note(&format!("{served} of {sent} requests served"));
    let held = report_late(&world, "DRAIN", &[second], touch_at.max(removed_at + DRAIN));
    (served > 0).then_some(held)
}

/// Callers send a body in chunks and further requests behind it on their connection, and some of them leave.
pub fn abandoned_pipelines(record: &Path, trouble: bool) -> Option<bool> {
    const CALLERS: usize = 60;
    const LEAVING_SHARE: f64 = 0.3;
    const FURTHER_REQUESTS: usize = 2;
    let mut world = World::new(record);
    world.start_targets(4, Duration::from_millis(1_200));
    world.start_hosts(&["lima-a", "lima-b", "arequipa-a"], |store| store);
    if !world.wait_until_ready() {
        return None;
    }
    let mut callers = Vec::new();
    for number in 0..CALLERS {
        let address = world.hosts[number % world.hosts.len()].callers;
        let leaves = trouble && (number as f64) < CALLERS as f64 * LEAVING_SHARE;
        let record = Arc::clone(&world.record);
        callers.push(thread::spawn(move || {
            let first = new_request_id();
            let further: Vec<_> = (0..FURTHER_REQUESTS).map(|_| new_request_id()).collect();
            let mut text = format!(
                "POST {UNSAFE_PATH} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {first}\r\nDeadline-Ms: 6000\r\n\
                 Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
            );
            for id in &further {
                text.push_str(&format!(
                    "GET {SAFE_PATH} HTTP/1.1\r\nHost: {HOST_NAME}\r\nRequest-Id: {id}\r\nDeadline-Ms: 6000\r\n\r\n"
                ));
            }
            let mut connection = Connection::open(address, Duration::from_secs(6)).ok()?;
            connection.send(text.as_bytes()).ok()?;
            record.line(Instant::now(), &format!("sent {first} and behind it {further:?}"));
            if leaves {
                thread::sleep(Duration::from_millis(300));
                drop(connection);
                let left_at = Instant::now();
                record.line(left_at, &format!("the caller of {first} leaves"));
                return Some((further, Some(left_at)));
            }
            for id in [&first].into_iter().chain(&further) {
                let outcome = connection.receive().map(|response| response.status());
                record.line(Instant::now(), &format!("{id}: {outcome:?}"));
                outcome.ok().filter(|status| *status == 200)?;
            }
            Some((further, None))
        }));
    }
    let mut left: BTreeMap<String, Instant> = BTreeMap::new();
    let mut served = 0;
    for caller in callers {
        match caller.join().ok()? {
            Some((further, Some(left_at))) => {
                left.extend(further.into_iter().map(|id| (id, left_at)));
            }
            Some((_, None)) => served += 1,
            None => {}
        }
    }
    thread::sleep(Duration::from_secs(2));
    world.end();
    let mut late = 0;
    for run in world.targets.iter().flat_map(|target| target.runs()) {
        let left_at = left.get(&run.request);
        if left_at.is_some_and(|left_at| run.at > *left_at + Duration::from_millis(500)) {
            late += 1;
        }
    }
    let text = format!(
        "{served} callers stayed and were served; of {} requests of callers who left, {late} reached a target more than 0.5 s later",
        left.len()
    );
    world.record.note(&text);
    (served > 0).then_some(late <= FEW)
}

/// Callers send bodies within `BodyBytes` at the same moment.
pub fn large_bodies(record: &Path, trouble: bool) -> Option<bool> {
    const UPLOADS: usize = 3;
    let body_bytes = if trouble { 60 << 20 } else { 24_000 };
    let mut world = World::new(record);
    world.start_targets(1, Duration::from_millis(300));
    world.start_hosts(&["lima-a", "lima-b", "arequipa-a"], |store| store);
    if !world.wait_until_ready() {
        return None;
    }
    world.start_callers(20, Duration::from_millis(400));
    thread::sleep(Duration::from_secs(5));
    let address = world.hosts[0].callers;
    let barrier = Arc::new(Barrier::new(UPLOADS + 1));
    let mut uploads = Vec::new();
    for _ in 0..UPLOADS {
        let barrier = Arc::clone(&barrier);
        uploads.push(thread::spawn(move || {
            let request = Message {
                start: format!("POST {UNSAFE_PATH} HTTP/1.1"),
                headers: vec![
                    ("Host".to_owned(), HOST_NAME.to_owned()),
                    ("Request-Id".to_owned(), new_request_id()),
                    ("Deadline-Ms".to_owned(), "2500".to_owned()),
                ],
                body: vec![b'x'; body_bytes],
            };
            barrier.wait();
            let connection = Connection::open(address, Duration::from_secs(4));
            let response = connection.and_then(|mut connection| connection.exchange(&request));
            response.map_or_else(|error| error.to_string(), |response| response.start)
        }));
    }
    barrier.wait();
    let text = format!(
        "{UPLOADS} callers send bodies of {body_bytes} bytes each to {}",
        world.hosts[0].name
    );
    world.record.note(&text);
    // The platform kills a process that exceeds its memory.
    let mut highest = 0;
    let mut killed_at = None;
    let deadline = Instant::now() + Duration::from_secs(5);
    while Instant::now() < deadline {
        let bytes = world.hosts[0].memory_bytes().unwrap_or(0);
        highest = highest.max(bytes);
        if bytes > crate::host::MEMORY_MB << 20 && killed_at.is_none() {
            world.hosts[0].kill();
            killed_at = Some(Instant::now());
            world.record.note(&format!(
                "killed {} at {} bytes",
                world.hosts[0].name, bytes
            ));
        }
        thread::sleep(Duration::from_millis(2));
    }
    for upload in uploads {
        let outcome = upload.join().unwrap_or_default();
        world.record.note(&format!("upload: {outcome}"));
    }
    world
        .record
        .note(&format!("highest memory {highest} bytes"));
    world.end();
    let mut ran = BTreeSet::new();
    for target in &world.targets {
        ran.extend(target.runs().into_iter().map(|run| run.request));
    }
    let attempts = world.attempts.lock().unwrap().clone();
    let lost: Vec<_> = attempts
        .iter()
        .filter(|attempt| {
            attempt.kept && attempt.status.is_none() && ran.contains(&attempt.request)
        })
        .collect();
    let served = attempts
        .iter()
        .filter(|attempt| attempt.status == Some(200))
        .count();
    let text = format!(
        "{served} of {} requests served; {} from kept connections were passed on and not answered, 3 are allowed",
        attempts.len(),
        lost.len()
    );
    world.record.note(&text);
    (served > 0).then_some(lost.len() <= 3)
}

// Reports the requests that reached targets after a bound. Returns whether there were none.
fn report_late(world: &World, rule: &str, targets: &[Arc<Target>], bound: Instant) -> bool {
    let mut hosts: BTreeMap<String, usize> = BTreeMap::new();
    for attempt in world.attempts.lock().unwrap().iter() {
        hosts.insert(attempt.request.clone(), attempt.host);
    }
    let mut late: BTreeMap<String, usize> = BTreeMap::new();
    let mut last = None;
    for target in targets {
        for run in target.runs() {
            if run.at > bound {
                let host = hosts
                    .get(&run.request)
                    .map_or("?", |index| &world.hosts[*index].name);
                *late.entry(host.to_owned()).or_default() += 1;
                last = last.max(Some(run.at - bound));
            }
        }
    }
    let count: usize = late.values().sum();
    let last = last.unwrap_or_default().as_secs_f64();
    let text = format!(
        "{rule}: {count} requests after the bound, the last {last:.3} s after it, by host {late:?}"
    );
    world.record.note(&text);
    count == 0
}
