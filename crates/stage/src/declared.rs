//! The declared configuration on this host: what is held of it, and where the rest comes from.
//!
//! Numbers are heard of from the platform's watch or from other hosts; content is fetched on
//! demand from whichever of them answers. The number in force only goes up: [`Holder`] sees to it
//! for roots and parts, and [`Context::advance`] once more for what callers see.

pub mod patch;
pub mod source;

use std::sync::{Arc, Mutex, MutexGuard};

use futures_util::{StreamExt, stream};
use observe::{Event, event};
use policy::config::{
    Root,
    holder::{Holder, Progress},
    part,
};
use types::config::{Number, Numbered};

use self::source::Source;
use crate::context::Context;

/// Parts that are fetched at once.
const CONCURRENT_FETCHES: usize = 8;

/// Why a configuration could not be brought into force.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's object API failed.
    #[error(transparent)]
    Platform(#[from] objects::Error),
    /// A part isn't what its root says.
    #[error(transparent)]
    Part(#[from] part::Fault),
    /// A root or a part is gone; a newer root has taken its place, or it was deleted by hand.
    #[error("{key} is gone")]
    Gone {
        /// Key of what is gone.
        key: String,
    },
    /// A root can't be understood.
    #[error("{key} is unreadable: {cause}")]
    Root {
        /// Key of the root.
        key: String,
        /// What the parser says.
        cause: String,
    },
}

/// What this host holds of the declared configuration.
#[derive(Debug, Default)]
pub struct Declared(Mutex<Holder>);

impl Declared {
    /// The highest number heard of.
    pub fn newest_number(&self) -> Number {
        self.holder().newest_number()
    }

    /// The root in force without its patches, for another host that asks.
    pub fn root(&self) -> Option<Root> {
        self.holder().root().map(|root| root.bare())
    }

    /// A part that is held, for another host that asks.
    pub fn part(&self, name: &part::Name) -> Option<Arc<[u8]>> {
        self.holder().part(name).cloned()
    }

    fn holder(&self) -> MutexGuard<'_, Holder> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Takes a root that was heard of, fetches the parts that are missing, and puts the configuration
/// in force unless a newer one is.
///
/// # Errors
///
/// A part that could not be fetched. The root is remembered: taking it again goes on from there.
pub async fn apply_root(context: &Context, root: Root, source: &dyn Source) -> Result<(), Error> {
    let progress = context.declared.holder().observe_root(root)?;
    put_in_force(context, progress);
    let needs = context.declared.holder().needs();
    let mut parts = stream::iter(needs)
        .map(async |name| source.part(&name).await.map(|bytes| (name, bytes)))
        .buffer_unordered(CONCURRENT_FETCHES);
    while let Some(part) = parts.next().await {
        let (name, bytes) = part?;
        let progress = context.declared.holder().add_part(name, bytes)?;
        put_in_force(context, progress);
    }
    Ok(())
}

fn put_in_force(context: &Context, progress: Progress) {
    let Progress::InForce(numbered) = progress else { return };
    let number = numbered.number;
    if context.advance(Numbered::clone(&numbered)) {
        context.metrics.configuration(number);
        context.events.record(Event::new(event::Kind::Configuration { number }));
        log::info!(number = number; "configuration in force");
    }
}
