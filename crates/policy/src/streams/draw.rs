//! The hosts that keep the record of a stream.

use std::cmp::Reverse;

use types::{availability, host};

use super::StreamId;
use crate::member::rendezvous;

/// Another host from which packets arrive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The host.
    pub id: host::Id,
    /// Incarnation of its process.
    pub incarnation: host::Incarnation,
    /// Its availability zone.
    pub zone: availability::Id,
    /// Whether the host is not about to stop.
    pub is_live: bool,
}

/// Draws hosts for a stream by rendezvous hashing, from as many zones as possible.
pub(super) fn draw<'a>(
    stream: StreamId,
    peers: impl Iterator<Item = &'a Peer>,
    count: usize,
) -> Vec<host::Id> {
    let key = stream.to_le_bytes();
    let mut ranked: Vec<_> =
        peers.map(|peer| (Reverse(rendezvous::score(&key, &peer.id)), peer)).collect();
    ranked
        .sort_unstable_by(|(score, peer), (other, next)| (score, &peer.id).cmp(&(other, &next.id)));
    let mut zones: Vec<&availability::Id> = Vec::new();
    let (first, rest): (Vec<&Peer>, Vec<&Peer>) =
        ranked.into_iter().map(|(_, peer)| peer).partition(|peer| {
            let is_new = !zones.contains(&&peer.zone);
            if is_new {
                zones.push(&peer.zone);
            }
            is_new
        });
    first.into_iter().chain(rest).take(count).map(|peer| peer.id.clone()).collect()
}
