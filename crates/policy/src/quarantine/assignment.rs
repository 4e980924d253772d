//! Assignment of requests to servers, for copies of one request that run at the same time.

use types::backend;

use super::{Fingerprint, MAX_DEATHS};

/// Returns the servers that a request may run on: [`MAX_DEATHS`] of those given, by rendezvous
/// hashing (highest random weight). The result is the same on every host that knows the same
/// servers, and nearly the same where the lists differ.
///
/// Servers that died must stay in the list for as long as a host may not know of the death.
pub fn assigned_servers<'a>(
    fingerprint: Fingerprint,
    servers: impl IntoIterator<Item = &'a backend::Id>,
) -> Vec<&'a backend::Id> {
    let mut ranked: Vec<(u64, &backend::Id)> =
        servers.into_iter().map(|server| (weight(fingerprint, server), server)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().take(MAX_DEATHS).map(|(_, server)| server).collect()
}

fn weight(fingerprint: Fingerprint, server: &backend::Id) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&fingerprint.0);
    hasher.update(server.as_bytes());
    let mut bytes = [0; 8];
    hasher.finalize_xof().fill(&mut bytes);
    u64::from_le_bytes(bytes)
}
