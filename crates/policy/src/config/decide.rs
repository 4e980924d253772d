//! Decision on a patch.

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

/// Configuration as last read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Current {
    /// Root object.
    pub root: Root,
    /// Declared configuration, read from the root and its parts.
    pub config: Arc<Config>,
}

/// Next configuration to write: first the parts, each if it does not exist, then the root if its
/// version is still the one that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// Parts to create.
    pub parts: Vec<Part>,
    /// Root to write.
    pub root: Root,
    /// Declared configuration.
    pub config: Arc<Config>,
}

impl Draft {
    /// Creates the draft of a configuration under a number, without a history of patches. Parts
    /// equal to `earlier` ones are reused.
    ///
    /// # Errors
    ///
    /// A value that JSON can't represent.
    pub fn new(
        number: Number,
        config: Config,
        earlier: &[part::Name],
    ) -> Result<Draft, serde_json::Error> {
        let size = serde_json::to_vec(&config)?.len();
        let config = Arc::new(config);
        let (content, parts) = if size <= MAX_INLINE_BYTES {
            (Content::Inline(config.clone()), Vec::new())
        } else {
            let split = part::split(&config, number, earlier)?;
            (Content::Parts { weights: config.weights, names: split.names }, split.new)
        };
        let root = Root { number, content, patches: VecDeque::new() };
        Ok(Draft { parts, root, config })
    }
}

/// Refusal of a patch that is not based on the current number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stale {
    /// Current number.
    pub current: Number,
    /// Paths of the patch that other patches have changed since.
    pub clashes: Vec<Path>,
}

/// Decision on a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The patch may become this draft, if the root is still the one that was read.
    Accept(Box<Draft>),
    /// The patch was accepted before, as this number.
    Repeated(Number),
    /// The patch changes nothing at this number.
    Unchanged(Number),
    /// The patch is based on an earlier number, or on one not reached yet.
    Stale(Stale),
    /// Another patch has the same name.
    Reused,
    /// The result would not be a valid configuration.
    Invalid(Vec<Problem>),
    /// The result, or a step on the way to it, doesn't fit in memory.
    Short(Vec<Shortage>),
}

/// Decides on a patch against the configuration last read, given the servers that can run models.
///
/// A retry is recognized first, so that it gets the first outcome however much has changed since.
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
