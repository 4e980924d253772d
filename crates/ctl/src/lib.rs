//! The operators' command line.
//!
//! [`flags`] says what can be asked for, one module of `commands` does each thing over
//! [`client::Client`], and gives a [`report::Report`] that is printed as tables or as JSON. It
//! asks hosts and decides nothing; a library so that tests can call it.

pub mod client;
mod commands;
pub mod error;
pub mod flags;
pub mod report;
