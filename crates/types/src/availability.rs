//! Availability zones and the regions that they belong to.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an availability zone.
pub type Id = Arc<str>;

/// Name of a region.
pub type Region = Arc<str>;

/// An availability zone: hosts and servers that share a failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Zone {
    /// The zone's name.
    pub id: Id,
    /// The region that the zone belongs to.
    pub region: Region,
}
