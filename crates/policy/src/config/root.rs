//! The root object, which contains a small configuration or names the parts of a large one.
//!
//! A small configuration comes into force with the single value that a watch returns. Above
//! [`MAX_INLINE_BYTES`] a change would rewrite more than necessary, and the size would approach the
//! value limit of the object API.
//!
//! The root also records the latest patches, so that a retry gets the first outcome and a stale
//! patch is answered with the paths that conflict. The list is bounded, and correctness doesn't
//! depend on its length: a retry that arrives after its entry was dropped is based on a long
//! superseded number and is refused as stale, never applied twice.

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

/// Maximum number of recorded patches.
const MAX_PATCHES: usize = 128;

/// Maximum number of recorded paths of all patches together.
const MAX_PATHS: usize = 2048;

/// Number of paths of one patch above which they are shortened.
const MAX_PATHS_PER_PATCH: usize = 64;

/// Number of names in the path of an entry of a section.
const ENTRY_DEPTH: usize = 2;

/// Largest configuration that is stored in the root itself, in bytes of JSON.
pub const MAX_INLINE_BYTES: usize = 32 * 1024;

/// Root of a numbered configuration, as stored in the object API.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "Wire", into = "Wire")]
pub struct Root {
    /// Number of the configuration.
    pub number: Number,
    /// The configuration, or the names of its parts.
    pub content: Content,
    /// Latest accepted patches, the oldest first.
    pub patches: VecDeque<Accepted>,
}

/// The configuration, or the names of its parts.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// Complete configuration.
    Inline(Arc<Config>),
    /// Configuration in parts.
    Parts {
        /// Weights of attainment and moves, which are in no part.
        weights: Weights,
        /// Names of the parts, in order.
        names: Vec<part::Name>,
    },
}

impl Default for Content {
    fn default() -> Content {
        Content::Inline(Arc::default())
    }
}

/// Root in JSON: `config`, or `weights` and `parts`.
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
            (Some(config), None, None) => Content::Inline(config),
            (None, Some(weights), Some(names)) => Content::Parts { weights, names },
            _ => return Err("a root has either `config`, or `weights` and `parts`"),
        };
        Ok(Root { number: wire.number, content, patches: wire.patches })
    }
}

impl From<Root> for Wire {
    fn from(root: Root) -> Wire {
        let (config, weights, parts) = match root.content {
            Content::Inline(config) => (Some(config), None, None),
            Content::Parts { weights, names } => (None, Some(weights), Some(names)),
        };
        Wire { number: root.number, config, weights, parts, patches: root.patches }
    }
}

/// Accepted patch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Accepted {
    /// Name of the patch.
    pub id: Id,
    /// Digest of the patch's base and change.
    pub digest: String,
    /// Number that the patch became.
    pub number: Number,
    /// Paths that the patch changed, shortened to entries or sections if there are many.
    pub paths: Vec<Path>,
}

impl Root {
    /// Returns the root without its patches, for hosts that don't decide on patches. For 950 models
    /// it has a sixth of the full root's size.
    pub fn without_patches(&self) -> Root {
        Root { number: self.number, content: self.content.clone(), patches: VecDeque::new() }
    }

    /// Returns the names of the parts, in order; empty if the root contains the configuration.
    pub fn parts(&self) -> &[part::Name] {
        match &self.content {
            Content::Inline(_) => &[],
            Content::Parts { names, .. } => names,
        }
    }

    /// Returns the record of the accepted patch with this name.
    pub fn accepted(&self, id: &str) -> Option<&Accepted> {
        self.patches.iter().rev().find(|patch| &*patch.id == id)
    }

    /// Returns the paths of a patch that other patches have changed since the number on which it is
    /// based; every path of the patch, if that number is older than the recorded patches.
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

    /// Records a patch as accepted, and drops the oldest ones beyond the limits.
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

/// Returns the digest of a patch's base and change, by which a retry is recognized.
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
