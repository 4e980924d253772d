//! Rendezvous hashing and seeded draws.
//!
//! Each candidate gets a score from the hash of a key and its name, and the highest scores win.
//! Every host computes the same winners; when a candidate leaves, only its own share moves. Draws
//! from a seed differ from host to host.

use std::cmp::Reverse;

use types::host;

/// Score of a candidate under a key: uniform, and the same on every host.
pub fn score(key: &[u8], candidate: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key);
    hasher.update(candidate.as_bytes());
    first_word(&hasher.finalize())
}

/// Returns whether `own` is among the `most` highest-scoring candidates under a key.
pub fn is_among<'a, S: AsRef<str> + 'a>(
    key: &[u8],
    own: &str,
    others: impl Iterator<Item = &'a S>,
    most: usize,
) -> bool {
    before(key, own, others).take(most).count() < most
}

/// Returns how many others have a higher score than `own` under a key.
pub fn rank<'a, S: AsRef<str> + 'a>(
    key: &[u8],
    own: &str,
    others: impl Iterator<Item = &'a S>,
) -> usize {
    before(key, own, others).count()
}

/// Returns the candidates with a higher score than `own` under a key.
fn before<'a, S: AsRef<str> + 'a>(
    key: &[u8],
    own: &str,
    others: impl Iterator<Item = &'a S>,
) -> impl Iterator<Item = &'a str> {
    let rank = (score(key, own), own);
    others.map(AsRef::as_ref).filter(move |other| rank < (score(key, other), *other))
}

/// Ranks candidates under a key, the highest score first, with the same result on every host.
pub fn ranking(key: &[u8], candidates: &[host::Id]) -> Vec<host::Id> {
    let mut ranked = candidates.to_vec();
    ranked.sort_by_cached_key(|candidate| Reverse((score(key, candidate), candidate.clone())));
    ranked
}

/// Uniform number from a seed and a counter.
pub fn draw(seed: u64, counter: u64) -> u64 {
    let mut input = [0; 16];
    input[..8].copy_from_slice(&seed.to_le_bytes());
    input[8..].copy_from_slice(&counter.to_le_bytes());
    first_word(&blake3::hash(&input))
}

/// Uniform fraction in `[0, 1)` from a seed and a counter.
pub fn fraction(seed: u64, counter: u64) -> f64 {
    const MANTISSA_BITS: u32 = 53;
    (draw(seed, counter) >> (u64::BITS - MANTISSA_BITS)) as f64 / (1_u64 << MANTISSA_BITS) as f64
}

fn first_word(hash: &blake3::Hash) -> u64 {
    hash.as_bytes().iter().take(8).fold(0, |word, byte| word << 8 | u64::from(*byte))
}
