//! Listening sockets: one task for each connection.

use crate::{
    body::ProxyBody,
    errors::{Error, Result},
    stream::SocketStream,
};
use compio::net::{TcpListener, TcpStream};
use cyper_core::CompioTimer;
use fighall_kernel::{kernel::MicroKernel, stage::LifeStage};
use futures_util::{FutureExt, pin_mut, select_biased};
use http::{Request, Response};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use std::{
    convert::Infallible,
    future::Future,
    net::{IpAddr, SocketAddr},
    rc::Rc,
    time::Duration,
};

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Most headers of a request.
const HEADER_LIMIT: usize = 100;
/// Largest head of a request, in bytes.
const HEAD_LIMIT: usize = 64 * 1_024;

/// Binds a listening socket.
///
/// # Errors
///
/// Returns an error that names the address.
pub async fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|source| Error::Listen { address, source })
}

/// Serves the connections of a listener until the process refuses new ones. `pause` gets how long a new
/// connection may wait for a request's head, also between requests.
pub async fn serve<H, F>(
    kernel: Rc<MicroKernel>,
    listener: TcpListener,
    pause: impl Fn() -> Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F + Clone + 'static,
    F: Future<Output = Response<ProxyBody>> + 'static,
{
    loop {
        let accepted = {
            let accept = listener.accept().fuse();
            let refusing = kernel.signal().reached(LifeStage::Refusing).fuse();
            pin_mut!(accept, refusing);
            select_biased! {
                () = refusing => return,
                accepted = accept => accepted,
            }
        };
        let Ok((stream, remote)) = accepted else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let task_kernel = Rc::clone(&kernel);
        let handler = handler.clone();
        let pause = pause();
        kernel.spawn_work(async move {
            serve_connection(&task_kernel, stream, remote.ip(), pause, handler).await;
        });
    }
}

async fn serve_connection<H, F>(
    kernel: &MicroKernel,
    stream: TcpStream,
    remote: IpAddr,
    pause: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>, IpAddr) -> F,
    F: Future<Output = Response<ProxyBody>>,
{
    // These fail only on a connection that its caller has reset already.
    let Ok(()) = stream.set_nodelay(true) else {
        return;
    };
    let Ok(stream) = SocketStream::new(stream) else {
        return;
    };
    let service = service_fn(|request| {
        let answer = handler(request, remote);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(pause)
        .max_headers(HEADER_LIMIT)
        .max_buf_size(HEAD_LIMIT)
        .serve_connection(stream, service);
    pin_mut!(connection);
    {
        let ended = connection.as_mut().fuse();
        let refusing = kernel.signal().reached(LifeStage::Refusing).fuse();
        pin_mut!(ended, refusing);
        select_biased! {
            // Whatever ends a connection, its requests have been told already.
            _ = ended => return,
            () = refusing => {}
        }
    }
    // Idle connections end now; one with a request in flight ends after its answer.
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}
