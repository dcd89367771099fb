//! Service and fleet documents: parsing, checks and publication.

#![forbid(unsafe_code)]

pub mod assembly;
pub mod blocks;
pub mod check;
pub mod commands;
pub mod errors;
pub mod fleet;
pub mod keys;
pub mod listing;
pub mod pointer;
pub mod publish;
pub mod service;
pub mod source;
pub mod tables;
