//! Memory of a gateway process whose targets send heads and bodies without end.

mod support;

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_gateway::native::{MAIN_POLICY, POLICIES, TARGETS};
use fighall_testkit::platform::PlatformStandIn;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
        mpsc,
    },
    time::{Duration, Instant},
};
use support::{KEY, process::GatewayProcess};

const TARGET_SLOTS: u32 = 200;
const LOAD_TIME: Duration = Duration::from_secs(4);
const WRITE_BYTES: usize = 8_192;
/// Size of a field with which a head is still within its limit of 16 KiB.
const LONG_FIELD_BYTES: usize = 15_000;

/// `TargetFlood` is what all targets together have sent.
#[derive(Default)]
struct TargetFlood {
    bytes: AtomicUsize,
    connections: AtomicUsize,
    most_connections: AtomicUsize,
}

/// `EndlessResponse` starts with `prefix` and repeats `repeated` without end, with a pause after each write.
#[derive(Clone)]
struct EndlessResponse {
    prefix: String,
    repeated: String,
    pause: Duration,
}

// Creates the responses of the targets `t0`, `t1` and so on.
fn endless_responses() -> Vec<EndlessResponse> {
    let long_field = format!("x-long: {}\r\n", "a".repeat(LONG_FIELD_BYTES));
    let parts = [
        ("x-long: ", "a"),
        ("", "x-more: 1\r\n"),
        ("\r\n", "a"),
        (&format!("{long_field}\r\n"), "a"),
        ("transfer-encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ];
    let mut responses = Vec::new();
    for pause in [Duration::ZERO, Duration::from_millis(20)] {
        for (prefix, repeated) in parts {
            let number = responses.len();
            responses.push(EndlessResponse {
                prefix: format!("HTTP/1.1 200 OK\r\nfighall-target: t{number}\r\n{prefix}"),
                repeated: repeated.repeat(WRITE_BYTES / repeated.len()),
                pause,
            });
        }
    }
    responses
}

async fn flood(
    mut stream: TcpStream,
    response: EndlessResponse,
    sent: &TargetFlood,
) -> std::io::Result<()> {
    let BufResult(read, _) = stream.read(Vec::with_capacity(4_096)).await;
    if read? == 0 {
        return Ok(());
    }
    stream.write_all(response.prefix.into_bytes()).await.0?;
    let mut repeated = response.repeated.into_bytes();
    loop {
        let BufResult(written, buffer) = stream.write_all(repeated).await;
        written?;
        repeated = buffer;
        sent.bytes.fetch_add(repeated.len(), Ordering::Relaxed);
        compio::time::sleep(response.pause).await;
    }
}

async fn serve(listener: TcpListener, response: EndlessResponse, sent: Arc<TargetFlood>) {
    while let Ok((stream, _)) = listener.accept().await {
        let (response, sent) = (response.clone(), Arc::clone(&sent));
        compio::runtime::spawn(async move {
            let connections = sent.connections.fetch_add(1, Ordering::Relaxed) + 1;
            sent.most_connections
                .fetch_max(connections, Ordering::Relaxed);
            let _ = flood(stream, response, &sent).await;
            sent.connections.fetch_sub(1, Ordering::Relaxed);
        })
        .detach();
    }
}

// Starts a target for each response, on a thread of their own. Returns their addresses.
fn start_targets(sent: &Arc<TargetFlood>) -> Vec<SocketAddr> {
    let (sender, receiver) = mpsc::channel();
    let sent = Arc::clone(sent);
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().expect("a runtime");
        runtime.block_on(async {
            let mut addresses = Vec::new();
            for response in endless_responses() {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
                addresses.push(listener.local_addr().expect("an address"));
                compio::runtime::spawn(serve(listener, response, Arc::clone(&sent))).detach();
            }
            sender.send(addresses).expect("a receiver");
            std::future::pending::<()>().await;
        });
    });
    receiver.recv().expect("addresses")
}

