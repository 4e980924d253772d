//! Choice of a backend server for a request.
//!
//! The first-token time is estimated for a few of the servers that hold what the request wants,
//! and the smallest estimate wins. Looking at a few instead of at all keeps hosts that see the
//! same old report from all rushing to the same idle server, and bounds the cost of a decision;
//! the servers that are thought to have the prompt's prefix in their cache are always among the
//! few. Distance between zones is part of each estimate, weighed by [`SPILL_WEIGHT`], so that work
//! leaves its zone only when it gains more than the way there costs.
//!
//! Ids are turned into dense indices when a server or a unit is first heard of. The path of a
//! request then looks up one name and walks vectors.

pub mod estimate;
pub mod hints;
pub mod table;

use types::prelude::*;

pub use self::{
    estimate::Estimate,
    hints::Hints,
    table::{Destination, DestinationIndex, Distances, Eligibility, Index, Table},
};

/// Most servers whose first-token time is estimated by chance, for one request.
pub const SAMPLE_SIZE: usize = 4;

/// How often the way to another zone and back counts against a server there. One counts the time
/// alone; the rest stands for the tokens that all travel the same way.
pub const SPILL_WEIGHT: u32 = 2;

/// What a request asks of the choice.
#[derive(Clone, Copy, Debug)]
pub struct Criteria<'a> {
    /// Where the request's replicas are listed.
    pub destination: DestinationIndex,
    /// Version in force; others are used only while no server has it ready. Empty for plain
    /// services.
    pub version: &'a str,
    /// Digests of the prompt's prefixes, shortest first.
    pub prefix: &'a [u64],
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Servers not to be used, such as those that failed this request.
    pub avoid: &'a [Index],
    /// Any number; the same number gives the same choice.
    pub seed: u64,
}

/// The server chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The server.
    pub server: Index,
    /// Expected time until the caller has the first token.
    pub first_token: Duration,
    /// Prompt tokens that its cache is thought to hold.
    pub cached_tokens: u32,
}

/// Outcome of a choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Send it there.
    Send(Choice),
    /// Servers are ready, but all are at their limit; the best of them.
    Full(Choice),
    /// No usable server has it ready.
    Unready,
}

/// Chooses a server at `now`. `has_room` says whether one is below its limit.
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

/// Servers that may be used, those with the version in force if there are any.
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

/// The cost that servers are compared by, and the choice that it stands for.
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

/// A few of the servers: half of the sample from the host's own zone where it has them, and every
/// server with a cached prefix.
fn sample(table: &Table, servers: Vec<Index>, cached: &[hints::Holder], seed: u64) -> Vec<Index> {
    if servers.len() <= SAMPLE_SIZE {
        return servers;
    }
    let (local, remote): (Vec<Index>, Vec<Index>) =
        servers.into_iter().partition(|server| table.is_near(*server));
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

/// Draws `count` of the servers, without putting back.
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

/// One step of the SplitMix64 generator.
fn splitmix64(state: u64) -> u64 {
    let state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let state = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let state = (state ^ (state >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    state ^ (state >> 31)
}
