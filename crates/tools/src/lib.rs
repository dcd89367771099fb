//! Command line tools of fighall.

#![forbid(unsafe_code)]