// Sends a request on a connection of its own. Returns the start of the response; empty without one.
async fn exchange(callers: SocketAddr, id: &str, path: &str) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(callers).await?;
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: {id}\r\n\
         authorization: Bearer {KEY}\r\nconnection: close\r\ncontent-length: 2\r\n\r\nab"
    );
    stream.write_all(request.into_bytes()).await.0?;
    let BufResult(read, buffer) = stream.read(Vec::with_capacity(4_096)).await;
    read?;
    Ok(String::from_utf8_lossy(&buffer).into_owned())
}

async fn publish(store: &PlatformStandIn, targets: &[SocketAddr]) {
    for (number, address) in targets.iter().enumerate() {
        let name = format!("t{number}");
        let mut entry = support::target_entry(&name, *address, false);
        entry.slots = TARGET_SLOTS;
        let text = serde_json::to_string(&entry).expect("an entry");
        store.put(TARGETS, &name, &text);
    }
    let mut policy = support::policy(1);
    for service in policy.services.values_mut() {
        service.max_connections = 1_000;
    }
    for route in policy.routes.values_mut().flatten() {
        route.timeout = Duration::from_secs(3);
    }
    let text = serde_json::to_string(&policy).expect("a policy");
    store.put(POLICIES, MAIN_POLICY, &text);
}

// Sends requests one after the other until `end`. Returns the number of responses.
async fn keep_calling(callers: SocketAddr, caller: usize, end: Instant) -> usize {
    let mut responses = 0;
    for number in 0.. {
        if Instant::now() >= end {
            break;
        }
        let id = format!("m{caller}-{number}");
        let path = format!("/write/{caller}-{number}");
        let response = exchange(callers, &id, &path).await.unwrap_or_default();
        assert!(!response.starts_with("HTTP/1.1 2"), "{response}");
        responses += usize::from(!response.is_empty());
    }
    responses
}

// Plays `count` callers of a process with `memory_mb`.
async fn check_memory(memory_mb: usize, count: usize) {
    let sent = Arc::new(TargetFlood::default());
    let targets = start_targets(&sent);
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
    publish(&store, &targets).await;
    let mut process = GatewayProcess::start(store.address(), memory_mb, None).await;
    let callers = process.settings.callers;
    let idle_kb = process.peak_memory_kb();

    let end = Instant::now() + LOAD_TIME;
    let mut tasks = Vec::new();
    for caller in 0..count {
        tasks.push(compio::runtime::spawn(keep_calling(callers, caller, end)));
    }
    let mut responses = 0;
    for task in tasks {
        responses += task.await.expect("a finished task");
    }
    process.check_alive();
    let peak_kb = process.peak_memory_kb();
    let sent_mb = sent.bytes.load(Ordering::Relaxed) >> 20;
    let connections = sent.most_connections.load(Ordering::Relaxed);
    println!(
        "{idle_kb} KB before, peak {peak_kb} KB, {sent_mb} MB sent on up to {connections} connections, {responses} responses"
    );
    assert!(
        connections >= count / 2,
        "{connections} connections at once"
    );
    assert!(sent_mb >= memory_mb, "{sent_mb} MB sent");
    assert!(
        peak_kb <= memory_mb << 10,
        "{peak_kb} KB resident, {memory_mb} MB allowed"
    );
}

// The cases run one after the other, since each keeps two threads busy.
static TURN: Mutex<()> = Mutex::new(());

fn run(memory_mb: usize, count: usize) {
    let turn = TURN.lock();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(check_memory(memory_mb, count));
    drop(turn);
}

// Regression: heads and bodies without end on hundreds of connections took a process over its memory.
#[test]
fn endless_responses_keep_a_process_within_its_memory() {
    run(96, 400);
}

// Regression: connections of callers and targets do not count towards the memory of a process.
#[test]
fn endless_responses_keep_a_small_process_within_its_memory() {
    run(64, 800);
}
