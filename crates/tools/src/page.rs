//! The time line as one self-contained HTML page.

use crate::timeline::{details, kind_name};
use fighall_core::{event::TimelineEvent, message};

message! {
    /// `PageEvent` is an event as the page's script reads it.
    pub struct PageEvent {
        /// Wall-clock milliseconds.
        pub at: u64,
        /// Count within the millisecond.
        pub counter: u32,
        /// Host.
        pub host: String,
        /// Kind.
        pub kind: String,
        /// Request, or empty.
        pub request: String,
        /// Organisation, or empty.
        pub organisation: String,
        /// Target or peer, or empty.
        pub target: String,
        /// What happened in words.
        pub details: String,
    }
}

const HEAD: &str = include_str!("page/head.html");
const TAIL: &str = include_str!("page/tail.html");

/// Renders the page: a lane for each host, events on a common axis, filters, and a request
/// followed over the lanes.
pub fn render(events: &[TimelineEvent]) -> String {
    let mut rows = Vec::new();
    for event in events {
        let subject = &event.subject;
        let target = subject.target.clone().or_else(|| subject.peer.clone());
        rows.push(PageEvent {
            at: event.stamp.millis,
            counter: event.stamp.counter,
            host: event.host.clone(),
            kind: kind_name(&event.kind),
            request: subject.request.clone().unwrap_or_default(),
            organisation: subject.organisation.clone().unwrap_or_default(),
            target: target.unwrap_or_default(),
            details: details(&event.kind),
        });
    }
    let data = serde_json::to_string(&rows).unwrap_or_default();
    // A text within the data must not end the script element.
    let data = data.replace("</", "<\\/");
    format!("{HEAD}{data}{TAIL}")
}

#[cfg(test)]
mod tests {
    use super::*;
    use fighall_core::{
        clock::HybridStamp,
        event::{EventKind, EventSubject},
    };

    #[test]
    fn the_page_holds_the_events_and_cannot_be_broken_out_of() {
        let event = TimelineEvent {
            stamp: HybridStamp {
                millis: 5,
                counter: 0,
            },
            host: "h1".to_owned(),
            subject: EventSubject::default(),
            kind: EventKind::Retried {
                cause: "</script><b>".to_owned(),
            },
        };
        let page = render(&[event]);
        assert!(page.contains("\"kind\":\"retried\""));
        assert!(!page.contains("</script><b>"));
        assert!(page.ends_with("</html>\n"));
    }
}
