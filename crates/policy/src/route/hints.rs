//! Prefix hints: which servers are thought to have a prompt's prefix in their cache.
//!
//! Hints come from the engines' cache events, which are late and have gaps, and from where earlier
//! requests were sent. A hint is only a reason to prefer a server: a wrong one costs a prefill and
//! does not change the answer. Memory is bounded by two generations: when the current one is full,
//! it becomes the previous one, and prefixes of the former previous one that were not added again
//! are forgotten.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
};

use types::prelude::*;

use super::table::Index;

/// Largest number of servers remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// Hints by prefix; the hasher has no random state, and the iteration order is never exposed.
type Generation = HashMap<u64, Holders, BuildHasherDefault<DefaultHasher>>;

/// Bounds of the hints.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Largest number of prefixes in one generation.
    pub generation: usize,
    /// Age at which a hint expires.
    pub life: Duration,
    /// Length of one block of a prompt, in tokens.
    pub block_tokens: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { generation: 32_768, life: Duration::from_secs(300), block_tokens: 64 }
    }
}

/// Server that is thought to hold a prefix in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Index of the server.
    pub server: Index,
    /// Length of the longest prefix that the server holds, in tokens.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    server: Index,
    added_at: Moment,
}

/// Holders of one prefix, the most recently confirmed first.
#[derive(Clone, Copy, Debug, Default)]
struct Holders([Option<Hint>; MAX_HOLDERS]);

impl Holders {
    fn iter(&self) -> impl Iterator<Item = &Hint> {
        self.0.iter().flatten()
    }

    fn is_empty(&self) -> bool {
        self.iter().next().is_none()
    }

    fn put(&mut self, hint: Hint) {
        let same = self.0.iter().position(|h| h.is_some_and(|h| h.server == hint.server));
        let end =
            same.or_else(|| self.0.iter().position(Option::is_none)).unwrap_or(MAX_HOLDERS - 1);
        self.0.copy_within(0..end, 1);
        self.0[0] = Some(hint);
    }

    fn remove(&mut self, server: Index) {
        for slot in &mut self.0 {
            if slot.is_some_and(|hint| hint.server == server) {
                *slot = None;
            }
        }
    }
}

/// Prefix digests and the servers that hold them.
#[derive(Clone, Debug, Default)]
pub struct Hints {
    bounds: Bounds,
    current: Generation,
    previous: Generation,
}

impl Hints {
    /// Returns an empty set of hints.
    pub fn new(bounds: Bounds) -> Hints {
        Hints { bounds, ..Hints::default() }
    }

    /// Number of prefixes remembered, at most twice [`Bounds::generation`].
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no prefix is remembered.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }

    /// Records that a server holds a prefix, or will once it has read the prompt.
    pub fn add(&mut self, prefix: u64, server: Index, now: Moment) {
        if self.bounds.generation <= self.current.len() && !self.current.contains_key(&prefix) {
            std::mem::swap(&mut self.previous, &mut self.current);
            self.current.clear();
        }
        let previous = &mut self.previous;
        let holders = self
            .current
            .entry(prefix)
            .or_insert_with(|| previous.remove(&prefix).unwrap_or_default());
        holders.put(Hint { server, added_at: now });
    }

    /// Records that a server has evicted a prefix.
    pub fn remove(&mut self, prefix: u64, server: Index) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.remove(server);
            }
        }
    }

    /// Forgets a server that has lost its whole cache, as after a restart.
    pub fn clear(&mut self, server: Index) {
        for generation in [&mut self.current, &mut self.previous] {
            generation.retain(|_, holders| {
                holders.remove(server);
                !holders.is_empty()
            });
        }
    }

    /// Returns the servers that hold some of these prefixes (shortest first), with the longest that
    /// each holds.
    ///
    /// A cache that holds a prefix holds all shorter ones, so the search goes from the longest
    /// prefix to shorter ones and ends once it has found [`MAX_HOLDERS`] servers.
    pub fn holders(&self, prefixes: &[u64], now: Moment) -> Vec<Holder> {
        let mut holders: Vec<Holder> = Vec::new();
        for (at, prefix) in prefixes.iter().enumerate().rev() {
            let tokens = self.bounds.block_tokens.saturating_mul(at as u32 + 1);
            for hint in self.hints(*prefix).iter().flat_map(|holders| holders.iter()) {
                let fresh = now.saturating_sub(hint.added_at) < self.bounds.life;
                if fresh && holders.iter().all(|holder| holder.server != hint.server) {
                    holders.push(Holder { server: hint.server, tokens });
                }
            }
            if MAX_HOLDERS <= holders.len() {
                break;
            }
        }
        holders
    }

    fn hints(&self, prefix: u64) -> Option<&Holders> {
        self.current.get(&prefix).or_else(|| self.previous.get(&prefix))
    }
}
