//! Stand-ins of the platform and of targets, load and scripted scenarios.

#![forbid(unsafe_code)]
