//! Availability zones and the regions that hold them.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an availability zone.
pub type Id = Arc<str>;

/// Name of a region.
pub type Region = Arc<str>;

/// An availability zone: hosts that fail together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Zone {
    /// Its name.
    pub id: Id,
    /// The region it lies in.
    pub region: Region,
}
