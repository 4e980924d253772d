//! Follows the declared configuration in the object API.

use std::sync::Arc;

use platform::{Change, Object, Revision};
use policy::config::ROOT_KEY;

use crate::{
    context::Context,
    declared::{
        self, Error,
        source::{self, Platform},
    },
};

/// Follows the configuration for good: a list first, then watches from its revision.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        if let Err(error) = follow(&context).await {
            log::warn!("configuration: {error}");
        }
        tokio::time::sleep(context.settings.intervals.list).await;
    }
}

async fn follow(context: &Context) -> Result<(), Error> {
    let listing = context.store.list(ROOT_KEY).await?;
    for object in listing.objects.iter().filter(|object| object.key == ROOT_KEY) {
        take(context, object).await?;
    }
    let mut revision: Revision = listing.revision;
    loop {
        let changes = context.store.watch(ROOT_KEY, revision).await?;
        revision = changes.revision;
        // Of several changes only the last matters: numbers only go up.
        match changes.changes.last() {
            Some(Change::Put(object)) => take(context, object).await?,
            Some(Change::Delete { key }) => {
                log::error!(key = key.as_str(); "configuration deleted; the last one stays");
            }
            None => {}
        }
    }
}

/// Takes a root. One that can't be understood is passed over: reading it again won't mend it, and
/// the watch brings the next.
async fn take(context: &Context, object: &Object) -> Result<(), Error> {
    match source::parse(object) {
        Ok(root) => declared::take(context, root, &Platform(&*context.store)).await,
        Err(error) => {
            log::error!("configuration: {error}");
            Ok(())
        }
    }
}
