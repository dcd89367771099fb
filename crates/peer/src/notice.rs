//! Notices in the inbox of a host.

use crate::message::PeerMessage;
use fighall_core::{
    ids::{BootTime, HostId},
    value,
};
use fighall_store::mirror::MirrorState;

value! {
    /// `PeerNotice` is a received message or a change of a link, as queued in the inbox.
    pub enum PeerNotice {
        /// A peer sent a message.
        Received {
            /// Sender.
            peer: HostId,
            /// Message.
            message: PeerMessage,
        },
        /// A peer acknowledged a heartbeat and reported the positions of its mirrors, which were taken no
        /// earlier than `sent_at`.
        Confirmed {
            /// Peer.
            peer: HostId,
            /// Positions of its mirrors.
            mirrors: Vec<MirrorState>,
            /// Time at which the acknowledged heartbeat was sent.
            sent_at: BootTime,
        },
        /// A link came up.
        Up {
            /// Peer.
            peer: HostId,
        },
        /// A link went down.
        Down {
            /// Peer.
            peer: HostId,
        },
    }
}
