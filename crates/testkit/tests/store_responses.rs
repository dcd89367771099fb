//! Responses of the store with a status or a field name that HTTP does not allow.

use compio::{
    io::{AsyncRead, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_store::client::{ClientOptions, StoreClient};
use fighall_testkit::malformed_heads::{FIELD_LINES, STATUS_LINES};
use std::{cell::Cell, net::SocketAddr, rc::Rc};

fn response(status_line: &str, line: &[u8], value: &str) -> Vec<u8> {
    let body = format!("{{\"name\":\"a\",\"version\":1,\"value\":\"{value}\"}}");
    let rest = format!("content-length: {}\r\n\r\n{body}", body.len());
    [status_line.as_bytes(), b"\r\n", line, rest.as_bytes()].concat()
}

// Sends `malformed` for every other request, and a proper response with the value `good` for the others.
async fn serve(mut stream: TcpStream, malformed: &[u8], calls: &Cell<u32>) -> std::io::Result<()> {
    loop {
        let compio::BufResult(length, _) = stream.read(Vec::with_capacity(4_096)).await;
        if length? == 0 {
            return Ok(());
        }
        calls.set(calls.get() + 1);
        let response = if calls.get() % 2 == 1 {
            malformed.to_vec()
        } else {
            response("HTTP/1.1 200 OK", b"", "good")
        };
        stream.write_all(response).await.0?;
    }
}

async fn start_store(malformed: Vec<u8>, calls: Rc<Cell<u32>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("the listener should be bound");
    let address = listener.local_addr().expect("the address should be known");
    compio::runtime::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (malformed, calls) = (malformed.clone(), Rc::clone(&calls));
            compio::runtime::spawn(async move {
                let _ = serve(stream, &malformed, &calls).await;
            })
            .detach();
        }
    })
    .detach();
    address
}

#[test]
fn a_malformed_head_of_the_store_is_no_answer() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(async {
        let mut responses = Vec::new();
        for line in STATUS_LINES {
            responses.push(response(line, b"", "malformed"));
        }
        for line in FIELD_LINES {
            responses.push(response("HTTP/1.1 200 OK", line, "malformed"));
        }
        for malformed in responses {
            let shown = malformed.escape_ascii().to_string();
            let calls = Rc::new(Cell::new(0));
            let address = start_store(malformed, Rc::clone(&calls)).await;
            let options = ClientOptions::with_address(address.to_string());
            let client = StoreClient::new(options).expect("the client should be created");
            for _ in 0..2 {
                let object = client.get("hosts", "a").await;
                let object = object.unwrap_or_else(|error| panic!("{shown}: {error}"));
                assert_eq!(object.expect("the object exists").value, "good", "{shown}");
            }
            assert_eq!(calls.get(), 4, "{shown}");
        }
    });
}
