//! The cases. Each returns whether the rule held, or nothing if it could not run.

use crate::host::MEMORY_BYTES;
use crate::http::MessageStream;
use crate::record::Record;
use crate::world::{ROUTE_TIMEOUT, Tenant, World, config, exchange, get, is_ready, post};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const KEY: &str = "xd9dnn2ctnfzs989anu6";
const OTHER_KEY: &str = "wsjnbanfqasnmgkcuyj8";
/// `Revoke` of the deployment.
const REVOKE: Duration = Duration::from_secs(5);
/// Delay with which the platform starts an ended process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

fn finish(world: &World, held: bool, record_path: &Path) -> Option<bool> {
    let text = if held {
        "the rule held"
    } else {
        "the rule was broken"
    };
    world.record.add(text);
    println!("{text}");
    world.record.write(record_path).ok()?;
    Some(held)
}

// Starts two upstreams and one entry host, and waits until the host serves.
fn start_one_host(work: Duration) -> Option<World> {
    let mut world = World::new(&config(
        2,
        &[Tenant {
            name: "andes",
            keys: &[KEY],
        }],
    ));
    for zone in ["lima-a", "lima-b"] {
        world.add_target(&format!("i-{zone}"), "quote-desk", zone);
    }
    for target in &world.targets {
        target.set_work(work);
    }
    world.add_host("front-lima-a-1", "lima-a", "lima");
    if !world.wait_until_ready() {
        return None;
    }
    thread::sleep(Duration::from_secs(1));
    Some(world)
}

// A client that sends one request after the other on a kept connection until `ended` is set. Returns the requests whose
// connection was closed without an answer, those that were the first of their connection left out.
fn run_client(name: &str, address: SocketAddr, record: &Record, ended: &AtomicBool) -> Vec<String> {
    let mut unanswered = Vec::new();
    let mut number = 0;
    while !ended.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        let mut stream = MessageStream::new(stream);
        let mut is_first = true;
        while !ended.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("{name}-{number}");
            let request = get(&format!("/view/{number}"), &id, Some(KEY));
            let answer = stream
                .write(request.as_bytes())
                .and_then(|()| stream.read());
            match answer {
                Ok(Some(answer)) if answer.field("connection") == Some("close") => break,
                Ok(Some(_)) => is_first = false,
                Ok(None) | Err(_) => {
                    record.add(&format!(
                        "the connection of {id} is closed without an answer"
                    ));
                    if !is_first {
                        unanswered.push(id);
                    }
                    break;
                }
            }
        }
    }
    unanswered
}

/// LOST: a client announces a body whose length is far beyond the limit, behind another request; the requests of other
/// clients at that host are cut off.
pub fn endless_length(trouble: bool, record_path: &Path) -> Option<bool> {
    const CLIENTS: usize = 8;
    // Requests that the rule allows to be lost.
    const ALLOWED: usize = 3;
    const WATCH_TIME: Duration = Duration::from_secs(5);
    let world = start_one_host(Duration::from_millis(300))?;
    let host = &world.hosts[0];
    host.memory()?;
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (address, record, ended) =
            (host.callers, Arc::clone(&world.record), Arc::clone(&ended));
        clients.push(thread::spawn(move || {
            run_client(&format!("client-{client}"), address, &record, &ended)
        }));
    }
    thread::sleep(Duration::from_secs(1));

    let first = get("/view/0", "first", Some(KEY));
    let lengths = first.len() + post("/book/0", "second", Some(KEY), u64::MAX).len();
    let (length, body) = match trouble {
        // The sum of both requests is 2^64 bytes.
        true => (u64::MAX - lengths as u64 + 1, ""),
        false => (5, "hello"),
    };
    let bytes = format!(
        "{first}{}{body}",
        post("/book/0", "second", Some(KEY), length)
    );
    world.record.add(&format!(
        "a client sends {} bytes: a request, and behind it one that announces a body of {length} bytes",
        bytes.len()
    ));
    let (address, record) = (host.callers, Arc::clone(&world.record));
    thread::spawn(move || {
        for answer in exchange(address, bytes.as_bytes(), 2).unwrap_or_default() {
            record.add(&format!(
                "it gets {} for {}",
                answer.status(),
                answer.field("request-id").unwrap_or("none")
            ));
        }
    });

    // The platform kills a process that exceeds its memory, and starts it again.
    let watched_at = Instant::now();
    while watched_at.elapsed() < WATCH_TIME {
        if let Some(memory) = host.memory().filter(|memory| *memory > MEMORY_BYTES) {
            host.kill();
            world.record.add(&format!(
                "{} has {} MB of memory: the platform kills it",
                host.name,
                memory >> 20
            ));
            thread::sleep(RESTART_DELAY);
            host.start();
            world.record.add(&format!("{} starts again", host.name));
        }
        thread::sleep(Duration::from_millis(2));
    }
    ended.store(true, Ordering::Relaxed);
    let mut ran = BTreeSet::new();
    for target in &world.targets {
        ran.extend(target.runs.lock().unwrap().iter().map(|run| run.id.clone()));
    }
    let mut lost = 0;
    for client in clients {
        for id in client.join().ok()? {
            if ran.contains(&id) {
                world.record.add(&format!(
                    "LOST: {id} was passed on, and its kept connection closed without an answer"
                ));
                lost += 1;
            }
        }
    }
    world.record.add(&format!(
        "{lost} requests lost, {ALLOWED} allowed; {} ready: {}",
        host.name,
        is_ready(host)
    ));
    finish(&world, lost <= ALLOWED, record_path)
}

