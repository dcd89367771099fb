//! TCP proxy in front of the store whose connections can go silent for good, without a reset.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

struct Link {
    used_at: Mutex<Instant>,
    // Whether the bytes that passed last came from the caller, who waits for an answer.
    awaits_answer: AtomicBool,
    silent: AtomicBool,
    ended: AtomicBool,
}

pub struct Proxy {
    links: Mutex<Vec<Arc<Link>>>,
}

impl Proxy {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            links: Mutex::new(Vec::new()),
        })
    }

    /// Opens an address from which connections lead to `target`.
    pub fn listen(self: &Arc<Self>, target: SocketAddr) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("proxy address");
        let address = listener.local_addr().expect("proxy address");
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                server.connect(stream, target);
            }
        });
        address
    }

    /// Silences the open connections on which an answer has been awaited for `idle`: from now on nothing passes on
    /// them, while others and new ones work. Returns the number of silenced and of open connections.
    pub fn silence_waiting(&self, idle: Duration) -> (usize, usize) {
        let (mut silenced, mut open) = (0, 0);
        for link in self.links.lock().unwrap().iter() {
            if link.ended.load(Ordering::SeqCst) {
                continue;
            }
            open += 1;
            let waits = link.awaits_answer.load(Ordering::SeqCst);
            if waits && link.used_at.lock().unwrap().elapsed() >= idle {
                link.silent.store(true, Ordering::SeqCst);
                silenced += 1;
            }
        }
        (silenced, open)
    }

    fn connect(&self, caller: TcpStream, target: SocketAddr) {
        let Ok(server) = TcpStream::connect(target) else {
            return;
        };
        let link = Arc::new(Link {
            used_at: Mutex::new(Instant::now()),
            awaits_answer: AtomicBool::new(false),
            silent: AtomicBool::new(false),
            ended: AtomicBool::new(false),
        });
        self.links.lock().unwrap().push(Arc::clone(&link));
        for (from, to, is_request) in [(&caller, &server, true), (&server, &caller, false)] {
            let _ = from.set_nodelay(true);
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else {
                return;
            };
            let link = Arc::clone(&link);
            thread::spawn(move || pump(from, to, is_request, &link));
        }
    }
}

// Copies bytes until one side closes. What arrives on a silent connection is lost, its end too.
fn pump(mut from: TcpStream, mut to: TcpStream, is_request: bool, link: &Link) {
    let mut bytes = vec![0; 64 * 1024];
    loop {
        let read = from.read(&mut bytes).unwrap_or(0);
        if link.silent.load(Ordering::SeqCst) {
            if read == 0 {
                link.ended.store(true, Ordering::SeqCst);
                return;
            }
            continue;
        }
        *link.used_at.lock().unwrap() = Instant::now();
        link.awaits_answer.store(is_request, Ordering::SeqCst);
        if read == 0 || to.write_all(&bytes[..read]).is_err() {
            link.ended.store(true, Ordering::SeqCst);
            let _ = to.shutdown(std::net::Shutdown::Both);
            return;
        }
    }
}
