//! How a target's stand-in behaves, changeable while it runs.

use fighall_core::message;

message! {
    /// `TargetBehaviour` is the behaviour of one target's stand-in.
    #[serde(default)]
    pub struct TargetBehaviour {
        /// Requests served at once; more are shed, where shedding is on, or wait.
        pub slots: u32,
        /// Time that a request takes, in microseconds.
        pub service_us: u64,
        /// Time that a probe takes, in microseconds.
        pub probe_us: u64,
        /// Refuses requests beyond the slots with the "not run" mark.
        pub sheds: bool,
        /// Part of the refusals, in percent, that are followed by a copy on the same connection: at once, after
        /// a delay, or right before the response to the next request.
        pub copies_refusals_percent: u32,
        /// Time that a request takes longer while the cache is cold, in microseconds.
        pub cold_us: u64,
        /// Requests after which the cache is warm.
        pub warm_after: u64,
        /// Connections opened before this count never answer.
        pub silent_before: u64,
        /// Idle time after which a connection is forgotten without notice, in milliseconds: the next
        /// request on it gets no answer and does not run. Zero for never.
        pub forgets_after_ms: u64,
        /// Part of the requests, in percent, whose connection closes before an answer.
        pub early_close_percent: u32,
        /// Part of the answers, in percent, that are cut within the body.
        pub cut_percent: u32,
        /// Answers probes as unhealthy, whatever is true.
        pub lies_unhealthy: bool,
        /// Load that is reported in place of the true one.
        pub lies_load: Option<u32>,
        /// Age of the load that is reported, in milliseconds.
        pub load_lag_ms: u64,
        /// Values of the header that names a rate limit; none without a limit.
        pub limits: Vec<String>,
        /// Announces in every response that the target is leaving.
        pub announces_leaving: bool,
        /// Value of `Retry-After` in responses that shed a request, in seconds; absent if empty.
        pub shed_retry_after: String,
    }
}

impl Default for TargetBehaviour {
    fn default() -> Self {
        Self {
            slots: 9,
            service_us: 5_000,
            probe_us: 6_000,
            sheds: false,
            copies_refusals_percent: 0,
            cold_us: 0,
            warm_after: 0,
            silent_before: 0,
            forgets_after_ms: 0,
            early_close_percent: 0,
            cut_percent: 0,
            lies_unhealthy: false,
            lies_load: None,
            load_lag_ms: 0,
            limits: Vec::new(),
            announces_leaving: false,
            shed_retry_after: String::new(),
        }
    }
}
