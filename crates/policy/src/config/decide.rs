//! What becomes of a patch.

use std::{collections::VecDeque, sync::Arc};

use serde::{Deserialize, Serialize};
use types::config::{Config, Number};

use super::{
    Patch, Root,
    check::{self, Problem},
    fit::{self, Server, Shortage},
    merge::{self, Path},
    part::{self, Part},
    root::{Content, MAX_INLINE_BYTES, digest},
};

/// The configuration as it was last read: the root and what its parts make.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Current {
    /// The root.
    pub root: Root,
    /// What is declared.
    pub config: Arc<Config>,
}

/// The next configuration, to be written: first the parts, each if it is absent, then the root if
/// it is still at the version that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Parts to create.
    pub parts: Vec<Part>,
    /// The root.
    pub root: Root,
    /// What is declared.
    pub config: Arc<Config>,
}

impl Draft {
    /// A configuration under a number, without a history of patches. Parts that the earlier ones
    /// equal are named again.
    ///
    /// # Errors
    ///
    /// A value that JSON can't hold.
    pub fn new(
        number: Number,
        config: Config,
        earlier: &[part::Name],
    ) -> Result<Draft, serde_json::Error> {
        let size = serde_json::to_vec(&config)?.len();
        let config = Arc::new(config);
        let (content, parts) = if size <= MAX_INLINE_BYTES {
            (Content::Whole(config.clone()), Vec::new())
        } else {
            let cut = part::cut(&config, number, earlier)?;
            (Content::Parts { weights: config.weights, names: cut.names }, cut.new)
        };
        let root = Root { number, content, patches: VecDeque::new() };
        Ok(Draft { parts, root, config })
    }
}

/// A patch that is refused because its number is past.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stale {
    /// The number now.
    pub current: Number,
    /// Paths of the patch that others have changed since.
    pub clashes: Vec<Path>,
}

/// What becomes of a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// It may become this draft, if the root is still the one that was read.
    Accept(Box<Draft>),
    /// It was accepted before, as this number.
    Repeated(Number),
    /// It changes nothing at this number.
    Unchanged(Number),
    /// Its number is past, or not reached yet.
    Stale(Stale),
    /// Another patch has its name.
    Reused,
    /// The result would not be a configuration.
    Invalid(Vec<Problem>),
    /// The result, or the way to it, doesn't fit in memory.
    Short(Vec<Shortage>),
}

/// Decides on a patch against what was last read, given the servers that hold models.
///
/// A retry is looked for before anything else, so that the first outcome stands however much has
/// changed since.
pub fn decide(current: &Current, patch: &Patch, servers: &[Server]) -> Decision {
    if let Some(accepted) = current.root.accepted(&patch.id) {
        let is_same = accepted.digest == digest(patch);
        return if is_same { Decision::Repeated(accepted.number) } else { Decision::Reused };
    }
    if patch.against != current.root.number {
        let clashes = current.root.clashes(patch);
        return Decision::Stale(Stale { current: current.root.number, clashes });
    }
    let config = match merge::apply(&current.config, &patch.changes) {
        Ok(config) => config,
        Err(problem) => return Decision::Invalid(vec![problem]),
    };
    if config == *current.config && current.root.number != 0 {
        return Decision::Unchanged(current.root.number);
    }
    let problems = check::problems(&config);
    if !problems.is_empty() {
        return Decision::Invalid(problems);
    }
    let shortages = fit::shortages(&current.config, &config, servers);
    if !shortages.is_empty() {
        return Decision::Short(shortages);
    }
    draft(current, patch, config)
}

fn draft(current: &Current, patch: &Patch, config: Config) -> Decision {
    let number = current.root.number + 1;
    match Draft::new(number, config, current.root.parts()) {
        Ok(mut draft) => {
            draft.root.patches.clone_from(&current.root.patches);
            draft.root.record(patch, merge::paths(&patch.changes));
            Decision::Accept(Box::new(draft))
        }
        Err(error) => {
            let message = format!("can't be written as JSON: {error}");
            Decision::Invalid(vec![Problem { path: String::new(), message }])
        }
    }
}
