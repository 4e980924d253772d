//! Follows the declared configuration in the object API, where that is this host's part.
//!
//! A few hosts watch; the others hear of numbers from them, and fetch what they lack. A host that
//! has just started, and knows no others yet, watches too.

use std::sync::Arc;

use objects::{Change, Object, Revision};
use policy::{
    config::ROOT_KEY,
    member::{backoff::Backoff, rendezvous},
};
use types::prelude::*;

use crate::{
    context::Context,
    declared::{
        self, Error,
        source::{self, Platform},
    },
};

/// First wait after a failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Longest wait after a failure.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Follows the configuration for good: a list first, then watches from its revision.
pub(super) async fn run(context: Arc<Context>) {
    let seed = rendezvous::score(b"config", &context.host().id) ^ context.incarnation;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, seed);
    loop {
        if !is_watching(&context) {
            tokio::time::sleep(context.settings.intervals.heartbeat).await;
            continue;
        }
        if let Err(error) = follow(&context, &mut backoff).await {
            log::warn!("configuration: {error}");
            tokio::time::sleep(backoff.fail()).await;
        }
    }
}

async fn follow(context: &Context, backoff: &mut Backoff) -> Result<(), Error> {
    let listing = context.store.list(ROOT_KEY).await?;
    platform_answered(context, backoff);
    for object in listing.objects.iter().filter(|object| object.key == ROOT_KEY) {
        apply_object(context, object).await?;
    }
    let mut revision: Revision = listing.revision;
    while is_watching(context) {
        let changes = context.store.watch(ROOT_KEY, revision).await?;
        platform_answered(context, backoff);
        revision = changes.revision;
        // Of several changes only the last matters: numbers only go up.
        match changes.changes.last() {
            Some(Change::Put(object)) => apply_object(context, object).await?,
            Some(Change::Delete { key }) => {
                log::error!(key = key.as_str(); "configuration deleted; the last one stays");
            }
            None => {}
        }
    }
    Ok(())
}

fn is_watching(context: &Context) -> bool {
    context.peers.gossip().is_watching(context.now())
}

fn platform_answered(context: &Context, backoff: &mut Backoff) {
    backoff.succeed();
    context.peers.gossip().platform_answered(context.now());
}

/// Takes a root. One that can't be understood is passed over: reading it again won't mend it, and
/// the watch brings the next.
async fn apply_object(context: &Context, object: &Object) -> Result<(), Error> {
    match source::parse(object) {
        Ok(root) => declared::apply_root(context, root, &Platform(&*context.store)).await,
        Err(error) => {
            log::error!("configuration: {error}");
            Ok(())
        }
    }
}
