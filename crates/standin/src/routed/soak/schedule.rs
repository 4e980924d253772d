//! Draws the fault schedule of a soak from its seed.

mod period;
mod silences;

use std::{collections::HashMap, fmt::Debug, hash::Hash, time::Duration};

use http::StatusCode;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, Serializer};

use self::period::{brittle_times, customers, partitions, poison, poison_parts, versions};
use super::site::SERVERS;
use crate::routed::{
    links::Delivery, server::Fault as ServerFault, server_links::Cut, site::ZONES, store::Refusal,
};

/// Time before the first fault, if the soak is long enough. Limits and faults that cause retries
/// may start earlier.
const WARM_UP: Duration = Duration::from_secs(4);

/// Time between the starts of two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 900..3_200;

/// Added to the duration of a fault in which the store does not answer, so that watches reach their
/// time limit and are started again meanwhile.
const EXTRA_SILENCE_MS: std::ops::Range<u64> = 0..4_000;

/// Time after a fault in which its target gets no other one.
const REST_TIME: Duration = Duration::from_secs(4);

/// XORed with the seed for the random stream of how the store refuses all hosts. Its own stream
/// keeps a seed's other faults the same.
const REFUSAL_SEED_MASK: u64 = 1 << 63;

/// XORed with the seed for the random stream of the limits that servers state.
const LIMIT_SEED_MASK: u64 = 1 << 62;

/// XORed with the seed for the random stream of the faults that cause many retries.
const PRESSURE_SEED_MASK: u64 = 1 << 61;

/// Time between the starts of two faults that cause retries.
const PRESSURE_INTERVAL_MS: std::ops::Range<u64> = 1_500..6_000;

/// How long all servers of a service fail in the same way.
const FAILURE_DURATION_MS: std::ops::Range<u64> = 1_000..25_000;

/// How long links between hosts lose or delay datagrams.
const LINK_FAULT_DURATION_MS: std::ops::Range<u64> = 500..40_000;

/// Delay of datagrams on a slow link.
const LINK_DELAY_MS: std::ops::Range<u64> = 100..4_000;

/// How many times each host is killed in a series of restarts.
const SERIES_ROUNDS: std::ops::RangeInclusive<usize> = 1..=3;

/// Time between two kills in a series of restarts.
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 20..700;

/// Time from a kill to the restart of the host, in a series of restarts.
const SERIES_DOWNTIME_MS: std::ops::Range<u64> = 10..300;

/// Time between the starts of two limits.
const LIMIT_INTERVAL_MS: std::ops::Range<u64> = 1_000..7_000;

/// How long a server states a limit.
const LIMIT_DURATION_MS: std::ops::Range<u64> = 500..11_000;

/// Limits that servers state, in hundredths of a request per second.
const LIMITS: [u32; 8] = [0, 30, 50, 120, 210, 340, 800, 2_000];

/// Time from SIGTERM until the host is started again.
pub const STOP_DURATION: Duration = Duration::from_secs(10);

/// Time from the start of a server's departure to its end, after which no host may still use it.
pub const LEAVE_DURATION: Duration = Duration::from_millis(4_500);

