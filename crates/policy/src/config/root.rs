//! The root object, which holds a small configuration or names the parts of a large one.
//!
//! A small one comes into force with the one value that a watch brings. Above [`MAX_INLINE_BYTES`]
//! a change would rewrite more than it needs to, and the value limit would come in sight.
//!
//! It also keeps the latest patches, so that a retry gets the first outcome and a stale patch is
//! told what clashes. The list is bounded, and nothing rests on its length: a retry that comes
//! after its entry has gone is against a number long past and refused as stale, never run twice.

use std::{
    collections::{BTreeSet, VecDeque},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use types::config::{Config, Number, Weights};

use super::{
    Id, Patch,
    merge::{self, Path, clash},
    part,
};

/// Most patches that a root keeps.
const MAX_PATCHES: usize = 128;

/// Most paths that are kept of all patches together.
const MAX_PATHS: usize = 2048;

/// Most paths that are kept of one patch before they are shortened.
const MAX_PATHS_PER_PATCH: usize = 64;

/// Names in a path to one entry of a section.
const ENTRY_DEPTH: usize = 2;

/// Largest configuration that stands in the root itself, in bytes of JSON.
pub const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Root of a numbered configuration, as the object API holds it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub struct Root {
    /// The number.
    pub number: Number,
    /// What it holds or names.
    pub content: Content,
    /// The latest patches, the oldest first.
    pub patches: VecDeque<Accepted>,
}

/// What a root holds or names.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// All that is declared.
    Whole(Arc<Config>),
    /// The names of parts.
    Parts {
        /// Weights of the two measures, which stand in no part.
        weights: Weights,
        /// The parts, in order.
        names: Vec<part::Name>,
    },
}

impl Default for Content {
    fn default() -> Content {
        Content::Whole(Arc::default())
    }
}

/// A root in JSON: `config`, or `weights` and `parts`.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Wire {
    number: Number,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    config: Option<Arc<Config>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    weights: Option<Weights>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    parts: Option<Vec<part::Name>>,
    #[serde(default)]
    patches: VecDeque<Accepted>,
}

impl TryFrom<Wire> for Root {
    type Error = &'static str;

    fn try_from(wire: Wire) -> Result<Root, &'static str> {
        let content = match (wire.config, wire.weights, wire.parts) {
            (Some(config), None, None) => Content::Whole(config),
            (None, Some(weights), Some(names)) => Content::Parts { weights, names },
            _ => return Err("a root has either `config`, or `weights` and `parts`"),
        };
        Ok(Root { number: wire.number, content, patches: wire.patches })
    }
}

impl From<Root> for Wire {
    fn from(root: Root) -> Wire {
        let (config, weights, parts) = match root.content {
            Content::Whole(config) => (Some(config), None, None),
            Content::Parts { weights, names } => (None, Some(weights), Some(names)),
        };
        Wire { number: root.number, config, weights, parts, patches: root.patches }
    }
}

/// A patch that was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Its name.
    pub id: Id,
    /// Digest of what it asked.
    pub digest: String,
    /// The number that it made.
    pub number: Number,
    /// What it touched, shortened to entries or sections where that is much.
    pub paths: Vec<Path>,
}

impl Root {
    /// The root without its patches: all that a host needs which doesn't decide on patches. It is
    /// a sixth of the whole at the size of 950 models.
    pub fn bare(&self) -> Root {
        Root { number: self.number, content: self.content.clone(), patches: VecDeque::new() }
    }

    /// The parts that it names, in order; none when it holds the whole.
    pub fn parts(&self) -> &[part::Name] {
        match &self.content {
            Content::Whole(_) => &[],
            Content::Parts { names, .. } => names,
        }
    }

    /// What is known of a patch with this name.
    pub fn accepted(&self, id: &str) -> Option<&Accepted> {
        self.patches.iter().rev().find(|patch| &*patch.id == id)
    }

    /// Paths of a patch that others have changed since the number it is against. Every path of
    /// it, when that number lies further back than the patches that are kept.
    pub fn clashes(&self, patch: &Patch) -> Vec<Path> {
        let paths = merge::paths(&patch.changes);
        let oldest = self.patches.front().map_or(self.number, |accepted| accepted.number - 1);
        if patch.against < oldest {
            return paths.into_iter().collect();
        }
        let later = self.patches.iter().filter(|accepted| patch.against < accepted.number);
        let touched: BTreeSet<&Path> = later.flat_map(|accepted| &accepted.paths).collect();
        let is_touched = |path: &Path| touched.iter().any(|other| clash(path, other));
        paths.into_iter().filter(is_touched).collect()
    }

    /// Keeps a patch as accepted and drops the oldest beyond the bounds.
    pub(super) fn record(&mut self, patch: &Patch, touched: BTreeSet<Path>) {
        self.patches.push_back(Accepted {
            id: patch.id.clone(),
            digest: digest(patch),
            number: self.number,
            paths: shorten(touched),
        });
        let mut paths: usize = self.patches.iter().map(|accepted| accepted.paths.len()).sum();
        while MAX_PATCHES < self.patches.len() || MAX_PATHS < paths {
            let Some(oldest) = self.patches.pop_front() else { break };
            paths -= oldest.paths.len();
        }
    }
}

/// Digest of what a patch asks.
pub(super) fn digest(patch: &Patch) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&patch.against.to_be_bytes());
    hasher.update(patch.changes.to_string().as_bytes());
    let mut hex = hasher.finalize().to_hex().to_string();
    hex.truncate(16);
    hex
}

fn shorten(paths: BTreeSet<Path>) -> Vec<Path> {
    let mut paths = paths;
    for depth in [ENTRY_DEPTH, ENTRY_DEPTH - 1] {
        if paths.len() <= MAX_PATHS_PER_PATCH {
            break;
        }
        paths = paths.iter().map(|path| first_names(path, depth)).collect();
    }
    paths.into_iter().collect()
}

fn first_names(path: &str, count: usize) -> Path {
    path.split('/').skip(1).take(count).map(|name| format!("/{name}")).collect()
}
