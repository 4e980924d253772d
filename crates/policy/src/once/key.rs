//! Keys: a caller's `Idempotency-Key` within its scope.

use serde::{Deserialize, Deserializer, Serialize, Serializer, de::Error as _};
use types::{customer, request, service};

use super::{Number, UnixMillis};

/// Digest of a key and its scope; the key itself is not kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(u128);

/// Key with the time that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimedKey {
    /// Digest of the key and its scope.
    pub key: Key,
    /// Time that a version 7 UUID carries; `None` for any other key.
    pub stamp: Option<UnixMillis>,
}

impl TimedKey {
    /// Reads a caller's key in the scope of a customer's service.
    pub fn new(customer: &customer::Id, service: &service::Id, text: &request::Key) -> TimedKey {
        TimedKey { key: Key::new(customer, service, text), stamp: stamp(text) }
    }
}

impl Key {
    /// Computes the digest of a caller's key in the scope of a customer's service.
    pub fn new(customer: &customer::Id, service: &service::Id, text: &request::Key) -> Key {
        let mut hasher = blake3::Hasher::new();
        for part in [customer, service, text] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut bytes = [0; 16];
        hasher.finalize_xof().fill(&mut bytes);
        Key(u128::from_be_bytes(bytes))
    }

    /// Bytes of the digest.
    pub fn bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }

    /// Number of the range that the key falls in, of `ranges`.
    pub fn range(self, ranges: Number) -> Number {
        (self.0 % u128::from(ranges.max(1))) as Number
    }
}

impl Serialize for Key {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&format_args!("{:032x}", self.0))
    }
}

impl<'de> Deserialize<'de> for Key {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Key, D::Error> {
        let text = String::deserialize(deserializer)?;
        u128::from_str_radix(&text, 16).map(Key).map_err(D::Error::custom)
    }
}

fn stamp(text: &str) -> Option<UnixMillis> {
    let id = uuid::Uuid::parse_str(text).ok()?;
    if id.get_version_num() != 7 {
        return None;
    }
    let (seconds, nanos) = id.get_timestamp()?.to_unix();
    Some(seconds * 1000 + u64::from(nanos) / 1_000_000)
}
