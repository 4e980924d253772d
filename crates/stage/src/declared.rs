//! The declared configuration on this host: which parts are known, and where the rest comes from.
//!
//! New numbers arrive by the platform's watch or from other hosts; content is fetched on demand
//! from whichever of them answers. The number in force only goes up: [`Holder`] ensures this
//! for roots and parts, and [`Context::advance`] once more for the configuration that callers see.

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
use types::config::{Number, NumberedConfig};

use self::source::Source;
use crate::context::Context;

/// Number of parts fetched concurrently.
const CONCURRENT_FETCHES: usize = 8;

/// Why a configuration could not be brought into force.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The platform's object API failed.
    #[error(transparent)]
    Platform(#[from] objects::Error),
    /// The content of a part doesn't match its name, or can't be parsed.
    #[error(transparent)]
    Part(#[from] part::Error),
    /// A root or part no longer exists: superseded by a newer root, or deleted manually.
    #[error("{key} is gone")]
    Gone {
        /// Key of the missing object.
        key: String,
    },
    /// A root can't be parsed.
    #[error("{key} is unreadable: {cause}")]
    Root {
        /// Key of the root's object.
        key: String,
        /// Error of the parser.
        cause: String,
    },
}

/// Roots and parts of the declared configuration that this host has.
#[derive(Debug, Default)]
pub struct Declared(Mutex<Holder>);

impl Declared {
    /// Returns the highest configuration number that this host has seen announced.
    pub fn newest_number(&self) -> Number {
        self.holder().newest_number()
    }

    /// Returns the root in force without its patches, for another host that fetches it.
    pub fn root(&self) -> Option<Root> {
        self.holder().root().map(|root| root.without_patches())
    }

    /// Returns a part if this host has it, for another host that fetches it.
    pub fn part(&self, name: &part::Name) -> Option<Arc<[u8]>> {
        self.holder().part(name).cloned()
    }

    fn holder(&self) -> MutexGuard<'_, Holder> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

/// Applies a newly received root: fetches missing parts, and puts the configuration in force unless
/// a newer one is.
///
/// # Errors
///
/// Fails if the root's content doesn't match or a part can't be fetched. The root stays recorded:
/// applying it again resumes the fetch.
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
    if context.advance(NumberedConfig::clone(&numbered)) {
        context.metrics.configuration(number);
        context.events.record(Event::new(event::Kind::Configuration { number }));
        log::info!(number = number; "configuration in force");
    }
}
