//! Header names and message formats between hosts and engines.

use serde::{Deserialize, Serialize};

/// Header with the id of the request; the server copies it into the response.
pub const REQUEST_ID: &str = "x-request-id";

/// Header with the number of the attempt; the server copies it into the response.
pub const ATTEMPT: &str = "x-attempt";

/// Header with the priority; a higher number is a higher priority.
pub const PRIORITY: &str = "x-priority";

/// Header of a load report with the tag of its list of residents.
pub const RESIDENTS: &str = "x-residents";

/// Header of a request for a load report with the tag of the reader's cached list of residents; a
/// server whose list has the same tag omits it.
pub const KNOWN_RESIDENTS: &str = "x-known-residents";

/// Header with the token offset after which a stream resumes.
pub const LAST_EVENT_ID: &str = "last-event-id";

/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// The prompt whose KV cache is exported or imported. Hosts send it in a request to export, and
/// treat what the engine returns as opaque.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cache {
    /// Name of the model, or `model:adapter`.
    pub model: String,
    /// Digests of the prompt's blocks, in order.
    pub blocks: Vec<u64>,
}

/// A change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number of the event; a gap means that events were lost.
    pub sequence: u64,
    /// The model that the block belongs to.
    pub model: String,
    /// Digest of the prompt up to the end of the block.
    pub block: u64,
    /// Whether the block was stored or evicted.
    pub change: CacheChange,
}

/// Change of a cached block.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block is now cached.
    Stored,
    /// The block is no longer cached.
    Evicted,
}

/// Size of a block of a prompt, in bytes; [`blocks`] returns a digest for each prefix of full
/// blocks.
pub const BLOCK_BYTES: usize = 256;

/// Approximate number of bytes in one token, to estimate the length of a prompt.
pub const TOKEN_BYTES: usize = 4;

/// Returns the digest of each prefix of `prompt` that ends on a full block, shortest first.
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
