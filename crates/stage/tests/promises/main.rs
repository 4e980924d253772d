//! What must always hold, proved with real processes while things fail.
//!
//! Each module is one promise; `pairs` is two failures at once. Verdicts come from callers that
//! know the right answer and from the stand-ins' own counts, not from the system's word.

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
