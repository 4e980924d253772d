//! The faults of a soak, drawn from its seed alone.

use std::{collections::HashMap, fmt::Debug, hash::Hash, time::Duration};

use http::StatusCode;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, Serializer};

use super::site::SERVERS;
use crate::routed::{links::Way, server::Fault as ServerFault, store::Refusal};

/// Calm before the first fault.
const WARM_UP: Duration = Duration::from_secs(4);

/// Between the beginnings of two faults, in ms.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 900..3_200;

/// What a silence of the store lasts beyond other faults, in ms: watches end by their limit and are
/// asked anew in it.
const EXTRA_SILENCE_MS: std::ops::Range<u64> = 0..4_000;

/// Rest of whatever was in disruption, beyond the fault itself.
const REST_TIME: Duration = Duration::from_secs(4);

/// Draws how the store turns all away, apart from all else, so that a seed keeps its other faults.
const REFUSAL_SEED_MASK: u64 = 1 << 63;

/// Draws the limits that servers name, apart from all else.
const LIMIT_SEED_MASK: u64 = 1 << 62;

/// Draws what presses on the retry budget, apart from all else.
const PRESSURE_SEED_MASK: u64 = 1 << 61;

/// Draws when a request comes that crashes servers, apart from all else.
const POISON_SEED_MASK: u64 = 1 << 60;

/// How long such a request keeps coming, in ms.
const POISON_DURATION_MS: std::ops::Range<u64> = 4_000..20_000;

/// Between two such faults, in ms.
const PRESSURE_INTERVAL_MS: std::ops::Range<u64> = 1_500..6_000;

/// How long servers of a service fail alike, and how long links between hosts are out of order, in ms.
const FAILURE_DURATION_MS: std::ops::Range<u64> = 1_000..25_000;
const LINK_FAULT_DURATION_MS: std::ops::Range<u64> = 500..40_000;

/// How late datagrams are on a slow link, in ms.
const LINK_DELAY_MS: std::ops::Range<u64> = 100..4_000;

/// In a series of restarts: times that each host is killed, the time between two, and how long one is away; in ms.
const SERIES_ROUNDS: std::ops::RangeInclusive<usize> = 1..=3;
const SERIES_INTERVAL_MS: std::ops::Range<u64> = 20..700;
const SERIES_DOWNTIME_MS: std::ops::Range<u64> = 10..300;

/// Between two limits, in ms, and how long one is named.
const LIMIT_INTERVAL_MS: std::ops::Range<u64> = 1_000..7_000;
const LIMIT_DURATION_MS: std::ops::Range<u64> = 500..11_000;

/// Limits that servers name, in hundredths of a request a second.
const LIMITS: [u32; 8] = [0, 30, 50, 120, 210, 340, 800, 2_000];

/// From SIGTERM until the host is started anew.
pub const STOP_DURATION: Duration = Duration::from_secs(10);

/// From a server's leave to its end, which is later than any host may still use it.
pub const LEAVE_DURATION: Duration = Duration::from_millis(4_500);

/// A fault and when it begins.
#[derive(Clone, Debug, Serialize)]
pub struct PlannedFault {
    /// When, since the start.
    pub at: Duration,
    /// How long it lasts; what is restarted is back then.
    #[serde(rename = "lasts")]
    pub duration: Duration,
    /// What.
    pub fault: Fault,
}

/// What is done. Hosts and servers are named by their place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Fault {
    /// A host is killed.
    Kill(usize),
    /// A host gets SIGTERM.
    Stop(usize),
    /// A host is frozen, and goes on.
    Freeze(usize),
    /// A host's settings change, and it gets SIGHUP.
    Reload(usize),
    /// The store turns all away; a silence begins and ends with a new declaration.
    Down(#[serde(serialize_with = "debug")] Refusal),
    /// The store is slow.
    Slow,
    /// Answers to writes are lost at all doors, this many each.
    Lost(u32),
    /// The next write at each door is carried out late.
    LateWrite,
    /// The store forgets its history.
    Compact,
    /// The store turns one host away.
    TurnAway(usize, #[serde(serialize_with = "debug")] Refusal),
    /// A server crashes, and another one comes in its place.
    Crash(usize),
    /// A server leaves; whether it says so first.
    Leave(usize, Notice),
    /// All requests to a server meet a fault.
    Grey(usize, #[serde(serialize_with = "debug")] ServerFault),
    /// A server is slow.
    Dull(usize),
    /// A server names a limit, in hundredths of a request a second.
    Limited(usize, u32),
    /// All servers of a server's service name a limit.
    AllLimited(usize, u32),
    /// All servers of a server's service meet a fault.
    AllGrey(usize, #[serde(serialize_with = "debug")] ServerFault),
    /// Datagrams between hosts are lost or late.
    Links(Pairs, #[serde(serialize_with = "debug")] Way),
    /// Orders to a server are lost, or judged late.
    Orders(usize),
    /// A new declaration.
    Declare,
    /// Callers press.
    Burst,
    /// A request that crashes the servers that run it comes again and again, through all hosts.
    Poison,
}

impl Fault {
    /// The store is silent for all.
    pub const SILENCE: Fault = Fault::Down(Refusal::Silence);
}

/// Pairs of hosts whose link is out of order.
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
    /// Sender and receiver of each, among so many hosts.
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

/// Whether a leaving server says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Notice {
    /// It says that it drains.
    Told,
    /// Its entry goes.
    Untold,
}

fn debug<S: Serializer>(fault: &impl Debug, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_str(&format!("{fault:?}"))
}

/// What can be in one trouble at a time.
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

/// Draws the faults for some hosts and a length. The last ones end early enough for recovery to be
/// seen, if the soak is long enough for that.
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
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Limits that servers name, change and withdraw, beside whatever else happens.
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

/// What presses on the retry budget, beside whatever else happens: services that fail, links between hosts that
/// lose or delay, and hosts that are restarted in series.
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

/// Times in which a request comes that crashes servers, in one of two soaks.
fn poison(seed: u64, end: Duration) -> Vec<PlannedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ POISON_SEED_MASK);
    let mut planned = Vec::new();
    let mut at = WARM_UP.min(end / 4);
    if random.random_bool(0.5) {
        return planned;
    }
    while at < end {
        let duration = Duration::from_millis(random.random_range(POISON_DURATION_MS)).min(end - at);
        planned.push(PlannedFault { at, duration, fault: Fault::Poison });
        at += duration + Duration::from_millis(random.random_range(POISON_DURATION_MS));
    }
    planned
}

/// Every host is killed and started again, one after the other, a few times.
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
    let way = match random.random_range(0..3) {
        0 => Way::Late(Duration::from_millis(random.random_range(LINK_DELAY_MS))),
        _ => Way::Lost,
    };
    Fault::Links(pairs, way)
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

/// What a fault disruptions, and how many such things may be in trouble at once.
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
        | Fault::Limited(..)
        | Fault::AllLimited(..)
        | Fault::AllGrey(..)
        | Fault::Links(..) => (Target::Callers, 1),
    }
}

fn is_same_kind(one: Target, other: Target) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}
