//! A small HTTP server for stand-ins, which may break a connection instead of answering.

use bytes::Bytes;
use compio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
};
use cyper_core::HyperStream;
use futures_util::{FutureExt, pin_mut, select_biased};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    server::conn::http1,
    service::service_fn,
};
use snafu::Snafu;
use std::{
    cell::{Cell, RefCell},
    future::Future,
    net::SocketAddr,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

/// `BrokenExchange` ends a connection without an answer, or within one.
#[derive(Debug, Snafu)]
#[snafu(display("the stand-in broke the connection"))]
pub struct BrokenExchange;

/// `CopyMoment` is an extension of a response without a body: when the connection sends a copy of it.
#[derive(Debug, Clone, Copy)]
pub enum CopyMoment {
    /// After a delay.
    Delayed(Duration),
    /// Right before the response to the next request.
    BeforeNext,
}

/// `StandInBody` is an answer's body that may be cut.
#[derive(Debug)]
pub struct StandInBody {
    data: Full<Bytes>,
    length: u64,
    cut: bool,
}

impl StandInBody {
    /// Creates a whole body.
    pub fn whole(bytes: Bytes) -> Self {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        Self {
            data: Full::new(bytes),
            length,
            cut: false,
        }
    }

    /// Creates a body that announces its whole length and ends after half of it.
    pub fn cut(bytes: Bytes) -> Self {
        let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
        let half = bytes.slice(..bytes.len() / 2);
        Self {
            data: Full::new(half),
            length,
            cut: true,
        }
    }
}

impl Body for StandInBody {
    type Data = Bytes;
    type Error = BrokenExchange;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenExchange>>> {
        match Pin::new(&mut self.data).poll_frame(cx) {
            Poll::Ready(None) if self.cut => Poll::Ready(Some(Err(BrokenExchange))),
            Poll::Ready(frame) => {
                Poll::Ready(frame.map(|frame| frame.map_err(|error| match error {})))
            }
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        !self.cut && self.data.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.length)
    }
}

/// `StandInServer` accepts connections until it is closed.
#[derive(Debug)]
pub struct StandInServer {
    address: SocketAddr,
    closed: Rc<event_listener::Event>,
    is_closed: Rc<Cell<bool>>,
}

impl StandInServer {
    /// Starts a server. `handler` gets each request with the number of its connection.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn start<H, F>(address: SocketAddr, handler: H) -> std::io::Result<Self>
    where
        H: Fn(Request<Incoming>, u64) -> F + Clone + 'static,
        F: Future<Output = Result<Response<StandInBody>, BrokenExchange>> + 'static,
    {
        let listener = TcpListener::bind(address).await?;
        let server = Self {
            address: listener.local_addr()?,
            closed: Rc::new(event_listener::Event::new()),
            is_closed: Rc::new(Cell::new(false)),
        };
        let closed = Rc::clone(&server.closed);
        let is_closed = Rc::clone(&server.is_closed);
        compio::runtime::spawn(accept(listener, handler, closed, is_closed)).detach();
        Ok(server)
    }

    /// Gets the address that the server is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Tells whether the server was closed.
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Closes the listening socket and all connections, as the end of the process would.
    pub fn close(&self) {
        self.is_closed.set(true);
        self.closed.notify(usize::MAX);
    }
}

impl Drop for StandInServer {
    fn drop(&mut self) {
        self.close();
    }
}

async fn accept<H, F>(
    listener: TcpListener,
    handler: H,
    closed: Rc<event_listener::Event>,
    is_closed: Rc<Cell<bool>>,
) where
    H: Fn(Request<Incoming>, u64) -> F + Clone + 'static,
    F: Future<Output = Result<Response<StandInBody>, BrokenExchange>> + 'static,
{
    let mut number = 0;
    loop {
        let ended = closed.listen();
        if is_closed.get() {
            return;
        }
        let accepted = {
            let accept = listener.accept().fuse();
            let ended = ended.fuse();
            pin_mut!(accept, ended);
            select_biased! {
                () = ended => return,
                accepted = accept => accepted,
            }
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        number += 1;
        let task = serve(stream, number, handler.clone(), Rc::clone(&closed));
        compio::runtime::spawn(task).detach();
    }
}

// Sends copies of responses on a connection, past the HTTP implementation.
struct CopySender {
    stream: TcpStream,
    // Copies that the response to the next request follows.
    held: RefCell<Vec<u8>>,
}

impl CopySender {
    async fn send_held(&self) {
        let held = self.held.take();
        if !held.is_empty() {
            let _ = self.stream.clone().write_all(held).await;
        }
    }

    fn take_copy(&self, response: &Response<StandInBody>) {
        match response.extensions().get() {
            Some(CopyMoment::BeforeNext) => {
                self.held.borrow_mut().extend(encode_head(response));
            }
            Some(CopyMoment::Delayed(delay)) => {
                let (mut stream, delay) = (self.stream.clone(), *delay);
                let copy = encode_head(response);
                let send = async move {
                    compio::time::sleep(delay).await;
                    let _ = stream.write_all(copy).await;
                };
                compio::runtime::spawn(send).detach();
            }
            None => {}
        }
    }
}

fn encode_head(response: &Response<StandInBody>) -> Vec<u8> {
    let status = response.status();
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n").into_bytes();
    for (name, value) in response.headers() {
        head.extend_from_slice(name.as_str().as_bytes());
        head.extend_from_slice(b": ");
        head.extend_from_slice(value.as_bytes());
        head.extend_from_slice(b"\r\n");
    }
    head.extend_from_slice(b"\r\n");
    head
}

async fn serve<H, F>(stream: TcpStream, number: u64, handler: H, closed: Rc<event_listener::Event>)
where
    H: Fn(Request<Incoming>, u64) -> F,
    F: Future<Output = Result<Response<StandInBody>, BrokenExchange>>,
{
    let _ = stream.set_nodelay(true);
    let ended = closed.listen().fuse();
    let copies = CopySender {
        stream: stream.clone(),
        held: RefCell::default(),
    };
    let service = service_fn(|request| {
        let response = handler(request, number);
        let copies = &copies;
        async move {
            let response = response.await?;
            copies.send_held().await;
            copies.take_copy(&response);
            Ok::<_, BrokenExchange>(response)
        }
    });
    let connection = http1::Builder::new()
        .serve_connection(HyperStream::new_plain(stream), service)
        .fuse();
    pin_mut!(connection, ended);
    select_biased! {
        _ = connection => {}
        () = ended => {}
    }
}
