//! What the object of a range holds.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::{host, request};

use super::{Claim, Key, UnixMillis};

/// Bytes of an entry without its outcome, as JSON; a little more than the longest seen.
const ENTRY_BYTES: usize = 200;

/// The object of a range of keys.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Keys that were claimed.
    pub entries: BTreeMap<Key, Entry>,
    /// Who may grant from memory.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hold: Option<Hold>,
    /// Times of keys that former holders may have granted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub gaps: Vec<Gap>,
}

impl Document {
    /// Size as JSON, estimated from above.
    pub fn bytes(&self) -> usize {
        self.entries.values().map(Entry::bytes).sum()
    }

    /// Whether a key of this time may have been granted by a former holder.
    pub fn is_in_gap(&self, stamp: UnixMillis) -> bool {
        self.gaps.iter().any(|gap| gap.from <= stamp && stamp <= gap.until)
    }

    /// Whether this very claim has its key.
    pub(super) fn is_claimed_by(&self, claim: &Claim) -> bool {
        let entry = self.entries.get(&claim.key.key);
        entry.is_some_and(|entry| entry.id == claim.id && entry.state == State::Claimed)
    }

    /// Forgets recorded bodies, the oldest first, until it is small enough or none is left.
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
    /// The host.
    pub host: host::Id,
    /// The run.
    pub incarnation: host::Incarnation,
}

/// The right to grant from memory while the object API is down.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hold {
    /// Whose it is.
    pub holder: HostRun,
    /// When it last wrote.
    pub at: UnixMillis,
}

/// Times of keys that may have been granted from memory, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Gap {
    /// The earliest.
    pub from: UnixMillis,
    /// The latest.
    pub until: UnixMillis,
}

/// A key that was claimed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The request that claimed it.
    pub id: request::Id,
    /// Digest of what that request asks, shortened.
    pub digest: u64,
    /// The run of the host that claimed it.
    pub claimant: HostRun,
    /// When it was claimed.
    pub at: UnixMillis,
    /// How far it is.
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

    /// Forgets the body; returns how many bytes that frees.
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

/// How far a claimed request is.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// May be dispatched, run, or have run.
    Claimed,
    /// Ran.
    Done(Outcome),
    /// Was dispatched, and how it went will never be known.
    Lost,
}

/// What came of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Status of the answer.
    pub status: u16,
    /// Its content type, empty if it had none.
    pub content_type: String,
    /// Its body.
    pub body: Body,
}

/// Body of a recorded answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Body {
    /// The whole body.
    Whole(String),
    /// Too long, not text, cut short, or forgotten to make room.
    Unrecorded,
}

impl Body {
    /// Longest body that is recorded, in bytes.
    pub const LIMIT: usize = 2048;

    /// Records a body if it is text and short enough.
    pub fn new(bytes: &[u8]) -> Body {
        match std::str::from_utf8(bytes) {
            Ok(text) if text.len() <= Body::LIMIT => Body::Whole(text.to_owned()),
            Ok(_) | Err(_) => Body::Unrecorded,
        }
    }

    /// Length as JSON.
    fn bytes(&self) -> usize {
        match self {
            Body::Whole(text) => text.bytes().map(escaped).sum(),
            Body::Unrecorded => 0,
        }
    }
}

/// Bytes that JSON needs for a byte of text, at the most.
fn escaped(byte: u8) -> usize {
    match byte {
        b'"' | b'\\' => 2,
        0..=0x1f => 6,
        _ => 1,
    }
}