/// A fault with its time in the schedule.
#[derive(Clone, Debug, Serialize)]
pub struct PlannedFault {
    /// Start, since the start of the load.
    pub at: Duration,
    /// How long the fault lasts. A killed or stopped component is restarted at its end.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// A fault to inject. Hosts and servers are identified by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// Kills a host with SIGKILL.
    Kill(usize),
    /// Sends SIGTERM to a host.
    Stop(usize),
    /// Suspends a host with SIGSTOP, and resumes it at the end of the fault.
    Freeze(usize),
    /// Changes a setting of a host and sends it SIGHUP.
    Reload(usize),
    /// The store refuses all hosts. If it does so by not answering, a new declaration is written
    /// before and after.
    Down(#[serde(serialize_with = "debug")] Refusal),
    /// The store delays its answers.
    Slow,
    /// The store loses its answers to writes, this many for each host.
    Lost(u32),
    /// The store executes the next write of each host late.
    LateWrite,
    /// The store discards its history of changes, so that watches of older revisions fail.
    Compact,
    /// The store refuses one host.
    TurnAway(usize, #[serde(serialize_with = "debug")] Refusal),
    /// A server crashes and is replaced.
    Crash(usize),
    /// A server leaves, with or without announcing it.
    Leave(usize, Notice),
    /// All requests to a server meet a fault.
    Grey(usize, #[serde(serialize_with = "debug")] ServerFault),
    /// A server answers slowly.
    Dull(usize),
    /// A server states a limit, in hundredths of a request per second.
    Limited(usize, u32),
    /// All servers of the service of a server state a limit, in hundredths of a request per second.
    AllLimited(usize, u32),
    /// All requests to all servers of the service of a server meet a fault.
    AllGrey(usize, #[serde(serialize_with = "debug")] ServerFault),
    /// Datagrams between hosts are lost or delayed.
    Links(Pairs, #[serde(serialize_with = "debug")] Delivery),
    /// A server loses its answer to one order, and executes the next one late.
    Orders(usize),
    /// A new declaration is written to the store.
    Declare,
    /// Callers send requests at a higher rate.
    Burst,
    /// A poison request, which crashes the servers that run it, is sent repeatedly through all
    /// hosts.
    Poison,
    /// Requests with a part of their prompts that crashes servers, no two alike, are sent through all
    /// hosts.
    PoisonPart,
    /// All servers of the service of a server crash if they reject more than this many requests in a
    /// second, and callers send more than they can serve.
    Brittle(usize, u32),
    /// The model servers run two versions of their software, and some callers take up streams that
    /// broke. The servers do so during the whole soak.
    Versions,
    /// Callers are identified by the keys of customers. They are so during the whole soak.
    Customers,
    /// A declaration that adds, moves or removes a key, as drawn from this seed.
    Keys(u64),
    /// A sound server is silent, and goes on afterwards. All requests to the others of its service meet
    /// a fault.
    Silence(usize, #[serde(serialize_with = "debug")] ServerFault),
    /// Hosts are partitioned from all servers.
    Partition(Partitioned, Cut),
}

impl Fault {
    /// The store accepts requests of all hosts and does not answer.
    pub const STORE_SILENCE: Fault = Fault::Down(Refusal::Silence);
}

/// Pairs of hosts whose link is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Pairs {
    /// All pairs.
    All,
    /// Pairs with a host at one end.
    Of(usize),
    /// Links from a host to all others.
    From(usize),
    /// Links to a host from all others.
    To(usize),
}

impl Pairs {
    /// Sender and receiver of each pair, for a number of hosts.
    pub fn among(self, hosts: usize) -> impl Iterator<Item = (usize, usize)> {
        let pairs = (0..hosts).flat_map(move |from| (0..hosts).map(move |to| (from, to)));
        pairs.filter(move |(from, to)| {
            let is_included = match self {
                Pairs::All => true,
                Pairs::Of(host) => *from == host || *to == host,
                Pairs::From(host) => *from == host,
                Pairs::To(host) => *to == host,
            };
            from != to && is_included
        })
    }
}

/// Hosts that are partitioned from all servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Partitioned {
    /// One host.
    One(usize),
    /// The hosts of the availability zone of a host.
    Zone(usize),
    /// All hosts but one.
    AllBut(usize),
}

impl Partitioned {
    /// The partitioned hosts among this number of hosts.
    pub fn among(self, hosts: usize) -> impl Iterator<Item = usize> {
        (0..hosts).filter(move |host| match self {
            Partitioned::One(one) => *host == one,
            Partitioned::Zone(other) => host % ZONES.len() == other % ZONES.len(),
            Partitioned::AllBut(other) => *host != other,
        })
    }
}

/// Whether a leaving server announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Notice {
    /// The server reports that it is draining.
    Told,
    /// The server's entry disappears from the store.
    Untold,
}

fn debug<S: Serializer>(fault: &impl Debug, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{fault:?}"))
}

/// What a fault acts on. A target has one fault at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Target {
    Host(usize),
    Store,
    Server(usize),
    Callers,
}

const REFUSALS: [Refusal; 4] = [Refusal::Down, Refusal::TooMany, Refusal::Reset, Refusal::Silence];

const SERVER_FAULTS: [ServerFault; 13] = [
    ServerFault::Failed(StatusCode::INTERNAL_SERVER_ERROR),
    ServerFault::NotRun(StatusCode::SERVICE_UNAVAILABLE),
    ServerFault::Silent,
    ServerFault::Lost,
    ServerFault::Unsealed,
    ServerFault::OtherId,
    ServerFault::Truncated,
    ServerFault::UnframedReset,
    ServerFault::Garbled,
    ServerFault::Doubled,
    ServerFault::DoubledLate,
    ServerFault::Broken { events: 3 },
    ServerFault::Stalled { events: 3 },
];

/// Draws the schedule for a number of hosts and a duration, sorted by start. All faults end `tail`
/// before the end of the load, so that recovery can be observed.
pub fn draw(seed: u64, hosts: usize, length: Duration, tail: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut refusals = ChaCha8Rng::seed_from_u64(seed ^ REFUSAL_SEED_MASK);
    let mut free_from: HashMap<Target, Duration> = HashMap::new();
    let mut planned = Vec::new();
    let mut at = WARM_UP.min(length / 4);
    let end = length.saturating_sub(tail);
    while at < end {
        let mut fault = draw_fault(&mut random, hosts);
        let mut duration = draw_duration(&mut random, fault);
        if let Fault::Down(refusal) = &mut fault {
            *refusal = REFUSALS.choose(&mut refusals).copied().unwrap_or(Refusal::Down);
            if *refusal == Refusal::Silence {
                duration += Duration::from_millis(refusals.random_range(EXTRA_SILENCE_MS));
            }
        }
        let (target, max) = exclusion(fault, hosts);
        let busy =
            free_from.iter().filter(|(other, until)| is_same_kind(**other, target) && at < **until);
        let is_free = free_from.get(&target).is_none_or(|until| *until <= at) && busy.count() < max;
        if is_free && at + duration <= end {
            free_from.insert(target, at + duration + REST_TIME);
            planned.push(PlannedFault { at, duration, fault });
        }
        at += Duration::from_millis(random.random_range(FAULT_INTERVAL_MS));
    }
    planned.extend(limits(seed, end));
    planned.extend(retry_pressure(seed, hosts, end));
    planned.extend(poison(seed, end));
    planned.extend(poison_parts(seed, end));
    planned.extend(partitions(seed, hosts, end));
    planned.extend(brittle_times(seed, end));
    planned.extend(versions(seed, end));
    planned.extend(silences::draw(seed, end));
    planned.extend(customers(seed, end));
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Draws limits that servers state, change and withdraw, at the same time as any other fault.
fn limits(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ LIMIT_SEED_MASK);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(random.random_range(LIMIT_INTERVAL_MS));
    while at < end {
        let server = random.random_range(0..SERVERS.len());
        let limit = LIMITS.choose(&mut random).copied().unwrap_or_default();
        let fault = match random.random_range(0..4) {
            0 => Fault::AllLimited(server, limit),
            _ => Fault::Limited(server, limit),
        };
        let duration = Duration::from_millis(random.random_range(LIMIT_DURATION_MS));
        if at + duration <= end {
            planned.push(PlannedFault { at, duration, fault });
        }
        at += Duration::from_millis(random.random_range(LIMIT_INTERVAL_MS));
    }
    planned
}

/// Draws faults that cause many retries, at the same time as any other fault: services that fail,
/// links between hosts that lose or delay datagrams, and series of host restarts.
fn retry_pressure(seed: u64, hosts: usize, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PRESSURE_SEED_MASK);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(random.random_range(PRESSURE_INTERVAL_MS));
    while at < end {
        match random.random_range(0..6) {
            0 => planned.extend(restart_series(&mut random, hosts, at)),
            1 | 2 => {
                let duration = Duration::from_millis(random.random_range(LINK_FAULT_DURATION_MS));
                let fault = draw_link_fault(&mut random, hosts);
                planned.push(PlannedFault { at, duration: duration.min(end - at), fault });
            }
            _ => {
                let server = random.random_range(0..SERVERS.len());
                let server_fault =
                    SERVER_FAULTS.choose(&mut random).copied().unwrap_or(ServerFault::Lost);
                let duration = Duration::from_millis(random.random_range(FAILURE_DURATION_MS));
                let fault = Fault::AllGrey(server, server_fault);
                planned.push(PlannedFault { at, duration: duration.min(end - at), fault });
            }
        }
        at += Duration::from_millis(random.random_range(PRESSURE_INTERVAL_MS));
    }
    planned.retain(|planned| planned.at + planned.duration <= end);
    planned
}

/// Whether a schedule disturbs the links between hosts and servers.
pub fn disturbs_links(schedule: &[PlannedFault]) -> bool {
    let disturbs = |fault| matches!(fault, Fault::Partition(..) | Fault::Silence(..));
    schedule.iter().any(|planned| disturbs(planned.fault))
}

/// Whether the model servers run two versions of their software.
pub fn has_versions(schedule: &[PlannedFault]) -> bool {
    schedule.iter().any(|planned| planned.fault == Fault::Versions)
}

/// Whether callers are identified by the keys of customers.
pub fn has_customers(schedule: &[PlannedFault]) -> bool {
    schedule.iter().any(|planned| planned.fault == Fault::Customers)
}

/// Kills and restarts the hosts one after the other, for one or more rounds.
fn restart_series(random: &mut ChaCha8Rng, hosts: usize, at: Duration) -> Vec<PlannedFault> {
    let rounds = random.random_range(SERIES_ROUNDS);
    let interval = Duration::from_millis(random.random_range(SERIES_INTERVAL_MS));
    let duration = Duration::from_millis(random.random_range(SERIES_DOWNTIME_MS));
    let kill = |n: usize| PlannedFault {
        at: at + interval * n as u32,
        duration,
        fault: Fault::Kill(n % hosts),
    };
    (0..rounds * hosts).map(kill).collect()
}

fn draw_link_fault(random: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let host = random.random_range(0..hosts);
    let pairs = match random.random_range(0..5) {
        0 | 1 => Pairs::All,
        2 => Pairs::Of(host),
        3 => Pairs::From(host),
        _ => Pairs::To(host),
    };
    let delivery = match random.random_range(0..3) {
        0 => Delivery::Late(Duration::from_millis(random.random_range(LINK_DELAY_MS))),
        _ => Delivery::Lost,
    };
    Fault::Links(pairs, delivery)
}

fn draw_fault(random: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let (host, server) = (random.random_range(0..hosts), random.random_range(0..SERVERS.len()));
    let server_fault = SERVER_FAULTS.choose(random).copied().unwrap_or(ServerFault::Lost);
    let refusal = REFUSALS.choose(random).copied().unwrap_or(Refusal::Down);
    match random.random_range(0..20) {
        0 => Fault::Kill(host),
        1 | 2 => Fault::Stop(host),
        3 => Fault::Freeze(host),
        4 => Fault::Reload(host),
        5 => Fault::Down(Refusal::Down),
        6 => Fault::Slow,
        7 => Fault::Lost(random.random_range(1..4)),
        8 => Fault::LateWrite,
        9 => Fault::Compact,
        10 => Fault::TurnAway(host, refusal),
        11 => Fault::Crash(server),
        12 => Fault::Leave(server, Notice::Told),
        13 => Fault::Leave(server, Notice::Untold),
        14 | 15 => Fault::Grey(server, server_fault),
        16 => Fault::Dull(server),
        17 => Fault::Orders(server),
        18 => Fault::Declare,
        _ => Fault::Burst,
    }
}

fn draw_duration(random: &mut ChaCha8Rng, fault: Fault) -> Duration {
    match fault {
        Fault::Stop(_) => STOP_DURATION,
        Fault::Leave(..) => LEAVE_DURATION,
        Fault::Reload(_) | Fault::Compact | Fault::Declare => Duration::ZERO,
        Fault::Orders(_) | Fault::LateWrite => Duration::from_secs(2),
        _ => Duration::from_millis(random.random_range(800..3_500)),
    }
}

/// The target of a fault, and how many targets of its kind may have a fault at a time.
fn exclusion(fault: Fault, hosts: usize) -> (Target, usize) {
    match fault {
        Fault::Kill(host)
        | Fault::Stop(host)
        | Fault::Freeze(host)
        | Fault::Reload(host)
        | Fault::TurnAway(host, _) => (Target::Host(host), hosts / 2),
        Fault::Down(_) | Fault::Slow | Fault::Lost(_) | Fault::LateWrite | Fault::Compact => {
            (Target::Store, 1)
        }
        Fault::Crash(server)
        | Fault::Leave(server, _)
        | Fault::Grey(server, _)
        | Fault::Dull(server)
        | Fault::Orders(server) => (Target::Server(server), 2),
        Fault::Declare
        | Fault::Burst
        | Fault::Poison
        | Fault::PoisonPart
        | Fault::Limited(..)
        | Fault::AllLimited(..)
        | Fault::AllGrey(..)
        | Fault::Links(..)
        | Fault::Brittle(..)
        | Fault::Versions
        | Fault::Customers
        | Fault::Keys(_)
        | Fault::Silence(..)
        | Fault::Partition(..) => (Target::Callers, 1),
    }
}

fn is_same_kind(one: Target, other: Target) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}
