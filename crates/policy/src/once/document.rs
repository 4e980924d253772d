//! Stored object of a range of keys.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{host, request};

use super::{Claim, Key, UnixMillis};

/// Upper estimate of the size of an entry as JSON, in bytes, without its outcome and without the
/// ids of the request and the host.
const ENTRY_BYTES: usize = 200;

/// Object of a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Keys that were claimed.
    pub entries: BTreeMap<Key, Entry>,
    /// Right to grant from memory, with its holder.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<Hold>,
    /// Times of keys that former holders may have granted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<Gap>,
}

impl Document {
    /// Upper estimate of the size as JSON, in bytes.
    pub fn bytes(&self) -> usize {
        self.entries.values().map(Entry::bytes).sum()
    }

    /// Whether a key with this time may have been granted by a former holder.
    pub fn is_in_gap(&self, stamp: UnixMillis) -> bool {
        self.gaps.iter().any(|gap| gap.from <= stamp && stamp <= gap.until)
    }

    /// Whether the claim's key is claimed by that very claim.
    pub(super) fn is_claimed_by(&self, claim: &Claim) -> bool {
        let entry = self.entries.get(&claim.key.key);
        entry.is_some_and(|entry| entry.id == claim.id && entry.state == State::Claimed)
    }

    /// Drops recorded bodies, the oldest first, until the size is at most `bytes` or no body is
    /// left.
    pub(super) fn drop_bodies(&mut self, bytes: usize) {
        let mut excess = self.bytes().saturating_sub(bytes);
        let mut oldest: Vec<(UnixMillis, Key)> =
            self.entries.iter().map(|(key, entry)| (entry.at, *key)).collect();
        oldest.sort_unstable();
        for (_, key) in oldest {
            if excess == 0 {
                return;
            }
            if let Some(entry) = self.entries.get_mut(&key) {
                excess = excess.saturating_sub(entry.drop_body());
            }
        }
    }
}

/// One run of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HostRun {
    /// Id of the host.
    pub host: host::Id,
    /// Incarnation of the process.
    pub incarnation: host::Incarnation,
}

/// Right to grant from memory while the object API is down.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hold {
    /// Run that holds the right.
    pub holder: HostRun,
    /// When the holder last wrote the object.
    pub at: UnixMillis,
}

/// Times of keys that may have been granted from memory, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gap {
    /// Earliest time that such a key carries.
    pub from: UnixMillis,
    /// Latest time that such a key carries.
    pub until: UnixMillis,
}

/// Entry of a key that was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Id of the request that claimed the key.
    pub id: request::Id,
    /// Digest of that request's content, shortened.
    pub digest: u64,
    /// Run of the host that claimed the key.
    pub claimant: HostRun,
    /// When the key was claimed.
    pub at: UnixMillis,
    /// State of the request.
    pub state: State,
}

impl Entry {
    pub(super) fn bytes(&self) -> usize {
        let outcome = match &self.state {
            State::Claimed | State::Lost => 0,
            State::Done(outcome) => outcome.content_type.len() + outcome.body.bytes(),
        };
        ENTRY_BYTES + self.id.len() + self.claimant.host.len() + outcome
    }

    /// Drops the recorded body and returns the bytes that this frees.
    fn drop_body(&mut self) -> usize {
        match &mut self.state {
            State::Claimed | State::Lost => 0,
            State::Done(outcome) => {
                let freed = outcome.body.bytes();
                outcome.body = Body::Unrecorded;
                freed
            }
        }
    }
}

/// State of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The request may be dispatched, run, or have run.
    Claimed,
    /// The request ran.
    Done(Outcome),
    /// The request was dispatched, and its outcome will never be known.
    Lost,
}

/// Outcome of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the response.
    pub status: u16,
    /// Content type of the response; empty if it had none.
    pub content_type: String,
    /// Body of the response.
    pub body: Body,
}

/// Body of a recorded response.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// Complete body.
    #[serde(rename = "whole")]
    Complete(String),
    /// Body that is not recorded: too long, not text, cut short, or dropped to make room.
    Unrecorded,
}

impl Body {
    /// Longest body that is recorded, in bytes.
    pub const LIMIT: usize = 2048;

    /// Records a body if it is text and no longer than [`Body::LIMIT`].
    pub fn new(bytes: &[u8]) -> Body {
        match std::str::from_utf8(bytes) {
            Ok(text) if text.len() <= Body::LIMIT => Body::Complete(text.to_owned()),
            Ok(_) | Err(_) => Body::Unrecorded,
        }
    }

    /// Length as JSON, in bytes.
    fn bytes(&self) -> usize {
        match self {
            Body::Complete(text) => text.bytes().map(escaped).sum(),
            Body::Unrecorded => 0,
        }
    }
}

/// Returns the bytes that JSON needs for a byte of text, at the most.
fn escaped(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 2,
        0..=0x1f => 6,
        _ => 1,
    }
}
