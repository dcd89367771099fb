//! Requests on routes that change, sent to each host directly: they show which version of the policy it uses.

use crate::{
    caller::{Connection, connect, exchange_body},
    versions::{RequestHandling, RouteProbe},
    world::{PROBE_HOST, PROBE_PATHS, SoakWorld},
};
use bytes::Bytes;
use fighall_core::clock::boot_time;
use fighall_testkit::target::{MARK_HEADER, TargetAnswer};
use http::Request;
use http_body_util::Full;
use std::{cell::Cell, rc::Rc, time::Duration};

/// Shortest and longest pause between two probes of a host, in milliseconds.
const PAUSE_MS: (u64, u64) = (20, 80);

/// Probes a host until `stopped` is set.
pub async fn probe(world: Rc<SoakWorld>, host: usize, seed: u64, stopped: Rc<Cell<bool>>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut kept: Option<Connection> = None;
    while !stopped.get() {
        let pause = random.u64(PAUSE_MS.0..PAUSE_MS.1);
        compio::time::sleep(Duration::from_millis(pause)).await;
        let process = &world.hosts[host];
        if kept.as_ref().is_none_or(Connection::is_closed) {
            kept = connect(process.callers).await;
        }
        let Some(connection) = &mut kept else {
            continue;
        };
        let start = process.starts();
        let id = format!("{:016x}", random.u64(..));
        let path = PROBE_PATHS[random.usize(0..PROBE_PATHS.len())];
        let sent_at = boot_time();
        let (handling, reusable) = send(connection, path, &id).await;
        if let Some(handling) = handling {
            world.versions.add_probe(RouteProbe {
                host,
                start,
                path: path.to_owned(),
                sent_at,
                ended_at: boot_time(),
                handling,
            });
        }
        if !reusable {
            kept = None;
        }
    }
}

// Returns what the host did with a request, if its response shows that, and whether the connection stays open.
async fn send(
    connection: &mut Connection,
    path: &str,
    id: &str,
) -> (Option<RequestHandling>, bool) {
    let request = Request::get(format!("{path}{id}"))
        .header("host", PROBE_HOST)
        .header("fighall-request", id)
        .header("fighall-deadline-ms", "2000")
        .header(MARK_HEADER, id)
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else {
        return (None, false);
    };
    let Some((status, body, reusable)) = exchange_body(connection, request).await else {
        return (None, false);
    };
    let handling = match status {
        401 | 403 | 404 => Some(RequestHandling::Unknown),
        200 => serde_json::from_slice::<TargetAnswer>(&body)
            .ok()
            .map(|answer| RequestHandling::Run(answer.target)),
        _ => None,
    };
    (handling, reusable)
}
