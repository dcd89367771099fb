//! Which connections a pool reuses.

use compio::net::TcpListener;
use fighall_net::pool::{ConnectionOptions, ConnectionPool, PooledConnection};
use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

const OPTIONS: ConnectionOptions = ConnectionOptions {
    max_idle_time: Duration::from_secs(5),
    max_connections: 4,
};

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

// Accepts connections and keeps them open.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let accepted = Rc::new(RefCell::new(Vec::new()));
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepted.borrow_mut().push(stream);
        }
    })
    .detach();
    address
}

// Takes a connection for a request and records that it carries it.
async fn carry(pool: &ConnectionPool, address: SocketAddr, request: &str) -> PooledConnection {
    let taken = pool.take(address, Some(request), OPTIONS).await;
    let mut connection = taken.expect("a connection");
    assert!(!connection.carried.add(request), "{request} repeated");
    connection
}

#[test]
fn connection_carries_an_identifier_once() {
    run(async {
        let address = start_server().await;
        let pool = ConnectionPool::new();
        let first = carry(&pool, address, "r1").await;
        let first_number = first.number;
        pool.put(first);
        let other = carry(&pool, address, "r2").await;
        assert_eq!(other.number, first_number, "another request reuses it");
        pool.put(other);
        let again = carry(&pool, address, "r1").await;
        assert_ne!(again.number, first_number);
        pool.put(again);
        let later = carry(&pool, address, "r3").await;
        assert_ne!(later.number, first_number, "the one used last");
        let both = carry(&pool, address, "r4").await;
        assert_eq!(both.number, first_number, "it was kept");
    });
}

#[test]
fn repeated_identifier_gets_a_connection_at_the_limit() {
    run(async {
        let address = start_server().await;
        let pool = ConnectionPool::new();
        let limit = usize::try_from(OPTIONS.max_connections).expect("a count");
        for _ in 0..3 * limit {
            let connection = carry(&pool, address, "r1").await;
            pool.put(connection);
        }
    });
}

#[test]
fn connection_is_closed_once_its_identifiers_take_their_share_of_memory() {
    run(async {
        let address = start_server().await;
        let pool = ConnectionPool::new();
        let mut numbers = Vec::new();
        for number in 0..1_025 {
            let connection = carry(&pool, address, &format!("r{number}")).await;
            numbers.push(connection.number);
            pool.put(connection);
        }
        numbers.dedup();
        assert_eq!(numbers, [1, 2, 3], "512 requests on each connection");
    });
}
