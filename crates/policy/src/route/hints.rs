//! Which server is thought to have a prompt's prefix in its cache.
//!
//! Hints come from the engines' cache events, which are late and have gaps, and from where earlier
//! requests were sent. They are only ever a reason to prefer a server: a wrong one costs a
//! prefill, never an answer. Memory is bounded by two generations: when the young one is full it
//! becomes the old one, and what was old and unused since is forgotten.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, DefaultHasher},
};

use types::prelude::*;

use super::table::Index;

/// Most servers remembered for one prefix.
const MAX_HOLDERS: usize = 4;

/// Hints by prefix; the hasher has no random state, and the order never shows.
type Generation = HashMap<u64, Holders, BuildHasherDefault<DefaultHasher>>;

/// Bounds of the hints.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Most prefixes in one generation.
    pub generation: usize,
    /// Age at which a hint counts for nothing.
    pub life: Duration,
    /// Tokens in one block of a prompt.
    pub block_tokens: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds { generation: 32_768, life: Duration::from_secs(300), block_tokens: 64 }
    }
}

/// A server that is thought to hold a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The server.
    pub server: Index,
    /// Tokens of the prompt that it holds.
    pub tokens: u32,
}

#[derive(Clone, Copy, Debug)]
struct Hint {
    server: Index,
    added_at: Moment,
}

/// The servers of one prefix, the last heard of first.
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
    /// Without hints yet.
    pub fn new(bounds: Bounds) -> Hints {
        Hints { bounds, ..Hints::default() }
    }

    /// Prefixes remembered, at most twice [`Bounds::generation`].
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }

    /// The server holds this prefix, or will once it has read the prompt.
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

    /// The server has dropped this prefix.
    pub fn remove(&mut self, prefix: u64, server: Index) {
        for generation in [&mut self.current, &mut self.previous] {
            if let Some(holders) = generation.get_mut(&prefix) {
                holders.remove(server);
            }
        }
    }

    /// The server has lost its whole cache, as after a restart.
    pub fn clear(&mut self, server: Index) {
        for generation in [&mut self.current, &mut self.previous] {
            generation.retain(|_, holders| {
                holders.remove(server);
                !holders.is_empty()
            });
        }
    }

    /// Servers that hold some of these prefixes (shortest first), with the longest that each holds.
    ///
    /// A cache holds whole beginnings, so the search ends at the first prefix, from the longest,
    /// that anyone holds, and looks no further than the few before it for shorter holds.
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
