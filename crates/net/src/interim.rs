//! Limit on the interim responses to a request (RFC 9110, section 15.2).

use event_listener::{Event, EventListener};
use http::Request;
use hyper::ext::on_informational;
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Largest number of interim responses to one request.
pub(crate) const MAX_INTERIM_RESPONSES: usize = 32;

/// Counts the interim responses to `request` once it is sent. Returns a listener for the one that exceeds the limit.
pub(crate) fn listen_excess<B>(request: &mut Request<B>) -> EventListener {
    let count = AtomicUsize::new(0);
    let exceeded = Arc::new(Event::new());
    let listener = exceeded.listen();
    on_informational(request, move |_| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INTERIM_RESPONSES {
            exceeded.notify(1);
        }
    });
    listener
}
