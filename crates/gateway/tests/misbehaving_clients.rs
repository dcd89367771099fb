//! Crowds of clients that send too much, or stop short of the end and stay connected. A process lives through them
//! within its memory and descriptors, and serves an ordinary request afterwards.

mod support;

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use fighall_gateway::native::{MAIN_POLICY, POLICIES};
use fighall_testkit::{
    behaviour::TargetBehaviour, platform::PlatformStandIn, target::TargetStandIn,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};
use support::{KEY, process::GatewayProcess};

/// Time for which a crowd sends.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// Time for which an ordinary caller waits for its response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay before a client whose connection was closed opens the next one.
const RECONNECT_DELAY: Duration = Duration::from_millis(20);
const ROUTE_TIMEOUT: Duration = Duration::from_secs(8);
/// Slots and connections of the target, more than any crowd needs.
const TARGET_SLOTS: u32 = 4_000;
const BODY_LIMIT: usize = 1 << 20;
const CROWD_SIZE: usize = 150;
const MEMORY_MB: usize = 96;
/// Crowd and memory of the cases that send no body, which take less memory for each client.
const LARGE_CROWD_SIZE: usize = 1_000;
const SMALL_MEMORY_MB: usize = 64;

/// `ClientPlan` is what a client sends on each of its connections: the head, then the pieces, then nothing more.
#[derive(Clone)]
struct ClientPlan {
    head: String,
    piece: Vec<u8>,
    piece_count: usize,
    pause: Duration,
    last: Vec<u8>,
    reads_response: bool,
}

impl ClientPlan {
    fn new(head: String) -> Self {
        Self {
            head,
            piece: Vec::new(),
            piece_count: 0,
            pause: Duration::ZERO,
            last: Vec::new(),
            reads_response: true,
        }
    }

    fn without_reading(mut self) -> Self {
        self.reads_response = false;
        self
    }

    fn with_pieces(mut self, piece: Vec<u8>, piece_count: usize, pause: Duration) -> Self {
        self.piece = piece;
        self.piece_count = piece_count;
        self.pause = pause;
        self
    }

    fn with_last(mut self, last: Vec<u8>) -> Self {
        self.last = last;
        self
    }
}

/// `ProcessLimits` are the limits of a process, and the size of the crowd that it meets.
#[derive(Clone, Copy)]
struct ProcessLimits {
    memory_mb: usize,
    max_descriptors: Option<usize>,
    crowd_size: usize,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self {
            memory_mb: MEMORY_MB,
            max_descriptors: None,
            crowd_size: CROWD_SIZE,
        }
    }
}

/// `CrowdControl` is shared by all clients of a crowd.
#[derive(Default)]
struct CrowdControl {
    quiet: AtomicBool,
    ended: AtomicBool,
    connections: AtomicUsize,
}

// Sends the plan on a new connection, and then waits until the connection is closed.
async fn send_plan(
    address: SocketAddr,
    plan: &ClientPlan,
    control: &CrowdControl,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    control.connections.fetch_add(1, Ordering::Relaxed);
    stream.write_all(plan.head.clone().into_bytes()).await.0?;
    let mut piece = plan.piece.clone();
    for _ in 0..plan.piece_count {
        if control.quiet.load(Ordering::Relaxed) {
            break;
        }
        let BufResult(written, buffer) = stream.write_all(piece).await;
        written?;
        piece = buffer;
        compio::time::sleep(plan.pause).await;
    }
    stream.write_all(plan.last.clone()).await.0?;
    if !plan.reads_response {
        std::future::pending::<()>().await;
    }
    loop {
        let BufResult(read, _) = stream.read(Vec::with_capacity(1_024)).await;
        if read? == 0 {
            return Ok(());
        }
    }
}

async fn run_client(address: SocketAddr, plan: ClientPlan, control: Arc<CrowdControl>) {
    while !control.quiet.load(Ordering::Relaxed) {
        let _ = send_plan(address, &plan, &control).await;
        compio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// `ClientCrowd` is a crowd on a thread of its own, whose connections stay open until it is dropped.
struct ClientCrowd {
    control: Arc<CrowdControl>,
    thread: Option<JoinHandle<()>>,
}

impl ClientCrowd {
    fn start(address: SocketAddr, size: usize, plan: ClientPlan) -> Self {
        let control = Arc::new(CrowdControl::default());
        let shared = Arc::clone(&control);
        let thread = std::thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("a runtime");
            runtime.block_on(async {
                for _ in 0..size {
                    let client = run_client(address, plan.clone(), Arc::clone(&shared));
                    compio::runtime::spawn(client).detach();
                }
                while !shared.ended.load(Ordering::Relaxed) {
                    compio::time::sleep(RECONNECT_DELAY).await;
                }
            });
        });
        Self {
            control,
            thread: Some(thread),
        }
    }
}

