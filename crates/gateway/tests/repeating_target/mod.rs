//! A target, or host that requests are passed to, that refuses attempts and repeats its refusals on their connections.

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_core::clock::boot_time;
use std::{cell::RefCell, collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

/// `CopyMoment` is when a refusal is repeated on its connection.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CopyMoment {
    /// In the same write as the refusal.
    AtOnce,
    /// After a time, whatever the connection does.
    Later(Duration),
    /// Before the response to a later request on the connection; zero is the next one.
    BeforeResponse(usize),
}

/// `PlannedRefusal` is how an attempt is refused.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRefusal {
    pub(crate) status: u16,
    pub(crate) copies: Vec<CopyMoment>,
}

/// `RepeatingTarget` is the state that all addresses of a test share.
#[derive(Default)]
pub(crate) struct RepeatingTarget {
    /// Refusals of the next attempts of each request; further attempts run.
    pub(crate) refusals: BTreeMap<String, Vec<PlannedRefusal>>,
    /// Number of runs of each request.
    pub(crate) runs: BTreeMap<String, u32>,
    /// Number of attempts of each request.
    pub(crate) attempts: BTreeMap<String, u32>,
}

/// Refusals and runs, shared with the connections of a target.
pub(crate) type SharedTarget = Rc<RefCell<RepeatingTarget>>;

impl RepeatingTarget {
    pub(crate) fn run_count(&self, id: &str) -> u32 {
        self.runs.get(id).copied().unwrap_or(0)
    }

    fn next_refusal(&mut self, id: &str) -> Option<PlannedRefusal> {
        let refusals = self.refusals.get_mut(id)?;
        if refusals.is_empty() {
            return None;
        }
        Some(refusals.remove(0))
    }
}

// Copies that a connection has yet to send.
#[derive(Default)]
struct PendingCopies {
    timed: Vec<(Duration, Vec<u8>)>,
    counted: Vec<(usize, Vec<u8>)>,
}

impl PendingCopies {
    fn add(&mut self, moment: CopyMoment, copy: Vec<u8>) {
        match moment {
            CopyMoment::AtOnce => self.timed.push((Duration::ZERO, copy)),
            CopyMoment::Later(delay) => self.timed.push((boot_time() + delay, copy)),
            CopyMoment::BeforeResponse(count) => self.counted.push((count, copy)),
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.timed.iter().map(|(due, _)| *due).min()
    }

    fn take_due(&mut self) -> Vec<u8> {
        let now = boot_time();
        let (due, left) = std::mem::take(&mut self.timed)
            .into_iter()
            .partition::<Vec<_>, _>(|(due, _)| *due <= now);
        self.timed = left;
        due.into_iter().flat_map(|(_, copy)| copy).collect()
    }

    fn take_before_response(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut left = Vec::new();
        for (count, copy) in std::mem::take(&mut self.counted) {
            match count {
                0 => bytes.extend(copy),
                _ => left.push((count - 1, copy)),
            }
        }
        self.counted = left;
        bytes
    }
}

/// Starts a target on a new address. All addresses with the same `shared` state count together.
pub(crate) async fn start_repeating_target(shared: &SharedTarget) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let shared = Rc::clone(shared);
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let served = serve(stream, Rc::clone(&shared));
            compio::runtime::spawn(async move {
                let _ = served.await;
            })
            .detach();
        }
    })
    .detach();
    address
}

async fn serve(mut stream: TcpStream, shared: SharedTarget) -> std::io::Result<()> {
    let mut pending = PendingCopies::default();
    let mut received: Vec<u8> = Vec::new();
    loop {
        let Some(id) = take_request(&mut received) else {
            if !read_more(&mut stream, &mut received, &mut pending).await? {
                return Ok(());
            }
            continue;
        };
        let refusal = {
            let mut target = shared.borrow_mut();
            *target.attempts.entry(id.clone()).or_default() += 1;
            let refusal = target.next_refusal(&id);
            if refusal.is_none() {
                *target.runs.entry(id.clone()).or_default() += 1;
            }
            refusal
        };
        let mut bytes = pending.take_before_response();
        let Some(refusal) = refusal else {
            bytes.extend(success(&id).into_bytes());
            stream.write_all(bytes).await.0?;
            continue;
        };
        let copy = rejection(refusal.status, &id).into_bytes();
        bytes.extend(&copy);
        for moment in refusal.copies {
            pending.add(moment, copy.clone());
        }
        bytes.extend(pending.take_due());
        stream.write_all(bytes).await.0?;
    }
}

// Reads further bytes, or sends the copies that are due. Returns whether the connection is open.
async fn read_more(
    stream: &mut TcpStream,
    received: &mut Vec<u8>,
    pending: &mut PendingCopies,
) -> std::io::Result<bool> {
    let read = stream.read(Vec::with_capacity(4_096));
    let result = match pending.next_due() {
        None => read.await,
        Some(due) => {
            let wait = due.saturating_sub(boot_time());
            let Ok(result) = compio::time::timeout(wait, read).await else {
                stream.write_all(pending.take_due()).await.0?;
                return Ok(true);
            };
            result
        }
    };
    let compio::BufResult(length, bytes) = result;
    received.extend(bytes);
    Ok(length? > 0)
}

// Removes a complete request from the front. Returns its identifier.
fn take_request(received: &mut Vec<u8>) -> Option<String> {
    let text = String::from_utf8_lossy(received).to_lowercase();
    let head = text.find("\r\n\r\n")? + 4;
    let value = |name: &str| {
        let mut lines = text[..head].lines();
        lines.find_map(|line| line.strip_prefix(name).map(str::to_owned))
    };
    let length: usize = value("content-length: ").map_or(0, |text| text.parse().unwrap_or(0));
    if received.len() < head + length {
        return None;
    }
    let id = value("fighall-request: ").unwrap_or_default();
    received.drain(..head + length);
    Some(id)
}

fn success(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nfighall-request: {id}\r\nfighall-passed: {id}\r\nfighall-target: t0\r\n\
         content-length: 12\r\n\r\nwhole answer"
    )
}

fn rejection(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} Status\r\nfighall-request: {id}\r\nfighall-passed: {id}\r\nfighall-run: no\r\n\
         content-length: 0\r\n\r\n"
    )
}
