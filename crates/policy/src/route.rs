//! Choice of a backend server for a request.
//!
//! The first-token time is estimated for a sample of the servers that have the request's
//! destination ready, and the smallest estimate wins. Sampling keeps hosts that see the same old
//! report from all sending to the same idle server, and bounds the cost of a decision; servers that
//! are thought to have the prompt's prefix in their cache are always in the sample. The distance
//! between zones is part of each estimate, weighted by [`SPILL_WEIGHT`], so that requests leave
//! their zone only when they gain more than the round trip costs.
//!
//! Ids are interned as dense indices when a server or a destination first occurs, so that a request
//! costs one lookup by name and scans of vectors.

pub mod estimate;
pub mod hints;
pub mod table;

use types::prelude::*;

pub use self::{
    estimate::Estimate,
    hints::Hints,
    table::{Destination, DestinationIndex, Distances, Eligibility, Index, Table},
};

/// Largest number of randomly drawn servers whose first-token time is estimated for one request.
pub const SAMPLE_SIZE: usize = 4;

/// Weight of the round trip to another zone in the cost of a server there. A weight of one counts
/// the round trip of the first token; the rest accounts for the later tokens, which take the same
/// path.
pub const SPILL_WEIGHT: u32 = 2;

/// Criteria for the choice of a server.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Destination of the request; its replicas are the candidates.
    pub destination: DestinationIndex,
    /// Version in force; other versions are used only while no server has this one ready. Empty for
    /// plain services.
    pub version: &'a str,
    /// Digests of the prompt's prefixes, shortest first.
    pub prefix: &'a [u64],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Servers that must not be used, such as those on which this request failed.
    pub avoid: &'a [Index],
    /// Seed of the sample; equal seeds give equal choices.
    pub seed: u64,
}

/// Chosen server, with its estimate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Index of the server.
    pub server: Index,
    /// Expected time until the caller has the first token, including the round trip to the server's
    /// zone.
    pub first_token: Duration,
    /// Prompt tokens that the server's cache is thought to hold.
    pub cached_tokens: u32,
}

/// Outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// A server with room.
    Send(Choice),
    /// All ready servers are at their limit; the best of them.
    Full(Choice),
    /// No usable server has the destination ready.
    Unready,
}

/// Chooses a server at `now`. `has_room` returns whether a server is below its limit.
pub fn choose(
    table: &Table,
    hints: &Hints,
    criteria: &Criteria<'_>,
    now: Moment,
    has_room: impl Fn(Index) -> bool,
) -> Decision {
    let usable = usable(table, criteria, now);
    if usable.is_empty() {
        return Decision::Unready;
    }
    let cached = hints.holders(criteria.prefix, now);
    let (open, full): (Vec<Index>, Vec<Index>) =
        usable.into_iter().partition(|server| has_room(*server));
    match best(table, criteria, &cached, open, now) {
        Some(choice) => Decision::Send(choice),
        None => best(table, criteria, &cached, full, now).map_or(Decision::Unready, Decision::Full),
    }
}

/// Returns the servers that may be used: those with the version in force if there are any, else
/// those with another version.
fn usable(table: &Table, criteria: &Criteria<'_>, now: Moment) -> Vec<Index> {
    let ready = || {
        table
            .replicas(criteria.destination)
            .iter()
            .filter(|r| table.takes_work(r.server, now) && !criteria.avoid.contains(&r.server))
    };
    let in_force: Vec<Index> =
        ready().filter(|r| &*r.version == criteria.version).map(|r| r.server).collect();
    if in_force.is_empty() { ready().map(|r| r.server).collect() } else { in_force }
}

fn best(
    table: &Table,
    criteria: &Criteria<'_>,
    cached: &[hints::Holder],
    servers: Vec<Index>,
    now: Moment,
) -> Option<Choice> {
    sample(table, servers, cached, criteria.seed)
        .into_iter()
        .map(|server| evaluate(table, criteria, cached, server, now))
        .min_by_key(|(cost, choice)| (*cost, table.view(choice.server).in_flight(), choice.server))
        .map(|(_, choice)| choice)
}

/// Returns the cost by which servers are compared, and the choice of this server.
fn evaluate(
    table: &Table,
    criteria: &Criteria<'_>,
    cached: &[hints::Holder],
    server: Index,
    now: Moment,
) -> (Duration, Choice) {
    let cached_tokens = cached
        .iter()
        .find(|holder| holder.server == server)
        .map_or(0, |holder| holder.tokens.min(criteria.prompt_tokens));
    let estimate = table.estimate(server, criteria.prompt_tokens - cached_tokens, now);
    let round_trip = table.distance(server) * 2;
    let cost = estimate.total() + round_trip * SPILL_WEIGHT;
    (cost, Choice { server, first_token: estimate.total() + round_trip, cached_tokens })
}

/// Returns a sample of the servers: at least half of it from the host's own zone if that has as
/// many, and all servers with a cached prefix besides.
fn sample(table: &Table, servers: Vec<Index>, cached: &[hints::Holder], seed: u64) -> Vec<Index> {
    if servers.len() <= SAMPLE_SIZE {
        return servers;
    }
    let (local, remote): (Vec<Index>, Vec<Index>) =
        servers.into_iter().partition(|server| table.is_in_own_zone(*server));
    let from_remote = remote.len().min(SAMPLE_SIZE / 2);
    let from_local = local.len().min(SAMPLE_SIZE - from_remote);
    let holders: Vec<Index> = cached
        .iter()
        .map(|holder| holder.server)
        .filter(|server| local.contains(server) || remote.contains(server))
        .collect();
    let mut picked = draw(local, from_local, seed);
    picked.extend(draw(remote, SAMPLE_SIZE - from_local, seed.rotate_left(32)));
    picked.extend(holders);
    picked.sort_unstable();
    picked.dedup();
    picked
}

/// Draws `count` of the servers without replacement.
fn draw(mut servers: Vec<Index>, count: usize, seed: u64) -> Vec<Index> {
    let mut state = seed;
    for at in 0..count.min(servers.len()) {
        state = splitmix64(state);
        let left = servers.len() - at;
        let other = at + (state % left as u64) as usize;
        servers.swap(at, other);
    }
    servers.truncate(count);
    servers
}

/// Returns the next state of the SplitMix64 generator.
fn splitmix64(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