impl Drop for ClientCrowd {
    fn drop(&mut self) {
        self.control.ended.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

// Gets the head of a request with a key; `framing` is the header line that frames its body.
fn post_head(id: &str, framing: &str) -> String {
    format!(
        "POST /write/{id} HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: {id}\r\n\
         authorization: Bearer {KEY}\r\n{framing}\r\n\r\n"
    )
}

// Sends a request on a connection of its own and reads its response to the end of the connection.
async fn exchange(address: SocketAddr, plan: &ClientPlan) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(plan.head.clone().into_bytes()).await.0?;
    let mut piece = plan.piece.clone();
    for _ in 0..plan.piece_count {
        let BufResult(written, buffer) = stream.write_all(piece).await;
        written?;
        piece = buffer;
        compio::time::sleep(plan.pause).await;
    }
    stream.write_all(plan.last.clone()).await.0?;
    let mut response = Vec::new();
    loop {
        let BufResult(read, buffer) = stream.read(Vec::with_capacity(4_096)).await;
        if read? == 0 {
            return Ok(String::from_utf8_lossy(&response).into_owned());
        }
        response.extend_from_slice(&buffer);
    }
}

async fn check_served(callers: SocketAddr, plan: &ClientPlan) {
    let response = compio::time::timeout(CALLER_TIMEOUT, exchange(callers, plan)).await;
    let response = response.expect("a response").expect("a connection");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
}

async fn check_ordinary_request(callers: SocketAddr, id: &str) {
    let framing = "connection: close\r\ncontent-length: 2";
    let plan = ClientPlan::new(post_head(id, framing)).with_last(b"ab".to_vec());
    check_served(callers, &plan).await;
}

/// `TestDeployment` is a process with a store and a target.
struct TestDeployment {
    process: GatewayProcess,
    limits: ProcessLimits,
    _store: PlatformStandIn,
    _target: TargetStandIn,
}

impl TestDeployment {
    async fn start(limits: ProcessLimits, body_limit: usize, work_time: Duration) -> Self {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        let behaviour = TargetBehaviour {
            slots: TARGET_SLOTS,
            service_us: u64::try_from(work_time.as_micros()).expect("a short time"),
            ..TargetBehaviour::default()
        };
        let target = TargetStandIn::start("t0", loopback, behaviour).await;
        let target = target.expect("a target");
        let mut entry = support::target_entry("t0", target.address(), false);
        entry.slots = TARGET_SLOTS;
        let text = serde_json::to_string(&entry).expect("an entry");
        store.put(fighall_gateway::native::TARGETS, "t0", &text);
        let mut policy = support::policy(1);
        policy.limits.max_body_bytes = body_limit;
        for service in policy.services.values_mut() {
            service.max_connections = TARGET_SLOTS;
        }
        for route in policy.routes.values_mut().flatten() {
            route.timeout = ROUTE_TIMEOUT;
            route.objective = ROUTE_TIMEOUT;
        }
        let text = serde_json::to_string(&policy).expect("a policy");
        store.put(POLICIES, MAIN_POLICY, &text);
        let started =
            GatewayProcess::start(store.address(), limits.memory_mb, limits.max_descriptors);
        Self {
            process: started.await,
            limits,
            _store: store,
            _target: target,
        }
    }

    fn check_process(&mut self) {
        self.process.check_alive();
        let peak_kb = self.process.peak_memory_kb();
        let descriptors = self.process.descriptor_count();
        println!("peak {peak_kb} KB, {descriptors} descriptors");
        let memory_mb = self.limits.memory_mb;
        assert!(
            peak_kb <= memory_mb << 10,
            "{peak_kb} KB resident, {memory_mb} MB allowed"
        );
        let max_descriptors = self.limits.max_descriptors.unwrap_or(usize::MAX);
        assert!(
            descriptors < max_descriptors,
            "{descriptors} descriptors open"
        );
    }

