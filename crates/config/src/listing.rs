//! The platform's list of live and leaving hosts. It lags.

use fighall_core::{message, tag};

tag! {
    /// `HostRole` is what runs on a listed host.
    pub enum HostRole {
        /// An entry host of fighall.
        Entry,
        /// A target.
        Target,
    }
}

tag! {
    /// `HostState` is whether a listed host stays.
    pub enum HostState {
        /// It is up.
        Live,
        /// It leaves soon.
        Leaving,
    }
}

message! {
    /// `ListedHost` is one entry of the list.
    pub struct ListedHost {
        /// What runs there.
        pub role: HostRole,
        /// Whether it stays.
        pub state: HostState,
        /// Address.
        #[serde(default)]
        pub address: String,
    }
}
