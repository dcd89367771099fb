//! Command line tools of fighall.

#![forbid(unsafe_code)]

pub mod access;
pub mod codes;
pub mod control;
pub mod drains;
pub mod errors;
pub mod explain;
pub mod keys;
pub mod loading;
pub mod logs;
pub mod moves;
pub mod overview;
pub mod page;
pub mod publishing;
pub mod table;
pub mod timeline;
pub mod tour;
