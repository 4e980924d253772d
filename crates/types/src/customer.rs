//! Customers on whose behalf services run, and the keys by which their callers are identified.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::routed::Rate;

/// Name of a customer.
pub type Id = Arc<str>;

/// A customer as operators declare it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Weight relative to other customers while requests queue; positive.
    #[serde(default = "one")]
    pub share: u32,
}

fn one() -> u32 {
    1
}

/// Domain of the digests of callers' keys, so that they differ from digests of the same bytes that
/// are made for another purpose.
const KEY_CONTEXT: &str = "cyclamenstage 2026-12-04 caller key";

/// Digest of a caller's key. Hosts keep and exchange digests, never the keys; all hosts derive the
/// same digest from a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> KeyDigest {
        let mut digest = [0; size_of::<u128>()];
        blake3::Hasher::new_derive_key(KEY_CONTEXT).update(key).finalize_xof().fill(&mut digest);
        KeyDigest(u128::from_be_bytes(digest))
    }
}

impl fmt::Debug for KeyDigest {
    /// Leaves out the digest: a short key could be guessed from it.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest")
    }
}

impl From<KeyDigest> for String {
    fn from(digest: KeyDigest) -> String {
        format!("{:032x}", digest.0)
    }
}

impl TryFrom<String> for KeyDigest {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<KeyDigest, Self::Error> {
        u128::from_str_radix(&text, 16).map(KeyDigest)
    }
}

/// Limit on what a customer's requests may use, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Units per second.
    pub rate: Rate,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// What is counted.
    pub unit: Unit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and of the longest possible answer.
    Tokens {
        /// Tokens that a request without a token count uses.
        plain: u32,
    },
}

impl Quota {
    /// Returns the units that a request uses. `tokens` are those of its prompt and of its longest
    /// possible answer, if it states them.
    #[must_use]
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        match self.unit {
            Unit::Requests => 1.0,
            Unit::Tokens { plain } => tokens.unwrap_or(plain.into()) as f64,
        }
    }
}
