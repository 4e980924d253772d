//! Numbered configurations: patches, conflicts, and the number in force.
//!
//! The configuration lives in the object API as a small root and the parts that it names. A patch
//! names the number it is against and becomes the next number by one conditional write of the
//! root, so of two patches that race one wins and the other is told. Nothing here waits or writes:
//! [`decide`] turns a patch into a draft of the next root with the parts to create before it, and
//! [`holder::Holder`] turns roots and parts that a host hears of into the number in force there.
//!
//! A patch is a JSON merge patch (RFC 7396). Operations on paths (RFC 6902) were the other choice;
//! they name positions in arrays and can test values, but everything declared here is an object
//! keyed by name without nulls, the number already tests the base, and a merge patch has the form
//! of the files themselves, so that operators read a patch as they read the configuration.

pub mod check;
pub mod decide;
pub mod fit;
pub mod holder;
pub mod merge;
pub mod outcome;
pub mod part;
pub mod root;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use types::config::Number;

pub use decide::{Decision, Draft, decide};
pub use outcome::Outcome;
pub use root::Root;

/// Key of the root object.
pub const ROOT_KEY: &str = "config/root";

/// Start of the keys of parts.
pub const PART_PREFIX: &str = "config/part/";

/// Name of a patch, unique for all time; a retry keeps it.
pub type Id = Arc<str>;

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Its name.
    pub id: Id,
    /// The number that it is against.
    pub against: Number,
    /// What changes, as a JSON merge patch.
    pub changes: serde_json::Value,
}

/// JSON pointer (RFC 6901) of names, one below the other.
pub fn pointer(names: &[&str]) -> String {
    names.iter().map(|name| format!("/{}", name.replace('~', "~0").replace('/', "~1"))).collect()
}
