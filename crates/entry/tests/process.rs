//! `fighall-entry` as a process of its own: start, log lines, a request, and the planned stop.

use fighall_core::secret::SecretText;
use fighall_testkit::{
    caller::{CallRequest, CallerConnection},
    cluster::{ClusterPlan, LocalCluster, SERVICE_HOST},
};
use rustix::process::{Pid, Signal, kill_process};
use serde::Deserialize;
use std::{
    io::{BufRead, BufReader},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

const BINARY: &str = env!("CARGO_BIN_EXE_fighall-entry");
const BOUND: Duration = Duration::from_secs(30);

#[derive(Deserialize)]
struct ListeningLine {
    level: String,
    host: String,
    message: String,
    #[serde(default)]
    callers: String,
    #[serde(default)]
    operators: String,
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("fighall-{name}-{}.json", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn settings(store: &str) -> String {
    format!(
        r#"{{
  // One host of a local deployment.
  "host": "lima-0", "region": "lima", "zone": "lima-a",
  "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
  "forwards": "127.0.0.1:0", "operators": "127.0.0.1:0",
  "store": ["{store}"],
}}"#
    )
}

fn start(path: &PathBuf) -> (Child, ListeningLine) {
    let mut child = Command::new(BINARY)
        .arg(path)
        .env("FIGHALL_FLEET_SECRET", "local-fleet")
        .env("FIGHALL_OPERATOR_TOKEN", "local-operator")
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let listening = loop {
        let line = lines.next().unwrap().unwrap();
        let line: ListeningLine = serde_json::from_str(&line).unwrap();
        if line.message == "listening" {
            break line;
        }
    };
    // The rest of the log must be read, or the process would wait for room in the pipe.
    std::thread::spawn(move || lines.map_while(Result::ok).count());
    (child, listening)
}

async fn status_of(address: &str, path: &str) -> u16 {
    let mut connection = CallerConnection::open(address).await.unwrap();
    let request = CallRequest::new("GET", "operators", path);
    connection.call(&request).await.unwrap().status.as_u16()
}

#[test]
fn a_process_serves_and_stops_without_cutting_a_request() {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let plan = ClusterPlan {
            regions: vec!["lima".to_owned()],
            hosts: 1,
            targets: 2,
            ..ClusterPlan::default()
        };
        let cluster = LocalCluster::start_without_hosts(plan).await.unwrap();
        let store = cluster.platform.address().to_string();
        let path = settings_file("process", &settings(&store));
        let (mut child, listening) = start(&path);
        assert_eq!(listening.level, "INFO");
        assert_eq!(listening.host, "lima-0");
        let until = Instant::now() + BOUND;
        while status_of(&listening.operators, "/readyz").await != 200 {
            assert!(Instant::now() < until, "the host did not become ready");
            compio::time::sleep(Duration::from_millis(100)).await;
        }
        assert_eq!(status_of(&listening.operators, "/healthz").await, 200);
        assert_eq!(status_of(&listening.operators, "/metrics").await, 200);
        assert_eq!(status_of(&listening.operators, "/status").await, 401);
        let request = CallRequest::new("GET", SERVICE_HOST, "/quotes")
            .with_key(&cluster.key("andes"))
            .with_header("x-work-us", "1200000");
        let mut connection = CallerConnection::open(&listening.callers).await.unwrap();
        let call = compio::runtime::spawn(async move { connection.call(&request).await });
        compio::time::sleep(Duration::from_millis(200)).await;
        let pid = Pid::from_child(&child);
        kill_process(pid, Signal::TERM).unwrap();
        let answer = call.await.unwrap().unwrap();
        assert_eq!(answer.status.as_u16(), 200);
        let until = Instant::now() + BOUND;
        let exit = loop {
            if let Some(exit) = child.try_wait().unwrap() {
                break exit;
            }
            assert!(Instant::now() < until, "the process did not end");
            compio::time::sleep(Duration::from_millis(50)).await;
        };
        assert_eq!(exit.code(), Some(0));
        let lease = cluster
            .platform
            .get("members", "member-lima-00000")
            .unwrap();
        assert!(lease.value.contains("\"released\":true"), "{}", lease.value);
    });
}

#[test]
fn findings_in_settings_end_with_their_exit_code_and_places() {
    let path = settings_file("findings", "{\n  \"host\": 5,\n  \"hots\": \"x\"\n}");
    let output = Command::new(BINARY)
        .arg("--check")
        .arg(&path)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    for place in [
        ":2:11: `host`",
        ":3:3: unknown field `hots`",
        "missing field `region`",
    ] {
        assert!(text.contains(place), "{text}");
    }
    let everywhere =
        settings("127.0.0.1:1").replace("\"callers\": \"127.0.0.1", "\"callers\": \"0.0.0.0");
    let everywhere = settings_file("everywhere", &everywhere);
    let output = Command::new(BINARY)
        .arg("--check")
        .arg(&everywhere)
        .env("FIGHALL_FLEET_SECRET", "a")
        .env("FIGHALL_OPERATOR_TOKEN", "b")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("`advertise`"), "{text}");
    let good = settings_file("good", &settings("127.0.0.1:1"));
    let output = Command::new(BINARY)
        .arg("--check")
        .arg(&good)
        .env("FIGHALL_FLEET_SECRET", "a")
        .env("FIGHALL_OPERATOR_TOKEN", "b")
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn wrong_arguments_end_with_two() {
    let output = Command::new(BINARY).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    // A secret never shows in what is printed of settings.
    let secret = SecretText::new("hidden-text".to_owned());
    assert!(!format!("{secret:?}").contains("hidden-text"));
}