    // Plays a crowd that sends the plan to `address`.
    async fn check_crowd(&mut self, address: SocketAddr, plan: ClientPlan) {
        let callers = self.process.settings.callers;
        check_ordinary_request(callers, "before").await;
        let crowd = ClientCrowd::start(address, self.limits.crowd_size, plan);
        compio::time::sleep(LOAD_TIME).await;
        crowd.control.quiet.store(true, Ordering::Relaxed);
        self.process.check_alive();
        check_ordinary_request(callers, "after").await;
        self.check_process();
        let connections = crowd.control.connections.load(Ordering::Relaxed);
        println!("{connections} connections of the crowd");
        assert!(connections >= self.limits.crowd_size, "{connections}");
    }
}

// The cases run one after the other, since each measures a process under load.
static TURN: Mutex<()> = Mutex::new(());

fn run(test: impl Future<Output = ()>) {
    let turn = TURN.lock();
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
    drop(turn);
}

fn run_crowd(plan: ClientPlan, limits: ProcessLimits) {
    run(async {
        let mut deployment = TestDeployment::start(limits, BODY_LIMIT, Duration::ZERO).await;
        let callers = deployment.process.settings.callers;
        deployment.check_crowd(callers, plan).await;
    });
}

fn chunk(bytes: usize) -> Vec<u8> {
    format!("{bytes:x}\r\n{}\r\n", "a".repeat(bytes)).into_bytes()
}

fn stalled_head(framing: &str) -> String {
    post_head("stalled", framing)
}

#[test]
fn whole_bodies_that_stop_short() {
    let head = stalled_head(&format!("content-length: {BODY_LIMIT}"));
    let plan = ClientPlan::new(head).with_last(vec![b'a'; BODY_LIMIT - 1]);
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn bodies_in_pieces_that_stop_short() {
    let head = stalled_head(&format!("content-length: {BODY_LIMIT}"));
    let piece_bytes = 8 << 10;
    let piece_count = BODY_LIMIT / piece_bytes - 1;
    let plan = ClientPlan::new(head)
        .with_pieces(
            vec![b'a'; piece_bytes],
            piece_count,
            Duration::from_millis(2),
        )
        .with_last(vec![b'a'; piece_bytes - 1]);
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn large_chunks_that_stop_short() {
    let chunk_bytes = 64 << 10;
    let chunk_count = BODY_LIMIT / chunk_bytes;
    let plan = ClientPlan::new(stalled_head("transfer-encoding: chunked"))
        .with_pieces(chunk(chunk_bytes), chunk_count, Duration::ZERO)
        .with_last(b"0\r\n\r".to_vec());
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn chunks_of_one_byte_in_large_writes_that_stop_short() {
    let plan = ClientPlan::new(stalled_head("transfer-encoding: chunked"))
        .with_pieces(chunk(1).repeat(2_000), 10, Duration::ZERO)
        .with_last(b"0\r\n\r".to_vec());
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn chunks_of_one_byte_in_single_writes_that_stop_short() {
    let plan = ClientPlan::new(stalled_head("transfer-encoding: chunked"))
        .with_pieces(chunk(1), 1_000, Duration::from_millis(1))
        .with_last(b"0\r\n\r".to_vec());
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn announced_bodies_far_over_the_limit() {
    let plan = ClientPlan::new(stalled_head("content-length: 10000000000")).with_pieces(
        vec![b'a'; 64 << 10],
        usize::MAX,
        Duration::ZERO,
    );
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn chunked_bodies_without_end() {
    let plan = ClientPlan::new(stalled_head("transfer-encoding: chunked")).with_pieces(
        chunk(64 << 10),
        usize::MAX,
        Duration::ZERO,
    );
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn trailers_without_end() {
    let head = stalled_head("transfer-encoding: chunked") + "1\r\na\r\n0\r\n";
    let lines = b"x-more: 1\r\n".repeat(100);
    let plan = ClientPlan::new(head).with_pieces(lines, usize::MAX, Duration::from_millis(1));
    run_crowd(plan, ProcessLimits::default());
}

#[test]
fn chunk_extensions_without_end() {
    let head = stalled_head("transfer-encoding: chunked") + "1;a=";
    let bytes = vec![b'a'; 1_024];
    let plan = ClientPlan::new(head).with_pieces(bytes, usize::MAX, Duration::from_millis(1));
    run_crowd(plan, ProcessLimits::default());
}

// Sends a field that does not end; it stops short of 64 KiB.
fn endless_head() -> ClientPlan {
    let head = "GET /read/stalled HTTP/1.1\r\nhost: quotes.example\r\nx-long: ".to_owned();
    ClientPlan::new(head).with_last(vec![b'a'; 60_000])
}

fn large_crowd() -> ProcessLimits {
    ProcessLimits {
        memory_mb: SMALL_MEMORY_MB,
        crowd_size: LARGE_CROWD_SIZE,
        ..ProcessLimits::default()
    }
}

#[test]
fn heads_without_end() {
    run_crowd(endless_head(), large_crowd());
}

#[test]
fn heads_without_end_at_the_readiness_listener() {
    run(async {
        let limits = large_crowd();
        let mut deployment = TestDeployment::start(limits, BODY_LIMIT, Duration::ZERO).await;
        let ready = deployment.process.settings.ready;
        deployment.check_crowd(ready, endless_head()).await;
    });
}

// Sends requests behind one that waits for its target.
#[test]
fn requests_behind_a_waiting_one() {
    let head = "GET /read/stalled HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: behind\r\n";
    let head = format!("{head}authorization: Bearer {KEY}\r\n\r\n");
    let next = format!("{}a", post_head("behind", "content-length: 1"));
    let plan = ClientPlan::new(head).with_last(next.repeat(500).into_bytes());
    run(async {
        let limits = ProcessLimits {
            crowd_size: LARGE_CROWD_SIZE / 2,
            ..large_crowd()
        };
        let work_time = Duration::from_millis(500);
        let mut deployment = TestDeployment::start(limits, BODY_LIMIT, work_time).await;
        let callers = deployment.process.settings.callers;
        deployment.check_crowd(callers, plan).await;
    });
}

// A response of 4 MiB does not fit into the buffers of a connection.
#[test]
fn responses_that_are_not_read() {
    let head = "GET /read/stalled HTTP/1.1\r\nhost: quotes.example\r\nfighall-request: unread\r\n";
    let head = format!("{head}authorization: Bearer {KEY}\r\nx-size: 4194304\r\n\r\n");
    run_crowd(
        ClientPlan::new(head).without_reading(),
        ProcessLimits::default(),
    );
}

fn few_descriptors() -> ProcessLimits {
    ProcessLimits {
        max_descriptors: Some(200),
        crowd_size: 300,
        ..ProcessLimits::default()
    }
}

#[test]
fn stalled_bodies_on_all_descriptors() {
    let plan = ClientPlan::new(stalled_head("content-length: 10")).with_last(b"abc".to_vec());
    run_crowd(plan, few_descriptors());
}

#[test]
fn idle_connections_on_all_descriptors() {
    run_crowd(ClientPlan::new(String::new()), few_descriptors());
}

#[test]
fn idle_connections_on_all_descriptors_at_the_readiness_listener() {
    run(async {
        let limits = few_descriptors();
        let mut deployment = TestDeployment::start(limits, BODY_LIMIT, Duration::ZERO).await;
        let ready = deployment.process.settings.ready;
        let plan = ClientPlan::new(String::new());
        deployment.check_crowd(ready, plan).await;
    });
}

/// Largest body, and memory of the smallest process, with which a single request is served.
const LARGE_BODY_LIMIT: usize = 64 << 20;
const LARGE_BODY_MEMORY_MB: usize = 160;
const LARGE_BODY: usize = 60 << 20;

fn run_single(plan: ClientPlan, body_limit: usize) {
    run(async {
        let limits = ProcessLimits {
            memory_mb: LARGE_BODY_MEMORY_MB,
            ..ProcessLimits::default()
        };
        let mut deployment = TestDeployment::start(limits, body_limit, Duration::ZERO).await;
        check_served(deployment.process.settings.callers, &plan).await;
        deployment.check_process();
    });
}

#[test]
fn a_single_large_body_is_served() {
    let framing = format!("connection: close\r\ncontent-length: {LARGE_BODY}");
    let plan = ClientPlan::new(post_head("large", &framing)).with_last(vec![b'a'; LARGE_BODY]);
    run_single(plan, LARGE_BODY_LIMIT);
}

#[test]
fn a_single_large_chunked_body_is_served() {
    let chunk_bytes = 16 << 10;
    let head = post_head("large", "connection: close\r\ntransfer-encoding: chunked");
    let plan = ClientPlan::new(head)
        .with_pieces(chunk(chunk_bytes), LARGE_BODY / chunk_bytes, Duration::ZERO)
        .with_last(b"0\r\n\r\n".to_vec());
    run_single(plan, LARGE_BODY_LIMIT);
}

#[test]
fn a_single_body_in_chunks_of_one_byte_is_served() {
    let head = post_head("tiny", "connection: close\r\ntransfer-encoding: chunked");
    let plan = ClientPlan::new(head)
        .with_pieces(chunk(1).repeat(1_000), 100, Duration::ZERO)
        .with_last(b"0\r\n\r\n".to_vec());
    run_single(plan, BODY_LIMIT);
}

#[test]
fn a_single_slow_body_is_served() {
    let framing = "connection: close\r\ncontent-length: 11";
    let plan = ClientPlan::new(post_head("slow", framing))
        .with_pieces(b"a".to_vec(), 10, Duration::from_millis(200))
        .with_last(b"b".to_vec());
    run_single(plan, BODY_LIMIT);
}

// Sends a head of nearly the limit in two parts.
#[test]
fn a_single_large_slow_head_is_served() {
    let field = format!("connection: close\r\nx-long: {}", "a".repeat(15_800));
    let head = post_head("head", &format!("{field}\r\ncontent-length: 1"));
    let (first, last) = head.split_at(100);
    let plan = ClientPlan::new(first.to_owned())
        .with_pieces(Vec::new(), 1, Duration::from_millis(1_500))
        .with_last(format!("{last}a").into_bytes());
    run_single(plan, BODY_LIMIT);
}
