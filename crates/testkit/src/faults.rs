//! What the platform's stand-in does wrong when it is told to.

use fighall_core::message;

message! {
    /// `StoreFaults` are the faults of the store's stand-in.
    #[derive(Default)]
    #[serde(default)]
    pub struct StoreFaults {
        /// Breaks every connection without an answer.
        pub down: bool,
        /// Delay of every answer, in milliseconds.
        pub delay_ms: u64,
        /// Part of the writes, in percent, whose answer is lost after they took effect.
        pub lost_answer_percent: u32,
        /// Lets watches hang without an answer.
        pub silent_watches: bool,
        /// Answers reads with the state of an older version, where it still has it.
        pub stale_reads: bool,
    }
}
