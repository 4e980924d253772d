//! Follows the shared object of the quarantine.

use std::sync::Arc;

use platform::{Change, Error, Version};
use types::prelude::*;

use crate::{context::Context, suspects::KEY};

const PAUSE: Duration = Duration::from_secs(1);

/// Reads and watches for good. An outage leaves what was read last in place.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        if let Err(error) = follow(&context).await {
            log::warn!("quarantine: {error}");
            tokio::time::sleep(PAUSE).await;
        }
    }
}

async fn follow(context: &Context) -> Result<(), Error> {
    let listing = context.store.list(KEY).await?;
    for object in listing.objects {
        take(context, object.version, &object.value);
    }
    let mut revision = listing.revision;
    loop {
        let changes = context.store.watch(KEY, revision).await?;
        revision = changes.revision;
        for change in changes.changes {
            match change {
                Change::Put(object) => take(context, object.version, &object.value),
                Change::Delete { .. } => context.suspects.read(revision, Default::default()),
            }
        }
    }
}

fn take(context: &Context, version: Version, value: &[u8]) {
    match serde_json::from_slice(value) {
        Ok(document) => context.suspects.read(version, document),
        Err(error) => log::error!(key = KEY; "quarantine can't be read: {error}"),
    }
}
