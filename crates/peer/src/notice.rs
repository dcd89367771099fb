//! What a host's inbox holds.

use crate::message::PeerMessage;
use fighall_core::{
    ids::{BootTime, HostId},
    value,
};
use fighall_store::mirror::MirrorState;

value! {
    /// `PeerNotice` is an item of the inbox.
    pub enum PeerNotice {
        /// A message of a peer.
        Received {
            /// Sender.
            peer: HostId,
            /// Message.
            message: PeerMessage,
        },
        /// A peer told how far its mirrors are. It was no earlier than `sent_at`.
        Confirmed {
            /// Peer.
            peer: HostId,
            /// Its mirrors.
            mirrors: Vec<MirrorState>,
            /// When the heartbeat was sent that it answers.
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
