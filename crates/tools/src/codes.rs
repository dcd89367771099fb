//! Exit codes of the tools.

/// Everything went well.
pub const OK: u8 = 0;
/// Documents or settings have findings, or something asked for does not exist.
pub const FINDINGS: u8 = 1;
/// Another publication or command came first.
pub const CONFLICT: u8 = 3;
/// The store or a host gave no usable answer.
pub const UNAVAILABLE: u8 = 4;
/// A wait ended before what was waited for.
pub const NOT_YET: u8 = 6;

/// Help text that lists the exit codes. Wrong arguments end with 2.
pub const HELP: &str = "Exit codes: 0 done, 1 findings or not found, 2 usage, 3 conflict, \
                        4 store or host unavailable, 6 not yet";
