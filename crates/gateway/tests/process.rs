//! Tests of the `fighall-gateway` process: settings, signals and exit codes.

mod support;

use rustix::process::{Pid, Signal, kill_process};
use std::{
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Output, Stdio},
    time::{Duration, Instant},
};

fn write_settings(name: &str, text: &str) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(name);
    std::fs::write(&path, text).expect("a settings file");
    path
}

fn start(path: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_fighall-gateway"))
        .arg(path)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("a process")
}

fn signal(child: &Child, signal: Signal) {
    let id = i32::try_from(child.id()).expect("an id");
    kill_process(Pid::from_raw(id).expect("an id"), signal).expect("a signal");
}

fn finish(mut child: Child) -> Output {
    let started_at = Instant::now();
    while child.try_wait().expect("a process state").is_none() {
        assert!(
            started_at.elapsed() < Duration::from_secs(12),
            "the process did not exit"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
    child.wait_with_output().expect("an output")
}

fn unreachable_store() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

#[test]
fn a_reload_signal_applies_changed_bounds_without_a_restart() {
    let (text, _) = support::settings("h1", unreachable_store(), "\"drain=2500\"");
    let path = write_settings("reload.json", &text);
    let child = start(&path);
    std::thread::sleep(Duration::from_millis(600));
    for _ in 0..20 {
        signal(&child, Signal::HUP);
        std::thread::sleep(Duration::from_millis(5));
    }
    write_settings("reload.json", &text.replace("drain=2500", "drain=1700"));
    signal(&child, Signal::HUP);
    std::thread::sleep(Duration::from_millis(300));
    write_settings("reload.json", "{");
    signal(&child, Signal::HUP);
    std::thread::sleep(Duration::from_millis(300));
    signal(&child, Signal::TERM);
    // A second stop signal has no effect.
    std::thread::sleep(Duration::from_millis(300));
    signal(&child, Signal::TERM);
    let output = finish(child);
    let log = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{log}");
    assert!(
        log.contains("settings taken") && log.contains("1.7s"),
        "{log}"
    );
    assert!(log.contains("settings not taken"), "{log}");
    for line in log.lines() {
        assert!(line.starts_with('{') && line.ends_with('}'), "{line}");
    }
}

// Values of a field in the log lines with a message, in order.
fn logged(log: &str, message: &str, field: &str) -> Vec<String> {
    let lines = log
        .lines()
        .map(|line| serde_json::from_str(line).expect("a JSON line"));
    let lines = lines.filter(|line: &serde_json::Value| line["message"] == message);
    lines.map(|line| line[field].to_string()).collect()
}

#[test]
fn each_change_of_the_settings_is_logged_once_with_its_digest_and_faults_keep_the_last() {
    let (text, _) = support::settings("h1", unreachable_store(), "\"drain=2500\"");
    let path = write_settings("changes.json", &text);
    let child = start(&path);
    std::thread::sleep(Duration::from_millis(600));
    // Twenty changes within a second, each incomplete at first, and then a file that stays truncated.
    for number in 0..20 {
        let changed = text.replace("drain=2500", &format!("drain={}", 1_700 + number));
        write_settings("changes.json", &changed[..changed.len() / 2]);
        write_settings("changes.json", &changed);
        signal(&child, Signal::HUP);
        std::thread::sleep(Duration::from_millis(50));
    }
    let fixed = text
        .replace("drain=2500", "drain=1719")
        .replace("\"memory_mb\": 32", "\"memory_mb\": 64");
    write_settings("changes.json", &fixed);
    signal(&child, Signal::HUP);
    std::thread::sleep(Duration::from_millis(300));
    write_settings("changes.json", &text[..text.len() / 2]);
    // The file is read every 2 s as well.
    std::thread::sleep(Duration::from_millis(4_500));
    signal(&child, Signal::TERM);
    let output = finish(child);
    let log = String::from_utf8_lossy(&output.stdout);
    let digests = logged(&log, "settings taken", "settings");
    let last = digests.last().expect("a change");
    let bounds = logged(&log, "settings taken", "bounds");
    assert!(bounds.last().expect("a change").contains("1.719s"), "{log}");
    let restart = logged(
        &log,
        "changed settings that take effect after a restart",
        "settings",
    );
    assert_eq!(restart, ["\"memory_mb\""], "{log}");
    let rejected = logged(&log, "settings not taken; the last ones stay", "settings");
    assert_eq!(rejected.last(), Some(last), "{log}");
    assert!(rejected.len() <= 21, "each fault once: {log}");
    let findings = logged(&log, "settings not taken; the last ones stay", "findings");
    assert!(
        findings.last().expect("a fault").contains("changes.json"),
        "{log}"
    );
}

#[test]
fn findings_are_reported_with_their_positions_and_an_exit_code() {
    let path = write_settings(
        "findings.json",
        "{\n  \"host\": 7,\n  \"bounds\": [\"x=1\"]\n}",
    );
    let output = finish(start(&path));
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(errors.contains("findings.json:2:"), "{errors}");
    assert!(errors.contains("missing field `callers`"), "{errors}");
    assert!(errors.contains("`x=1` is not a bound"), "{errors}");
}
