//! Open-loop load: requests start at their scheduled times, whether or not earlier ones ended.

use crate::{
    caller::{CallAnswer, CallError, CallRequest, FleetCaller},
    report::{LoadReport, StreamReport},
};
use fighall_core::event::RunState;
use fighall_core::{clock::boot_time, ids::BootTime, message};
use fighall_entry::problem::reason_name;
use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

message! {
    /// `LoadStream` is the requests of one kind that one organisation sends.
    #[serde(default)]
    pub struct LoadStream {
        /// Name in the report.
        pub name: String,
        /// Organisation, for look-ups.
        pub organisation: String,
        /// Key; empty sends none.
        pub key: String,
        /// Further keys, taken in turn with the first one.
        pub more_keys: Vec<String>,
        /// Time for which one key is used before the next, in milliseconds; 0 keeps the first.
        pub key_turn_ms: u64,
        /// Service, for look-ups.
        pub service: String,
        /// Host name.
        pub host: String,
        /// Method.
        pub method: String,
        /// Path and query.
        pub target: String,
        /// Requests a second.
        pub rate: f64,
        /// Requests sent at once, at that rate on average.
        pub batch: u32,
        /// Service time asked of the target stand-in, in microseconds; 0 asks for none.
        pub work_us: u64,
        /// Size of the answer asked of the target stand-in, in bytes.
        pub answer_bytes: usize,
        /// Size of the request body, in bytes.
        pub body_bytes: usize,
        /// Marks each request, so that doubled and lost ones are found.
        pub marked: bool,
        /// Sends an idempotency key with each request.
        pub idempotency_keys: bool,
        /// Sends everything to this address instead of looking hosts up.
        pub entry: String,
    }
}

impl Default for LoadStream {
    fn default() -> Self {
        Self {
            name: String::new(),
            organisation: String::new(),
            key: String::new(),
            more_keys: Vec::new(),
            key_turn_ms: 0,
            service: String::new(),
            host: String::new(),
            method: "GET".to_owned(),
            target: "/".to_owned(),
            rate: 10.0,
            batch: 1,
            work_us: 0,
            answer_bytes: 0,
            body_bytes: 0,
            marked: true,
            idempotency_keys: false,
            entry: String::new(),
        }
    }
}

impl LoadStream {
    // Gets the key of the turn that a time since the start falls into.
    fn key_at(&self, since: Duration) -> &str {
        let since = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        let turn = since.checked_div(self.key_turn_ms).unwrap_or(0);
        let keys = u64::try_from(self.more_keys.len()).unwrap_or(0) + 1;
        match usize::try_from(turn % keys) {
            Ok(index) if index > 0 => &self.more_keys[index - 1],
            _ => &self.key,
        }
    }

    fn request(&self, mark: &str, since: Duration) -> CallRequest {
        let mut request = CallRequest::new(&self.method, &self.host, &self.target);
        let key = self.key_at(since);
        if !key.is_empty() {
            request = request.with_key(key);
        }
        if self.marked {
            request = request.with_header(crate::target::MARK_HEADER, mark);
        }
        if self.work_us > 0 {
            let work = self.work_us.to_string();
            request = request.with_header(crate::target::WORK_HEADER, &work);
        }
        if self.answer_bytes > 0 {
            let size = self.answer_bytes.to_string();
            request = request.with_header(crate::target::SIZE_HEADER, &size);
        }
        if self.idempotency_keys {
            request = request.with_header("idempotency-key", mark);
        }
        if self.body_bytes > 0 {
            request = request.with_body("x".repeat(self.body_bytes));
        }
        request
    }
}

struct StreamRun {
    stream: LoadStream,
    caller: FleetCaller,
    report: RefCell<StreamReport>,
    open: Cell<u64>,
    started_at: BootTime,
}

/// Sends streams for a time and waits for the last answers.
pub async fn run(streams: &[LoadStream], entries: &[String], time: Duration) -> LoadReport {
    let mut runs = Vec::new();
    let until = boot_time() + time;
    for stream in streams {
        let caller = FleetCaller::new(entries.to_vec(), &stream.service, &stream.organisation);
        let run = Rc::new(StreamRun {
            report: RefCell::new(StreamReport::new(&stream.name)),
            stream: stream.clone(),
            caller,
            open: Cell::new(0),
            started_at: boot_time(),
        });
        let task = compio::runtime::spawn(send_stream(Rc::clone(&run), until));
        runs.push((run, task));
    }
    let mut report = LoadReport::default();
    for (run, task) in runs {
        let _ = task.await;
        report.streams.push(run.report.borrow().clone());
    }
    report
}

async fn send_stream(run: Rc<StreamRun>, until: BootTime) {
    let batch = run.stream.batch.max(1);
    let pause = Duration::from_secs_f64(f64::from(batch) / run.stream.rate.max(0.001));
    let mut due = boot_time();
    let mut number = 0_u64;
    while due < until {
        let wait = due.saturating_sub(boot_time());
        if !wait.is_zero() {
            compio::time::sleep(wait).await;
        }
        for _ in 0..batch {
            number += 1;
            let task = send_one(Rc::clone(&run), number, due);
            run.open.set(run.open.get() + 1);
            compio::runtime::spawn(task).detach();
        }
        due += pause;
    }
    while run.open.get() > 0 {
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

async fn send_one(run: Rc<StreamRun>, number: u64, due: BootTime) {
    let mark = format!("{}-{number}", run.stream.name);
    let since = due.saturating_sub(run.started_at);
    let request = run.stream.request(&mark, since);
    let outcome = if run.stream.entry.is_empty() {
        run.caller.call(&request).await
    } else {
        run.caller.call_at(&run.stream.entry, &request).await
    };
    // Latency counts from the scheduled time, so that a stall shows in every request it delayed.
    let elapsed = boot_time().saturating_sub(due);
    note(&mut run.report.borrow_mut(), &mark, &outcome, elapsed);
    run.open.set(run.open.get() - 1);
}

fn note(
    report: &mut StreamReport,
    mark: &str,
    outcome: &Result<CallAnswer, CallError>,
    elapsed: Duration,
) {
    report.sent += 1;
    match outcome {
        Ok(answer) if answer.status.is_success() => {
            report.answered += 1;
            report.note_latency(elapsed);
            report.answered_marks.insert(mark.to_owned());
        }
        Ok(answer) => {
            let problem = answer.problem();
            let reason = match &problem {
                Some(problem) => reason_name(problem.reason),
                None => answer.status.as_u16().to_string(),
            };
            *report.refused.entry(reason).or_default() += 1;
            if problem.is_some_and(|problem| problem.run == RunState::No) {
                report.not_run_marks.insert(mark.to_owned());
            }
        }
        Err(error) => {
            report.broken += 1;
            let cause = error.to_string();
            *report.refused.entry(cause).or_default() += 1;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn keys_take_turns() {
        let stream = LoadStream {
            key: "a".to_owned(),
            more_keys: vec!["b".to_owned(), "c".to_owned()],
            key_turn_ms: 100,
            ..LoadStream::default()
        };
        let keys = [0, 150, 250, 350].map(|millis| stream.key_at(Duration::from_millis(millis)));
        assert_eq!(keys, ["a", "b", "c", "a"]);
        let steady = LoadStream {
            key_turn_ms: 0,
            ..stream
        };
        assert_eq!(steady.key_at(Duration::from_secs(9)), "a");
    }
}
