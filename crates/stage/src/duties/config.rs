//! Follows the declared configuration in the object API.

use std::sync::Arc;

use observe::{Event, event::Kind};
use platform::{Change, Object, Revision};
use types::config::Numbered;

use crate::context::Context;

const ROOT: &str = "config/root";

/// Follows the configuration for good: a list first, then watches from its revision.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        if let Err(error) = follow(&context).await {
            log::warn!("configuration: {error}");
        }
        tokio::time::sleep(context.settings.intervals.list).await;
    }
}

async fn follow(context: &Context) -> Result<(), platform::Error> {
    let listing = context.store.list(ROOT).await?;
    listing.objects.iter().for_each(|object| take(context, object));
    let mut revision: Revision = listing.revision;
    loop {
        let changes = context.store.watch(ROOT, revision).await?;
        revision = changes.revision;
        for change in &changes.changes {
            match change {
                Change::Put(object) => take(context, object),
                Change::Delete { key } => log::error!(key = key.as_str(); "configuration deleted"),
            }
        }
    }
}

fn take(context: &Context, object: &Object) {
    match serde_json::from_slice::<Numbered>(&object.value) {
        Ok(numbered) => {
            let number = numbered.number;
            if context.advance(numbered) {
                context.metrics.configuration(number);
                context.events.record(Event::new(Kind::Configuration { number }));
                log::info!(number = number; "configuration in force");
            }
        }
        Err(error) => log::error!(key = object.key.as_str(); "configuration unreadable: {error}"),
    }
}
