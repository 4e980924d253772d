//! Fetches parts of a configuration from the host that announced it.

use std::sync::Arc;

use futures_util::future::BoxFuture;
use objects::Store;
use policy::config::part;
use types::host::Host;

use crate::declared::{
    Error,
    source::{Platform, Source},
};

/// Reads parts from another host, or from the platform if the host no longer has them.
pub(super) struct Peer<'p> {
    pub(super) client: &'p ::peer::Client,
    pub(super) host: &'p Host,
    pub(super) store: &'p dyn Store,
}

impl Source for Peer<'_> {
    fn part<'a>(&'a self, name: &'a part::Name) -> BoxFuture<'a, Result<Arc<[u8]>, Error>> {
        Box::pin(async move {
            match self.client.part(self.host.peers, &name.key()).await {
                Ok(part) => Ok(Arc::from(part.get().as_bytes())),
                Err(error) => {
                    log::debug!(
                        "part not fetched from a peer; reading it from the platform: {error}"
                    );
                    Platform(self.store).part(name).await
                }
            }
        })
    }
}