/// UNASKED: a request with valid headers, of which one value contains the text of a request line, with another request
/// behind it.
pub fn embedded_head(trouble: bool, record_path: &Path) -> Option<bool> {
    // Offset of the text in the head.
    const OFFSET: usize = 8_192;
    const CONNECTIONS: usize = 10;
    let world = start_one_host(Duration::from_millis(20))?;
    let mut sent = BTreeMap::new();
    let mut held = true;
    for number in 0..CONNECTIONS {
        let (first, second) = (format!("first-{number}"), format!("second-{number}"));
        let text = match trouble {
            true => "POST /book/never-sent HTTP/1.1",
            false => "post-book-never-sent-http-1.1-",
        };
        let start = format!("GET /view/{number} HTTP/1.1\r\nX-Trace: ");
        let padding = "p".repeat(OFFSET - start.len());
        let rest = get("", &first, Some(KEY));
        let (_, rest) = rest.split_once("\r\n")?;
        let head = format!("{start}{padding}{text}\r\n{rest}");
        let behind = get(&format!("/view/{number}-behind"), &second, Some(KEY));
        sent.insert(first.clone(), format!("GET /view/{number}"));
        sent.insert(second.clone(), format!("GET /view/{number}-behind"));
        world.record.add(&format!(
            "a client sends GET /view/{number}, id {first}, with a head of {} bytes, and GET /view/{number}-behind, id {second}",
            head.len()
        ));
        let bytes = format!("{head}{behind}");
        let answers = exchange(world.hosts[0].callers, bytes.as_bytes(), 2).unwrap_or_default();
        for (id, answer) in [first, second].iter().zip(&answers) {
            let answered = answer.field("request-id").unwrap_or("none").to_owned();
            world.record.add(&format!(
                "it gets {} for {id}: id {answered}, body {:?}",
                answer.status(),
                answer.text()
            ));
            if answer.status() == 200 && answered != *id {
                world.record.add(&format!(
                    "MIXED: the answer to {id} belongs to another request"
                ));
                held = false;
            }
        }
        thread::sleep(Duration::from_millis(100));
    }
    for target in &world.targets {
        for run in target.runs.lock().unwrap().iter() {
            if sent.get(&run.id) != Some(&run.line) {
                world.record.add(&format!(
                    "UNASKED: {} ran {}, id {}, which no client sent",
                    target.id, run.line, run.id
                ));
                held = false;
            }
        }
    }
    finish(&world, held, record_path)
}

