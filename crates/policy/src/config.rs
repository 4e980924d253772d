//! Numbered configurations: patches, conflicts, and the number in force.
//!
//! The configuration is stored in the object API as a small root object and the parts that the root
//! names. A patch names the number on which it is based and becomes the next number by one
//! conditional write of the root: of two concurrent patches one succeeds, and the other is refused
//! as stale. Nothing in this module waits or writes: [`decide()`] turns a patch into a draft of the
//! next root and the parts to create before it, and [`holder::Holder`] turns the roots and parts
//! that a host receives into the number in force there.
//!
//! A patch is a JSON merge patch (RFC 7396). Operations on paths (RFC 6902) could also name
//! positions in arrays and test values, but everything declared here is an object keyed by name
//! without nulls, and the number already tests the base. A merge patch has the form of the
//! declaration files, so that operators read a patch as they read the configuration.

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

/// Prefix of the keys of parts.
pub const PART_PREFIX: &str = "config/part/";

/// Name of a patch, unique for all time; a retry uses the same one.
pub type Id = Arc<str>;

/// Change of the configuration, as requested by an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Name of the patch.
    pub id: Id,
    /// Number of the configuration on which the patch is based.
    pub against: Number,
    /// The change, as a JSON merge patch.
    pub changes: serde_json::Value,
}

/// Returns the JSON pointer (RFC 6901) of nested names, the outermost first.
pub fn pointer(names: &[&str]) -> String {
    names.iter().map(|name| format!("/{}", name.replace('~', "~0").replace('/', "~1"))).collect()
}
