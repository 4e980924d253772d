//! The calls that hosts make to each other.

use std::{sync::Arc, time::Duration};

use jsonrpsee::{proc_macros::rpc, types::ErrorObjectOwned};
use policy::fleet::{Member, Revision};
use serde::{Deserialize, Serialize};
use types::{
    backend,
    routed::{Declaration, Server, Version},
};

/// Servers as the store had them at a revision, for one who knows them as of an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registered {
    /// The revision.
    pub revision: Revision,
    /// How long ago the store said so.
    pub age: Duration,
    /// All servers that were registered then.
    pub ids: Vec<backend::Id>,
    /// Servers that are used on though their entries went, since these may come back.
    pub suspects: Vec<Suspect>,
    /// Entries of the registered servers that were written since the revision asked from.
    pub servers: Vec<Entry>,
}

/// A server whose entry went while the store was degraded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The server.
    pub id: backend::Id,
    /// Time for which it may still be used.
    pub left: Duration,
}

/// A server's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The revision at which it was written.
    pub written: Revision,
    /// The server.
    pub server: Server,
}

/// What a host has to answer with.
pub trait Source: Send + Sync + 'static {
    /// The declaration in force, if its version is above this one.
    fn declaration(&self, above: Version) -> Option<Arc<Declaration>>;

    /// The servers, if they are of a later revision of the store.
    fn servers(&self, above: Revision) -> Option<Registered>;

    /// The servers, whether or not they are of a later revision.
    fn follow(&self, above: Revision) -> Option<Registered>;
}

/// The calls as jsonrpsee carries them.
#[rpc(server, client)]
pub(crate) trait Rpc {
    /// The declaration in force, if it is above this version.
    #[method(name = "declaration")]
    async fn declaration(
        &self,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, ErrorObjectOwned>;

    /// The servers, if they are of a later revision.
    #[method(name = "servers")]
    async fn servers(&self, above: Revision) -> Result<Option<Registered>, ErrorObjectOwned>;

    /// The servers, whether or not they are of a later revision.
    #[method(name = "follow")]
    async fn follow(&self, above: Revision) -> Result<Option<Registered>, ErrorObjectOwned>;

    /// The hosts that it knows and hears, itself among them.
    #[method(name = "members")]
    async fn members(&self) -> Result<Vec<Member>, ErrorObjectOwned>;
}

/// Passes calls on to a [`Source`] and to what is known of the hosts.
pub(crate) struct Adapter<M> {
    pub(crate) source: Arc<dyn Source>,
    pub(crate) members: M,
}

#[jsonrpsee::core::async_trait]
impl<M: Fn() -> Vec<Member> + Send + Sync + 'static> RpcServer for Adapter<M> {
    async fn declaration(
        &self,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, ErrorObjectOwned> {
        Ok(self.source.declaration(above))
    }

    async fn servers(&self, above: Revision) -> Result<Option<Registered>, ErrorObjectOwned> {
        Ok(self.source.servers(above))
    }

    async fn follow(&self, above: Revision) -> Result<Option<Registered>, ErrorObjectOwned> {
        Ok(self.source.follow(above))
    }

    async fn members(&self) -> Result<Vec<Member>, ErrorObjectOwned> {
        Ok((self.members)())
    }
}