/// CONFIG: one answer of one upstream consists of interim responses without end; the requests of all clients at that host
/// pass their route's `Timeout` without an answer.
pub fn endless_interim(trouble: bool, record_path: &Path) -> Option<bool> {
    const CLIENTS: usize = 8;
    // Time after `Timeout` within which more than half of the requests must have an answer.
    const ALLOWANCE: Duration = Duration::from_millis(500);
    // Number of requests that are unanswered at `Timeout` from which on their share is judged.
    const MIN_COUNT: usize = 8;
    const WATCH_TIME: Duration = Duration::from_secs(6);
    let mut world = World::new(&config(
        2,
        &[Tenant {
            name: "andes",
            keys: &[KEY],
        }],
    ));
    for zone in ["lima-a", "lima-b", "arequipa-a"] {
        world.add_target(&format!("i-{zone}"), "quote-desk", zone);
    }
    world.add_host("front-lima-a-1", "lima-a", "lima");
    if !world.wait_until_ready() {
        return None;
    }
    thread::sleep(Duration::from_secs(1));
    let address = world.hosts[0].callers;
    let ended = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for client in 0..CLIENTS {
        let (record, ended) = (Arc::clone(&world.record), Arc::clone(&ended));
        clients.push(thread::spawn(move || {
            // Times until the answers; none for a request that got none.
            let mut times = Vec::new();
            let mut number = 0;
            while !ended.load(Ordering::Relaxed) {
                number += 1;
                let id = format!("client-{client}-{number}");
                let request = get(&format!("/view/{number}"), &id, Some(KEY));
                let sent_at = Instant::now();
                let answers = exchange(address, request.as_bytes(), 1).unwrap_or_default();
                let time = answers.first().map(|_| sent_at.elapsed());
                if time.is_none_or(|time| time > ROUTE_TIMEOUT) {
                    record.add(&format!(
                        "{id} is unanswered at its route's Timeout; answered after {time:?}"
                    ));
                }
                times.push(time);
                thread::sleep(Duration::from_millis(30));
            }
            times
        }));
    }
    thread::sleep(Duration::from_secs(1));
    if trouble {
        world.targets[0].flood_once();
    }
    thread::sleep(WATCH_TIME);
    ended.store(true, Ordering::Relaxed);
    let (mut count, mut unanswered, mut late) = (0, 0, 0);
    for client in clients {
        for time in client.join().ok()? {
            let is_after = |limit: Duration| time.is_none_or(|time| time > limit);
            count += 1;
            unanswered += usize::from(is_after(ROUTE_TIMEOUT));
            late += usize::from(is_after(ROUTE_TIMEOUT + ALLOWANCE));
        }
    }
    world.record.add(&format!(
        "of {count} requests {unanswered} were unanswered at Timeout, and {late} of these still 0.5 s later"
    ));
    finish(
        &world,
        unanswered < MIN_COUNT || 2 * late <= unanswered,
        record_path,
    )
}

/// CONFIG: a host restarts while the store comes back from a copy that still has a withdrawn key.
pub fn restart_in_drill(trouble: bool, record_path: &Path) -> Option<bool> {
    // Time from the return of the store until the operator and the upstreams have written again.
    const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
    const WATCH_TIME: Duration = Duration::from_secs(6);
    let before = config(
        2,
        &[Tenant {
            name: "andes",
            keys: &[KEY, OTHER_KEY],
        }],
    );
    let after = config(
        5,
        &[Tenant {
            name: "andes",
            keys: &[OTHER_KEY],
        }],
    );
    let mut world = World::new(&before);
    for zone in ["lima-a", "lima-b"] {
        world.add_target(&format!("i-{zone}"), "quote-desk", zone);
    }
    for (name, zone) in [
        ("front-lima-a-1", "lima-a"),
        ("front-lima-a-2", "lima-a"),
        ("front-lima-b-1", "lima-b"),
    ] {
        world.add_host(name, zone, "lima");
    }
    if !world.wait_until_ready() {
        return None;
    }
    thread::sleep(Duration::from_secs(2));
    let copy = world.store.copy();
    thread::sleep(Duration::from_millis(500));
    let withdrawn_at = world.configure(&after, "version 5, which takes the key away");
    thread::sleep(REVOKE + Duration::from_millis(500));
    let host = &world.hosts[2];
    if trouble {
        world.store.go_away();
        host.kill();
        world
            .record
            .add(&format!("the store goes away; {} is killed", host.name));
        thread::sleep(RESTART_DELAY);
        world.store.come_back(copy);
        world
            .record
            .add("the store comes back, in a new era, from a copy that is 6.5 s old");
        host.start();
        world.record.add(&format!("{} starts again", host.name));
    }
    let back_at = Instant::now();
    let mut is_rewritten = !trouble;
    let mut number = 0;
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    while back_at.elapsed() < WATCH_TIME {
        if !is_rewritten && back_at.elapsed() >= REWRITE_DELAY {
            world.configure(&after, "version 5 again");
            for target in &world.targets {
                world.store.put("servers", &target.id, &target.entry());
            }
            is_rewritten = true;
        }
        number += 1;
        let request = get(
            &format!("/view/{number}"),
            &format!("withdrawn-{number}"),
            Some(KEY),
        );
        for answer in exchange(host.callers, request.as_bytes(), 1).unwrap_or_default() {
            *statuses.entry(answer.status()).or_default() += 1;
        }
        thread::sleep(Duration::from_millis(10));
    }
    world.record.add(&format!(
        "answers to {number} requests with the withdrawn key, by status: {statuses:?}"
    ));
    let mut held = true;
    for target in &world.targets {
        // All requests with the key were sent later than the bound.
        for run in target.runs.lock().unwrap().iter() {
            let late = run.at.saturating_sub(withdrawn_at).as_secs_f64();
            world.record.add(&format!(
                "CONFIG: {} ran {} {late:.1} s after the key was taken away",
                target.id, run.id
            ));
            held = false;
        }
    }
    finish(&world, held, record_path)
}
