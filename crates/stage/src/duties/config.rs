//! Watches the declared configuration in the object API, on the hosts selected to do so.
//!
//! A few hosts watch; the others receive new numbers from them and fetch what they lack. A host
//! that has just started and knows no other hosts yet watches too.

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

/// Delay after the first failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum delay after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Runs forever: lists the root once, then watches from that revision; lists again after a failure.
pub(super) async fn run(context: Arc<Context>) {
    let seed = rendezvous::score(b"config", &context.host().id) ^ context.incarnation;
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, seed);
    loop {
        if !is_watching(&context) {
            tokio::time::sleep(context.settings.intervals.heartbeat).await;
            continue;
        }
        if let Err(error) = follow(&context, &mut backoff).await {
            log::warn!("configuration not read or applied: {error}");
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
        // Only the last of several changes matters, since numbers only go up.
        match changes.changes.last() {
            Some(Change::Put(object)) => apply_object(context, object).await?,
            Some(Change::Delete { key }) => {
                log::error!(
                    key = key.as_str(); "root deleted; the last configuration stays in force"
                );
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

/// Applies a root's object. An invalid root is skipped: reading it again would not help, and the
/// watch delivers the next one.
async fn apply_object(context: &Context, object: &Object) -> Result<(), Error> {
    match source::parse(object) {
        Ok(root) => declared::apply_root(context, root, &Platform(&*context.store)).await,
        Err(error) => {
            log::error!("configuration skipped: {error}");
            Ok(())
        }
    }
}
