//! Where a host received an object or a change from.

use fighall_core::value;
use std::{fmt, net::SocketAddr};

value! {
    /// `ChangeSource` is where a host received an object or a change from.
    #[derive(Copy, Eq)]
    pub enum ChangeSource {
        /// A store call of this host.
        StoreCall,
        /// A message that the host at this address forwarded.
        Host(SocketAddr),
    }
}

impl fmt::Display for ChangeSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StoreCall => f.write_str("store"),
            Self::Host(address) => write!(f, "{address}"),
        }
    }
}
