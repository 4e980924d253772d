//! Where copies of one request may run at the same time.

use types::backend;

use super::{Fingerprint, MAX_DEATHS};

/// The servers that a request may run on: two of those given, the same on every host that knows
/// the same servers, and nearly the same where lists differ (highest random weight).
///
/// Servers that died must stay in the list for as long as a host may be unaware of the death.
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
