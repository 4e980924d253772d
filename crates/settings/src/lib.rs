//! Process settings and declared configuration, read from JSON with a file, line and column for
//! every finding.
//!
//! A reader that stops at the first error has to be run once for each error. Here the text is
//! first parsed into a [`node::Node`] tree that records line and column of each value. The tree is
//! then deserialized into the typed value repeatedly, each time with the values found faulty so
//! far replaced by placeholders ([`shape`]). So the schema is declared once, by the types' serde
//! implementations, and all findings are still reported together. Constraints that serde can't
//! express (references to undeclared names, zero shares) are checked on the typed value, and the
//! tree gives their location.

pub mod config;
pub mod finding;
pub mod node;
pub mod process;
pub mod shape;

pub use config::{read_config, write_config};
pub use finding::{Finding, Findings};
pub use process::read_process;
