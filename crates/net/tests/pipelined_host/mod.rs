//! A host with pipelining that records its requests, and a client for it.

#![allow(dead_code)]

use bytes::Bytes;
use compio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use fighall_kernel::kernel::MicroKernel;
use fighall_net::{
    body::{IncomingBody, ProxyBody},
    connections::{ConnectionTable, TableOptions},
    listener::{ListenerLimits, serve_pipelined},
    pipeline::RequestTurn,
};
use http::{
    HeaderValue, Request, Response,
    header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING},
};
use http_body_util::BodyExt;
use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

/// `TestHost` records its requests and responds after a configurable time.
#[derive(Default)]
pub(crate) struct TestHost {
    pub(crate) started: RefCell<Vec<String>>,
    /// Complete requests, as method, path, fields and body.
    pub(crate) requests: RefCell<Vec<String>>,
    pub(crate) running: Cell<usize>,
    pub(crate) max_running: Cell<usize>,
    pub(crate) cancelled: Rc<Cell<usize>>,
    pub(crate) closes_connection: Cell<bool>,
    pub(crate) work_time: Cell<Duration>,
}

struct CancelGuard(Rc<Cell<usize>>, bool);

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.1 {
            self.0.set(self.0.get() + 1);
        }
    }
}

impl TestHost {
    async fn answer(
        &self,
        request: Request<IncomingBody>,
        turn: RequestTurn,
    ) -> Response<ProxyBody> {
        let path = request.uri().path().to_owned();
        let head = describe_head(&request);
        if path.starts_with("/once") {
            turn.reached().await;
        }
        self.started.borrow_mut().push(path.clone());
        self.running.set(self.running.get() + 1);
        self.max_running
            .set(self.max_running.get().max(self.running.get()));
        let mut guard = CancelGuard(Rc::clone(&self.cancelled), false);
        let body = request.into_body().collect().await;
        let body = body.map_or_else(|_| Bytes::from("cut"), |body| body.to_bytes());
        let text = String::from_utf8_lossy(&body);
        self.requests.borrow_mut().push(format!("{head}{text}"));
        compio::time::sleep(self.work_time.get()).await;
        guard.1 = true;
        self.running.set(self.running.get() - 1);
        let mut text = path.into_bytes();
        text.extend_from_slice(&body);
        let mut response = Response::new(ProxyBody::full(Bytes::from(text)));
        if self.closes_connection.get() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(CONNECTION, close);
        }
        response
    }
}

pub(crate) async fn start_host(work_time: Duration) -> (Rc<TestHost>, Rc<MicroKernel>, SocketAddr) {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(loopback).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let kernel = MicroKernel::new();
    let host = Rc::new(TestHost::default());
    host.work_time.set(work_time);
    let handler = {
        let host = Rc::clone(&host);
        move |request, turn| {
            let host = Rc::clone(&host);
            async move { host.answer(request, turn).await }
        }
    };
    let connections = ConnectionTable::new(TableOptions::default());
    let limits = || ListenerLimits {
        idle_timeout: Duration::from_secs(5),
        ..ListenerLimits::default()
    };
    let server = serve_pipelined(Rc::clone(&kernel), listener, connections, limits, handler);
    kernel.spawn_service(server);
    (host, kernel, address)
}

pub(crate) fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

pub(crate) fn chunked(path: &str, chunks: &[&str]) -> String {
    let mut text = format!("POST {path} HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n");
    for chunk in chunks.iter().filter(|chunk| !chunk.is_empty()) {
        text.push_str(&format!("{:x};part=1\r\n{chunk}\r\n", chunk.len()));
    }
    text + "0\r\ntrailer: x\r\n\r\n"
}

pub(crate) fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: a\r\ncontent-length: {length}\r\n\r\n{body}")
}

pub(crate) async fn write(stream: &mut TcpStream, text: &str) {
    let sent = stream.write_all(text.to_owned().into_bytes()).await;
    sent.0.expect("bytes sent");
}

/// Reads responses until there are `count` or the connection ends. Returns their bodies.
pub(crate) async fn bodies(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = Vec::new();
    loop {
        let bodies = split_bodies(&text);
        if bodies.len() >= count {
            return bodies;
        }
        let chunk = Vec::with_capacity(4_096);
        let read = compio::time::timeout(Duration::from_secs(5), stream.append(chunk)).await;
        let Ok(compio::BufResult(Ok(read), chunk)) = read else {
            return bodies;
        };
        if read == 0 {
            return bodies;
        }
        text.extend_from_slice(&chunk);
    }
}

fn split_bodies(text: &[u8]) -> Vec<String> {
    let mut text = String::from_utf8_lossy(text).into_owned();
    let mut bodies = Vec::new();
    while let Some(end) = text.find("\r\n\r\n") {
        let head = text[..end].to_lowercase();
        let length = head.split("content-length: ").nth(1);
        let length = length.and_then(|rest| rest.lines().next()?.trim().parse().ok());
        let length: usize = length.unwrap_or(0);
        let body = end + 4;
        if text.len() < body + length {
            break;
        }
        bodies.push(text[body..body + length].to_owned());
        text = text[body + length..].to_owned();
    }
    bodies
}

pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

// Describes a request's method, path and fields, except those that tell the length of its body.
fn describe_head(request: &Request<IncomingBody>) -> String {
    let mut lines = vec![format!("{} {}", request.method(), request.uri())];
    for (name, value) in request.headers() {
        if *name != CONTENT_LENGTH && *name != TRANSFER_ENCODING {
            let value = String::from_utf8_lossy(value.as_bytes());
            lines.push(format!("{name}: {value}"));
        }
    }
    lines.push(String::new());
    lines.join("\n")
}
