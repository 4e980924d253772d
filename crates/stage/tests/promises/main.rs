//! Guarantees that must hold during failures, tested with real host processes.
//!
//! Each module tests one guarantee; `pairs` and `pairs_control` combine two failures. The checks
//! use callers that know the expected answer and the stand-ins' own counts, not what hosts report.

#[path = "../common/mod.rs"]
mod common;

mod answers;
mod configuration;
mod graceful;
mod leaving;
mod not_run;
mod once;
mod pairs;
mod pairs_control;
mod reachable;
