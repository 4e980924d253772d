//! Sources of roots and parts.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use objects::{Object, Store, Version};
use policy::config::{
    ROOT_KEY, Root,
    part::{self, Part},
};

use super::Error;

/// Source of configuration parts: the platform or another host.
pub trait Source: Send + Sync {
    /// Fetches a part by its content-derived name.
    fn part<'a>(&'a self, name: &'a part::Name) -> BoxFuture<'a, Result<Arc<[u8]>, Error>>;
}

/// Reads parts from the platform's object API.
pub struct Platform<'s>(pub &'s dyn Store);

impl Source for Platform<'_> {
    fn part<'a>(&'a self, name: &'a part::Name) -> BoxFuture<'a, Result<Arc<[u8]>, Error>> {
        Box::pin(async move {
            let key = name.key();
            let object = self.0.get(&key).await?;
            let object = object.ok_or(Error::Gone { key })?;
            Ok(Arc::from(&*object.value))
        })
    }
}

/// Serves parts that this host has just written, and reads the others from the platform.
pub struct DraftSource<'s> {
    /// Parts just written.
    pub parts: Vec<Part>,
    /// Source of all other parts.
    pub rest: Platform<'s>,
}

impl Source for DraftSource<'_> {
    fn part<'a>(&'a self, name: &'a part::Name) -> BoxFuture<'a, Result<Arc<[u8]>, Error>> {
        match self.parts.iter().find(|part| part.name == *name) {
            Some(part) => Box::pin(async { Ok(Arc::from(&*part.bytes)) }),
            None => self.rest.part(name),
        }
    }
}

/// A root as read, with the version of its object.
#[derive(Clone, Debug, Default)]
pub struct StoredRoot {
    /// Version of the object; `None` if it doesn't exist.
    pub version: Option<Version>,
    /// The root; empty if the object doesn't exist.
    pub root: Root,
}

/// Reads the newest root from the object API.
///
/// # Errors
///
/// Fails if the object API fails or the object is not a valid root.
pub async fn newest(store: &dyn Store) -> Result<StoredRoot, Error> {
    match store.get(ROOT_KEY).await? {
        Some(object) => Ok(StoredRoot { version: Some(object.version), root: parse(&object)? }),
        None => Ok(StoredRoot::default()),
    }
}

/// Parses the value of a root's object.
///
/// # Errors
///
/// Fails if the value is not a valid root.
pub fn parse(object: &Object) -> Result<Root, Error> {
    serde_json::from_slice(&object.value)
        .map_err(|error| Error::Root { key: object.key.clone(), cause: error.to_string() })
}
