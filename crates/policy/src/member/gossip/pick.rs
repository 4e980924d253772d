//! Choice of the peers that get heartbeats.
//!
//! In a large fleet a host sends heartbeats to a few peers in turn, so that connections stay open
//! and in use, and draws others from time to time. Each host draws its own set from its seed.

use types::{
    availability,
    host::{self, Host},
    time::Moment,
};

use crate::member::{Health, Settings, hosts::Hosts, rendezvous};

/// Peers that get heartbeats in turn.
///
/// Half of them are in the host's own availability zone, if it has enough hosts: within a zone that
/// is cut off, updates must spread as fast as elsewhere.
#[derive(Clone, Debug, Default)]
pub(super) struct View {
    same_zone: Vec<host::Id>,
    other_zones: Vec<host::Id>,
    next: usize,
    generation: Option<u64>,
    turn: u64,
}

impl View {
    /// Draws the peers again when the table of hosts has changed or the rotation time has passed.
    pub(super) fn renew(
        &mut self,
        now: Moment,
        hosts: &Hosts,
        zone: &availability::Id,
        seed: u64,
        settings: &Settings,
    ) {
        let turn = now.as_millis() as u64 / settings.rotation.as_millis().max(1) as u64;
        if self.generation == Some(hosts.generation()) && self.turn == turn {
            return;
        }
        let key = [seed.to_le_bytes(), turn.to_le_bytes()].concat();
        let mut candidates: Vec<_> = hosts
            .iter()
            .filter(|member| member.health == Health::Live)
            .map(|member| (rendezvous::score(&key, &member.host.id), &member.host))
            .collect();
        candidates.sort_by_key(|(score, _)| *score);
        let (same_zone, other_zones): (Vec<_>, Vec<_>) =
            candidates.into_iter().map(|(_, host)| host).partition(|host| host.zone == *zone);
        let same_zone_size = same_zone.len().min(
            (settings.view_size / 2).max(settings.view_size.saturating_sub(other_zones.len())),
        );
        let first = |hosts: Vec<&Host>, count: usize| {
            hosts.into_iter().take(count).map(|host| host.id.clone()).collect()
        };
        self.same_zone = first(same_zone, same_zone_size);
        self.other_zones = first(other_zones, settings.view_size - same_zone_size);
        self.generation = Some(hosts.generation());
        self.turn = turn;
    }

    /// Next peer in turn.
    pub(super) fn next(&mut self) -> Option<host::Id> {
        let position = self.next.checked_rem(self.same_zone.len() + self.other_zones.len())?;
        self.next = position + 1;
        self.same_zone.iter().chain(&self.other_zones).nth(position).cloned()
    }

    /// Draws up to `count` different peers, half of them in the host's own zone.
    pub(super) fn draw(&self, seed: u64, counter: u64, count: usize) -> Vec<host::Id> {
        let same_zone_count = count.div_ceil(2).max(count.saturating_sub(self.other_zones.len()));
        let first = counter.wrapping_mul(2 * count as u64);
        let mut drawn = sample(&self.same_zone, seed, first, same_zone_count);
        let rest = count - drawn.len();
        drawn.extend(sample(&self.other_zones, seed, first + count as u64, rest));
        drawn
    }
}

fn sample(from: &[host::Id], seed: u64, counter: u64, count: usize) -> Vec<host::Id> {
    let mut left = from.to_vec();
    let count = count.min(left.len());
    (0..count as u64)
        .map(|step| left.swap_remove(index(seed, counter + step, left.len())))
        .collect()
}

/// Uniform index below `len`, which must not be zero.
pub(super) fn index(seed: u64, counter: u64, len: usize) -> usize {
    (rendezvous::draw(seed, counter) % len as u64) as usize
}
