//! Names and shapes on the wire between hosts and engines.

use serde::{Deserialize, Serialize};

/// Header with the request's id; the answer repeats it.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the attempt's number; the answer repeats it.
pub const ATTEMPT: &str = "x-attempt";

/// Header with the priority, as a number that rises with it.
pub const PRIORITY: &str = "x-priority";

/// Header of a load report with the tag of its residents.
pub const RESIDENTS: &str = "x-residents";

/// Header by which a reader names the residents that it knows, so that they can be left out.
pub const KNOWN_RESIDENTS: &str = "x-known-residents";

/// Header that resumes a stream after this token offset.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// A request to import or export the KV cache of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cache {
    /// The model or `model:adapter`.
    pub model: String,
    /// Digests of the prompt's blocks, the first first.
    pub blocks: Vec<u64>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; a jump means that some were lost.
    pub sequence: u64,
    /// The model that the block belongs to.
    pub model: String,
    /// Digest of the prompt up to the block's end.
    pub block: u64,
    /// Whether the block came or went.
    pub change: CacheChange,
}

/// Whether a block came or went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// Now cached.
    Stored,
    /// No longer cached.
    Evicted,
}

/// Digests of a prompt's prefixes, one for each block of this many bytes.
pub const BLOCK_BYTES: usize = 256;

/// Rough number of bytes in one token.
pub const TOKEN_BYTES: usize = 4;

/// Digest of each prefix of `prompt` that ends on a whole block, the shortest first.
pub fn blocks(model: &str, prompt: &str) -> Vec<u64> {
    let seed = fnv(FNV_OFFSET, model.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .scan(seed, |digest, block| {
            *digest = fnv(*digest, block);
            Some(*digest)
        })
        .collect()
}

// FNV-1a: the digest must chain block by block and be the same in every process.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

fn fnv(digest: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(digest, |d, b| (d ^ u64::from(*b)).wrapping_mul(FNV_PRIME))
}
