//! What a remote host receives of requests that were given up, and of those whose exchange ended in order.

use bytes::Bytes;
use compio::runtime::Runtime;
use fighall_net::{
    body::OutboundBody,
    pool::{ConnectionOptions, ConnectionPool, PooledConnection},
};
use http::{Request, Response};
use hyper::{body::Incoming, client::conn::http1::SendRequest};
use socket2::SockRef;
use std::{
    io::{ErrorKind, Read, Result, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

/// Receive buffer of the remote host: a small part of a request.
const RECEIVE_BUFFER_BYTES: usize = 4 * 1_024;
/// Body of a request: more than the remote host takes, and less than fits into the send buffer.
const BODY_BYTES: usize = 128 * 1_024;
/// Time for a request to be written, and for a connection to be closed.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Longest time for a read of the remote host.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

fn run(test: impl Future<Output = ()>) {
    Runtime::new().expect("a runtime").block_on(test);
}

// Starts a remote host that takes few bytes until the test reads them.
fn start_host() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let size = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    size.expect("a receive buffer");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn accept(listener: &TcpListener) -> TcpStream {
    let (stream, _) = listener.accept().expect("a connection");
    let limit = stream.set_read_timeout(Some(READ_TIMEOUT));
    limit.expect("a time limit");
    stream
}

// Reads to the end of the connection. Returns the bytes that arrived, and how it ended.
fn read_to_end(stream: &mut TcpStream) -> (Vec<u8>, Result<()>) {
    let mut bytes = Vec::new();
    let result = stream.read_to_end(&mut bytes).map(|_| ());
    (bytes, result)
}

// Fails if a whole request arrived, or if its connection was closed in order.
fn assert_reset(stream: &mut TcpStream) {
    let (bytes, result) = read_to_end(stream);
    assert!(bytes.len() < BODY_BYTES, "{} bytes arrived", bytes.len());
    let kind = result.map_err(|error| error.kind());
    assert_eq!(kind, Err(ErrorKind::ConnectionReset));
}

async fn connect(pool: &ConnectionPool, address: SocketAddr) -> PooledConnection {
    let options = ConnectionOptions {
        max_idle_time: Duration::from_secs(10),
        max_connections: 2,
    };
    pool.take(address, None, options)
        .await
        .expect("a connection")
}

fn send(
    sender: &mut SendRequest<OutboundBody>,
) -> impl Future<Output = hyper::Result<Response<Incoming>>> {
    let body = OutboundBody::full(Bytes::from(vec![b'a'; BODY_BYTES]));
    sender.send_request(Request::post("/write/a").body(body).expect("a request"))
}

// Regression: requests that were given up while a network partition held them up were delivered and run after it.
#[test]
fn request_that_was_given_up_is_not_delivered_later() {
    run(async {
        let (listener, address) = start_host();
        let pool = ConnectionPool::new();
        let mut connection = connect(&pool, address).await;
        let mut stream = accept(&listener);
        let exchange = send(&mut connection.sender);
        let response = compio::time::timeout(SETTLE_TIME, exchange).await;
        assert!(response.is_err(), "there is no response");
        drop(connection);
        compio::time::sleep(SETTLE_TIME).await;
        assert_reset(&mut stream);
    });
}

// Regression: requests that were given up on a reused connection were delivered and run after a network partition.
#[test]
fn request_that_was_given_up_on_a_reused_connection_is_not_delivered_later() {
    run(async {
        let (listener, address) = start_host();
        let pool = ConnectionPool::new();
        pool.put(connect(&pool, address).await);
        let mut connection = connect(&pool, address).await;
        assert!(connection.idle_for.is_some(), "the connection is reused");
        let mut stream = accept(&listener);
        let exchange = send(&mut connection.sender);
        let response = compio::time::timeout(SETTLE_TIME, exchange).await;
        assert!(response.is_err(), "there is no response");
        drop(connection);
        compio::time::sleep(SETTLE_TIME).await;
        assert_reset(&mut stream);
    });
}

// Regression: requests of a process that ended were delivered after its end.
#[test]
fn request_of_a_process_that_ends_is_not_delivered_later() {
    let (listener, address) = start_host();
    run(async {
        let exchange = async move {
            let pool = ConnectionPool::new();
            let mut connection = connect(&pool, address).await;
            let _ = send(&mut connection.sender).await;
        };
        compio::runtime::spawn(exchange).detach();
        compio::time::sleep(SETTLE_TIME).await;
    });
    assert_reset(&mut accept(&listener));
}

// Regression: a reset after an exchange that ended in order would drop bytes that the remote host still expects.
#[test]
fn connection_that_is_closed_after_its_exchange_loses_nothing() {
    run(async {
        for is_kept in [true, false] {
            let (listener, address) = start_host();
            let pool = ConnectionPool::new();
            let mut connection = connect(&pool, address).await;
            let mut stream = accept(&listener);
            let exchange = compio::time::timeout(READ_TIMEOUT, send(&mut connection.sender));
            // The remote host responds before it has read the request.
            let respond = async {
                compio::time::sleep(SETTLE_TIME).await;
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            };
            let (response, written) = futures_util::join!(exchange, respond);
            written.expect("a response");
            let response = response.expect("a response in time").expect("a response");
            assert_eq!(response.status(), 200);
            if is_kept {
                pool.put(connection);
                pool.close_idle(address);
            } else {
                connection.end_exchange();
                drop(connection);
            }
            compio::time::sleep(SETTLE_TIME).await;
            let (bytes, result) = read_to_end(&mut stream);
            assert!(bytes.len() > BODY_BYTES, "{} bytes arrived", bytes.len());
            assert!(result.is_ok(), "{result:?}");
        }
    });
}
