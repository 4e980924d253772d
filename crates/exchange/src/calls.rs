//! The remote procedure calls that hosts make to each other.

use std::{sync::Arc, time::Duration};

use futures_util::future::BoxFuture;
use jsonrpsee::{proc_macros::rpc, types::ErrorObjectOwned};
use policy::fleet::{Member, Revision};
use serde::{Deserialize, Serialize};
use tokio::net::TcpStream;
use types::{
    backend,
    routed::{Declaration, Server, Version},
};

use crate::tunnel::Refusal;

/// The servers that the store had at a revision, for a host that knows those of an earlier one.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerListing {
    /// Revision of the store at which the list is complete.
    pub revision: Revision,
    /// Time since the store confirmed the list.
    pub age: Duration,
    /// All servers that were registered at `revision`.
    pub ids: Vec<backend::Id>,
    /// Servers whose entries were removed, but that stay in use since the entries may be written
    /// again.
    pub suspects: Vec<Suspect>,
    /// Entries of registered servers that were written after the revision in the request.
    pub servers: Vec<Entry>,
}

/// A server whose entry was removed while the store was degraded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// Id of the server.
    pub id: backend::Id,
    /// Time for which the server may still be used.
    pub left: Duration,
}

/// A server's entry in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Revision at which the entry was written.
    pub written: Revision,
    /// The registered server.
    pub server: Server,
}

/// The data that other hosts may fetch from a host.
pub trait Source: Send + Sync + 'static {
    /// Returns the declaration in force; `None` if its version is not above `above`.
    fn declaration(&self, above: Version) -> Option<Arc<Declaration>>;

    /// Returns the servers; `None` if no later revision of the store than `above` is known.
    fn servers(&self, above: Revision) -> Option<ServerListing>;

    /// Returns the servers, even if no later revision of the store than `above` is known; `None` if
    /// none is known at all.
    fn follow(&self, above: Revision) -> Option<ServerListing>;

    /// Connects to a server on behalf of another host.
    fn dial(&self, server: backend::Id) -> BoxFuture<'static, Result<TcpStream, Refusal>>;
}

/// The calls as jsonrpsee methods.
#[rpc(server, client)]
pub(crate) trait Rpc {
    /// Returns the declaration in force; `None` if its version is not above `above`.
    #[method(name = "declaration")]
    async fn declaration(
        &self,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, ErrorObjectOwned>;

    /// Returns the servers; `None` if no later revision of the store than `above` is known.
    #[method(name = "servers")]
    async fn servers(&self, above: Revision) -> Result<Option<ServerListing>, ErrorObjectOwned>;

    /// Returns the servers, even if no later revision of the store than `above` is known; `None` if
    /// none is known at all.
    #[method(name = "follow")]
    async fn follow(&self, above: Revision) -> Result<Option<ServerListing>, ErrorObjectOwned>;

    /// Returns the hosts that are not silent, the called host among them.
    #[method(name = "members")]
    async fn members(&self) -> Result<Vec<Member>, ErrorObjectOwned>;
}

/// Serves the calls from a [`Source`] and from the known members.
pub(crate) struct Handler<M> {
    pub(crate) source: Arc<dyn Source>,
    pub(crate) members: M,
}

#[jsonrpsee::core::async_trait]
impl<M: Fn() -> Vec<Member> + Send + Sync + 'static> RpcServer for Handler<M> {
    async fn declaration(
        &self,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, ErrorObjectOwned> {
        Ok(self.source.declaration(above))
    }

    async fn servers(&self, above: Revision) -> Result<Option<ServerListing>, ErrorObjectOwned> {
        Ok(self.source.servers(above))
    }

    async fn follow(&self, above: Revision) -> Result<Option<ServerListing>, ErrorObjectOwned> {
        Ok(self.source.follow(above))
    }

    async fn members(&self) -> Result<Vec<Member>, ErrorObjectOwned> {
        Ok((self.members)())
    }
}
