//! The command line for operators, `cyclamenctl`.
//!
//! [`flags`] parses the arguments. Each command has a module in `commands`, which queries hosts
//! through [`client::Client`] and returns a [`report::Report`] that is printed as tables or as
//! JSON. All decisions are the hosts'. This is a library so that tests can call it.

pub mod client;
mod commands;
pub mod error;
pub mod flags;
pub mod report;
