//! Callers: they ask the directory, keep connections and use them until they end.

use crate::{
    ledger::{CallerOutcome, CallerRecord},
    world::{ORGANISATIONS, READ_PATH, ROUTE_HOST, SoakWorld, WRITE_PATH},
};
use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use fighall_core::clock::boot_time;
use fighall_gateway::native::{HostList, LOOKUP_PATH, OBJECT_HEADER};
use fighall_testkit::target::{MARK_HEADER, TargetAnswer};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

/// Longest time that a caller waits for a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Longest time that a caller waits for an answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);
/// Time for which a caller keeps the directory's answer.
const LOOKUP_TIME: Duration = Duration::from_millis(1_500);
/// Pause between two requests of a caller, at most.
const PAUSE_MS: u64 = 120;
/// Part of the requests, of 256, that are the first organisation's.
const FIRST_SHARE: u8 = 160;

/// Connection of a caller.
pub type Connection = SendRequest<Full<Bytes>>;

struct KeptConnection {
    sender: Connection,
    host: usize,
    address: SocketAddr,
}

/// Sends requests until `stopped` is set.
pub async fn call(world: Rc<SoakWorld>, seed: u64, stopped: Rc<Cell<bool>>) {
    let mut random = fastrand::Rng::with_seed(seed);
    let mut kept: Option<KeptConnection> = None;
    let mut addresses = Vec::new();
    let mut looked_at = Duration::ZERO;
    while !stopped.get() {
        compio::time::sleep(Duration::from_millis(random.u64(0..PAUSE_MS))).await;
        if boot_time().saturating_sub(looked_at) > LOOKUP_TIME {
            if let Some(found) = look_up(&world, &mut random).await {
                addresses = found;
                looked_at = boot_time();
            }
            // Connections to hosts that the directory no longer names are left.
            kept = kept.filter(|kept| addresses.contains(&kept.address));
        }
        if kept.as_ref().is_none_or(|kept| kept.sender.is_closed()) {
            kept = connect_any(&world, &addresses, &mut random).await;
        }
        let Some(connection) = &mut kept else {
            continue;
        };
        if !send(&world, connection, &mut random).await {
            kept = None;
        }
    }
}

async fn look_up(world: &SoakWorld, random: &mut fastrand::Rng) -> Option<Vec<SocketAddr>> {
    let asked = &world.hosts[random.usize(0..world.hosts.len())];
    let region = &asked.place.region;
    let mut sender = connect(asked.directory).await?;
    let request = Request::get(format!("{LOOKUP_PATH}?region={region}"));
    let request = request.header("host", ROUTE_HOST).body(Full::default());
    let answer = sender.send_request(request.ok()?);
    let answer = compio::time::timeout(CONNECT_LIMIT, answer)
        .await
        .ok()?
        .ok()?;
    let body = compio::time::timeout(CONNECT_LIMIT, answer.collect()).await;
    let list: HostList = serde_json::from_slice(&body.ok()?.ok()?.to_bytes()).ok()?;
    Some(list.addresses)
}

async fn connect_any(
    world: &SoakWorld,
    addresses: &[SocketAddr],
    random: &mut fastrand::Rng,
) -> Option<KeptConnection> {
    let address = *random.choice(addresses.iter())?;
    let host = world
        .hosts
        .iter()
        .position(|host| host.callers == address)?;
    let sender = connect(address).await?;
    Some(KeptConnection {
        sender,
        host,
        address,
    })
}

pub(crate) async fn connect(address: SocketAddr) -> Option<Connection> {
    let stream = compio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = stream.ok()?.ok()?;
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(HyperStream::new_plain(stream))
        .await
        .ok()?;
    let drive = async move {
        let _ = connection.await;
    };
    compio::runtime::spawn(drive).detach();
    Some(sender)
}

// Returns whether the connection may be used again.
async fn send(
    world: &SoakWorld,
    connection: &mut KeptConnection,
    random: &mut fastrand::Rng,
) -> bool {
    let keys: Vec<_> = world.keys().into_iter().collect();
    // Most requests are the first organisation's, which is beyond its rate by them.
    let first = random.u8(..) < FIRST_SHARE;
    let keys = keys
        .into_iter()
        .filter(|(_, name)| !first || name == ORGANISATIONS[0]);
    let Some((key, organisation)) = random.choice(keys.collect::<Vec<_>>()) else {
        return true;
    };
    let id = format!("{:016x}", random.u64(..));
    let idempotent = random.bool();
    let path = if idempotent { READ_PATH } else { WRITE_PATH };
    let request = Request::post(format!("{path}{id}"))
        .header("host", ROUTE_HOST)
        .header("fighall-request", &id)
        .header("fighall-deadline-ms", "2000")
        .header("authorization", format!("Bearer {key}"))
        .header(OBJECT_HEADER, random.u8(0..20).to_string())
        .header(MARK_HEADER, &id)
        .body(Full::new(Bytes::from(vec![b'x'; random.usize(0..3_000)])));
    let Ok(request) = request else {
        return false;
    };
    let sent_at = boot_time();
    let outcome = exchange(&mut connection.sender, request, &id).await;
    let reusable = matches!(outcome, (CallerOutcome::Answered { .. }, true));
    world.ledger.add(CallerRecord {
        host: connection.host,
        ended_at: boot_time(),
        outcome: outcome.0,
        id,
        idempotent,
        organisation,
        key,
        sent_at,
    });
    reusable
}

// Returns the outcome, and whether the connection stays open.
async fn exchange(
    sender: &mut Connection,
    request: Request<Full<Bytes>>,
    id: &str,
) -> (CallerOutcome, bool) {
    let ready = compio::time::timeout(CONNECT_LIMIT, sender.ready()).await;
    if !matches!(ready, Ok(Ok(()))) {
        return (CallerOutcome::Unsent, false);
    }
    let answer = compio::time::timeout(ANSWER_LIMIT, sender.try_send_request(request)).await;
    match answer {
        Ok(Ok(answer)) => read(answer, id).await,
        Ok(Err(mut error)) => match error.take_message() {
            Some(_) => (CallerOutcome::Unsent, false),
            None => (CallerOutcome::Broken, false),
        },
        Err(_) => (CallerOutcome::Broken, false),
    }
}

// Sends a request and returns the status and the body of its response, and whether the connection stays open.
pub(crate) async fn exchange_body(
    sender: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Option<(u16, Bytes, bool)> {
    let answer = async {
        sender.ready().await.ok()?;
        let answer = sender.send_request(request).await.ok()?;
        let (status, close) = (answer.status().as_u16(), announces_close(&answer));
        let body = answer.collect().await.ok()?;
        Some((status, body.to_bytes(), !close))
    };
    compio::time::timeout(ANSWER_LIMIT, answer).await.ok()?
}

fn announces_close(answer: &Response<Incoming>) -> bool {
    let connection = answer.headers().get("connection");
    connection.is_some_and(|value| value == "close")
}

async fn read(answer: Response<Incoming>, id: &str) -> (CallerOutcome, bool) {
    let status = answer.status().as_u16();
    let close = announces_close(&answer);
    let body = compio::time::timeout(ANSWER_LIMIT, answer.collect()).await;
    let Ok(Ok(body)) = body else {
        return (CallerOutcome::Broken, false);
    };
    let own = match serde_json::from_slice::<TargetAnswer>(&body.to_bytes()) {
        Ok(body) => body.request == id,
        Err(_) => status >= 300,
    };
    (CallerOutcome::Answered { status, own }, !close)
}
