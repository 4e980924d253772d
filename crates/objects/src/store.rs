//! The trait of the platform's object API and host list, and the types that it returns.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use types::host::List;

use crate::error::Error;

/// Version of an object, assigned by the platform.
pub type Version = u64;

/// Number of a change in the platform's store; the latest change has the highest.
pub type Revision = u64;

/// An object at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Key of the object.
    pub key: String,
    /// Version of the object that was read.
    pub version: Version,
    /// Value at this version.
    pub value: Bytes,
}

/// Objects under a prefix at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Revision at which the objects were read.
    pub revision: Revision,
    /// Objects, in the order of their keys.
    pub objects: Vec<Object>,
}

/// A change that a watch returned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The object was created or updated.
    Put(Object),
    /// The object was deleted.
    Delete {
        /// Key of the object.
        key: String,
    },
}

/// Result of a watch; empty if no object changed within the watch time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision from which the next watch continues.
    pub revision: Revision,
    /// Changes, oldest first.
    pub changes: Vec<Change>,
}

/// The platform's object API and host list. Each call counts against the platform's rate limits.
pub trait Store: Send + Sync {
    /// Reads one object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Object>, Error>>;

    /// Reads all objects under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> BoxFuture<'a, Result<Listing, Error>>;

    /// Creates an object; [`Error::Conflict`] if it exists.
    fn create<'a>(&'a self, key: &'a str, value: Bytes) -> BoxFuture<'a, Result<Version, Error>>;

    /// Updates an object; [`Error::Conflict`] unless its version is `version`.
    fn update<'a>(
        &'a self,
        key: &'a str,
        version: Version,
        value: Bytes,
    ) -> BoxFuture<'a, Result<Version, Error>>;

    /// Deletes an object; [`Error::Conflict`] unless its version is `version`.
    fn delete<'a>(&'a self, key: &'a str, version: Version) -> BoxFuture<'a, Result<(), Error>>;

    /// Waits for changes under a prefix after revision `from`, at most for the client's watch time;
    /// [`Error::Compacted`] if the platform no longer stores the changes since `from`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        from: Revision,
    ) -> BoxFuture<'a, Result<Changes, Error>>;

    /// Reads the platform's list of hosts and backend servers, which may be out of date.
    fn hosts(&self) -> BoxFuture<'_, Result<List, Error>>;
}
