//! Messages of other hosts that wait to be handled: other tasks of the thread run in between.

mod support;

use fighall_gateway::{native, node::GatewayNode, reload::SettingsFile};
use fighall_testkit::platform::PlatformStandIn;
use slog::{Discard, Drain, Logger, Never, OwnedKVList, Record, o};
use std::{
    future::poll_fn,
    net::{SocketAddr, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::Poll,
    time::{Duration, Instant},
};
use support::settings;

/// Number of messages that wait.
const MESSAGES: usize = 100;
/// Time within which all of them are handled.
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// Largest number of messages that are handled before other tasks run.
const MAX_HANDLED: usize = 32;

// Counts the lines of messages that were dropped.
struct DropCounter(Arc<AtomicUsize>);

impl Drain for DropCounter {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if record.msg().to_string() == "peer message dropped" {
            self.0.fetch_add(1, Ordering::Relaxed);
        }
        let _ = Discard.log(record, values);
        Ok(())
    }
}

// Lets the other tasks that are ready run once.
async fn yield_now() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        cx.waker().wake_by_ref();
        match std::mem::replace(&mut has_yielded, true) {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    })
    .await;
}

// Regression: messages were handled as long as any waited, and no other task ran.
#[test]
fn waiting_messages_are_handled_in_turns() {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
        let (_, settings) = settings("h1", store.address(), "");
        let peers = settings.peers;
        let dropped = Arc::new(AtomicUsize::new(0));
        let logger = Logger::root(DropCounter(Arc::clone(&dropped)), o!());
        let file = SettingsFile {
            path: "does-not-exist.json".to_owned(),
            bounds: native::read_bounds,
        };
        let gateway = GatewayNode::start(settings, file, native::dialect(), logger);
        let _gateway = gateway.await.expect("a gateway");
        let socket = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        for _ in 0..MESSAGES {
            let sent = socket.send_to(b"no message", peers);
            sent.expect("a message should be sent");
        }
        // A task of its own runs between any two turns of another one.
        let watch = compio::runtime::spawn(async move {
            let mut handled = 0;
            let started_at = Instant::now();
            while handled < MESSAGES {
                assert!(started_at.elapsed() < TIME_LIMIT, "{handled} handled");
                yield_now().await;
                let count = dropped.load(Ordering::Relaxed);
                let added = count - handled;
                assert!(added <= MAX_HANDLED, "{added} messages in one turn");
                handled = count;
            }
        });
        watch.await.expect("all messages handled in turns");
    });
}
