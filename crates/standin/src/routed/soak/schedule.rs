//! The faults of a soak, drawn from its seed alone.

use std::{collections::HashMap, fmt::Debug, hash::Hash, time::Duration};

use http::StatusCode;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;
use serde::{Serialize, Serializer};

use super::site::SERVERS;
use crate::routed::{links::Delivery, server::Fault as Grey, store::Refusal};

/// Calm before the first fault.
const BEFORE: Duration = Duration::from_secs(4);

/// Between the beginnings of two faults, in ms.
const BETWEEN: std::ops::Range<u64> = 900..3_200;

/// What a silence of the store lasts beyond other faults, in ms: watches end by their limit and are
/// asked anew in it.
const LONGER: std::ops::Range<u64> = 0..4_000;

/// Rest of whatever was in trouble, beyond the fault itself.
const REST: Duration = Duration::from_secs(4);

/// Draws how the store turns all away, apart from all else, so that a seed keeps its other faults.
const REFUSED: u64 = 1 << 63;

/// Draws the limits that servers name, apart from all else.
const LIMITED: u64 = 1 << 62;

/// Draws what presses on the retry budget, apart from all else.
const PRESSED: u64 = 1 << 61;

/// Draws when a request comes that crashes servers, apart from all else.
const POISONED: u64 = 1 << 60;

/// How long such a request keeps coming, in ms.
const POISON_LASTS: std::ops::Range<u64> = 4_000..20_000;

/// Between two such faults, in ms.
const PRESSED_BETWEEN: std::ops::Range<u64> = 1_500..6_000;

/// How long servers of a service fail alike, and how long links between hosts are out of order, in ms.
const FAILING_LASTS: std::ops::Range<u64> = 1_000..25_000;
const LINKS_LAST: std::ops::Range<u64> = 500..40_000;

/// How late datagrams are on a slow link, in ms.
const LINKS_LATE: std::ops::Range<u64> = 100..4_000;

/// In a series of restarts: times that each host is killed, the time between two, and how long one is away; in ms.
const SERIES_TIMES: std::ops::RangeInclusive<usize> = 1..=3;
const SERIES_BETWEEN: std::ops::Range<u64> = 20..700;
const SERIES_AWAY: std::ops::Range<u64> = 10..300;

/// Between two limits, in ms, and how long one is named.
const LIMITS_BETWEEN: std::ops::Range<u64> = 1_000..7_000;
const LIMIT_LASTS: std::ops::Range<u64> = 500..11_000;

/// Limits that servers name, in hundredths of a request a second.
const LIMITS: [u32; 8] = [0, 30, 50, 120, 210, 340, 800, 2_000];

/// From SIGTERM until the host is started anew.
pub const STOP: Duration = Duration::from_secs(10);

/// From a server's leave to its end, which is later than any host may still use it.
pub const LEAVE: Duration = Duration::from_millis(4_500);

/// A fault and when it begins.
#[derive(Clone, Debug, Serialize)]
pub struct Planned {
    /// When, since the start.
    pub at: Duration,
    /// How long it lasts; what is restarted is back then.
    pub lasts: Duration,
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
    Grey(usize, #[serde(serialize_with = "debug")] Grey),
    /// A server is slow.
    Dull(usize),
    /// A server names a limit, in hundredths of a request a second.
    Limited(usize, u32),
    /// All servers of a server's service name a limit.
    AllLimited(usize, u32),
    /// All servers of a server's service meet a fault.
    AllGrey(usize, #[serde(serialize_with = "debug")] Grey),
    /// Datagrams between hosts are lost or late.
    Links(Pairs, #[serde(serialize_with = "debug")] Delivery),
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
            let is_meant = match self {
                Pairs::All => true,
                Pairs::Of(host) => *from == host || *to == host,
                Pairs::From(host) => *from == host,
                Pairs::To(host) => *to == host,
            };
            from != to && is_meant
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
enum Thing {
    Host(usize),
    Store,
    Server(usize),
    Callers,
}

const REFUSALS: [Refusal; 4] = [Refusal::Down, Refusal::TooMany, Refusal::Reset, Refusal::Silence];

const GREYS: [Grey; 13] = [
    Grey::Failed(StatusCode::INTERNAL_SERVER_ERROR),
    Grey::NotRun(StatusCode::SERVICE_UNAVAILABLE),
    Grey::Silent,
    Grey::Lost,
    Grey::Unsealed,
    Grey::OtherId,
    Grey::Truncated,
    Grey::UnframedReset,
    Grey::Garbled,
    Grey::Doubled,
    Grey::DoubledLate,
    Grey::Broken { events: 3 },
    Grey::Stalled { events: 3 },
];

/// Draws the faults for some hosts and a length. The last ones end early enough for recovery to be
/// seen, if the soak is long enough for that.
pub fn draw(seed: u64, hosts: usize, length: Duration, tail: Duration) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut refusals = ChaCha8Rng::seed_from_u64(seed ^ REFUSED);
    let mut free: HashMap<Thing, Duration> = HashMap::new();
    let mut planned = Vec::new();
    let mut at = BEFORE.min(length / 4);
    let end = length.saturating_sub(tail);
    while at < end {
        let mut fault = pick(&mut random, hosts);
        let mut lasts = lasts(&mut random, fault);
        if let Fault::Down(refusal) = &mut fault {
            *refusal = REFUSALS.choose(&mut refusals).copied().unwrap_or(Refusal::Down);
            if *refusal == Refusal::Silence {
                lasts += Duration::from_millis(refusals.random_range(LONGER));
            }
        }
        let (thing, most) = bounds(fault, hosts);
        let out = free.iter().filter(|(other, until)| same(**other, thing) && at < **until);
        let is_free = free.get(&thing).is_none_or(|until| *until <= at) && out.count() < most;
        if is_free && at + lasts <= end {
            free.insert(thing, at + lasts + REST);
            planned.push(Planned { at, lasts, fault });
        }
        at += Duration::from_millis(random.random_range(BETWEEN));
    }
    planned.extend(limits(seed, end));
    planned.extend(pressed(seed, hosts, end));
    planned.extend(poisoned(seed, end));
    planned.sort_by_key(|planned| planned.at);
    planned
}

/// Limits that servers name, change and withdraw, beside whatever else happens.
fn limits(seed: u64, end: Duration) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ LIMITED);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(random.random_range(LIMITS_BETWEEN));
    while at < end {
        let server = random.random_range(0..SERVERS.len());
        let limit = LIMITS.choose(&mut random).copied().unwrap_or_default();
        let fault = match random.random_range(0..4) {
            0 => Fault::AllLimited(server, limit),
            _ => Fault::Limited(server, limit),
        };
        let lasts = Duration::from_millis(random.random_range(LIMIT_LASTS));
        if at + lasts <= end {
            planned.push(Planned { at, lasts, fault });
        }
        at += Duration::from_millis(random.random_range(LIMITS_BETWEEN));
    }
    planned
}

/// What presses on the retry budget, beside whatever else happens: services that fail, links between hosts that
/// lose or delay, and hosts that are restarted in series.
fn pressed(seed: u64, hosts: usize, end: Duration) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ PRESSED);
    let mut planned = Vec::new();
    let mut at = Duration::from_millis(random.random_range(PRESSED_BETWEEN));
    while at < end {
        match random.random_range(0..6) {
            0 => planned.extend(series(&mut random, hosts, at)),
            1 | 2 => {
                let lasts = Duration::from_millis(random.random_range(LINKS_LAST));
                let fault = link(&mut random, hosts);
                planned.push(Planned { at, lasts: lasts.min(end - at), fault });
            }
            _ => {
                let server = random.random_range(0..SERVERS.len());
                let grey = GREYS.choose(&mut random).copied().unwrap_or(Grey::Lost);
                let lasts = Duration::from_millis(random.random_range(FAILING_LASTS));
                let fault = Fault::AllGrey(server, grey);
                planned.push(Planned { at, lasts: lasts.min(end - at), fault });
            }
        }
        at += Duration::from_millis(random.random_range(PRESSED_BETWEEN));
    }
    planned.retain(|planned| planned.at + planned.lasts <= end);
    planned
}

/// Times in which a request comes that crashes servers, in one of two soaks.
fn poisoned(seed: u64, end: Duration) -> Vec<Planned> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ POISONED);
    let mut planned = Vec::new();
    let mut at = BEFORE.min(end / 4);
    if random.random_bool(0.5) {
        return planned;
    }
    while at < end {
        let lasts = Duration::from_millis(random.random_range(POISON_LASTS)).min(end - at);
        planned.push(Planned { at, lasts, fault: Fault::Poison });
        at += lasts + Duration::from_millis(random.random_range(POISON_LASTS));
    }
    planned
}

/// Every host is killed and started again, one after the other, a few times.
fn series(random: &mut ChaCha8Rng, hosts: usize, at: Duration) -> Vec<Planned> {
    let times = random.random_range(SERIES_TIMES);
    let between = Duration::from_millis(random.random_range(SERIES_BETWEEN));
    let lasts = Duration::from_millis(random.random_range(SERIES_AWAY));
    let kill =
        |n: usize| Planned { at: at + between * n as u32, lasts, fault: Fault::Kill(n % hosts) };
    (0..times * hosts).map(kill).collect()
}

fn link(random: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let host = random.random_range(0..hosts);
    let pairs = match random.random_range(0..5) {
        0 | 1 => Pairs::All,
        2 => Pairs::Of(host),
        3 => Pairs::From(host),
        _ => Pairs::To(host),
    };
    let delivery = match random.random_range(0..3) {
        0 => Delivery::Late(Duration::from_millis(random.random_range(LINKS_LATE))),
        _ => Delivery::Lost,
    };
    Fault::Links(pairs, delivery)
}

fn pick(random: &mut ChaCha8Rng, hosts: usize) -> Fault {
    let (host, server) = (random.random_range(0..hosts), random.random_range(0..SERVERS.len()));
    let grey = GREYS.choose(random).copied().unwrap_or(Grey::Lost);
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
        14 | 15 => Fault::Grey(server, grey),
        16 => Fault::Dull(server),
        17 => Fault::Orders(server),
        18 => Fault::Declare,
        _ => Fault::Burst,
    }
}

fn lasts(random: &mut ChaCha8Rng, fault: Fault) -> Duration {
    match fault {
        Fault::Stop(_) => STOP,
        Fault::Leave(..) => LEAVE,
        Fault::Reload(_) | Fault::Compact | Fault::Declare => Duration::ZERO,
        Fault::Orders(_) | Fault::LateWrite => Duration::from_secs(2),
        _ => Duration::from_millis(random.random_range(800..3_500)),
    }
}

/// What a fault troubles, and how many such things may be in trouble at once.
fn bounds(fault: Fault, hosts: usize) -> (Thing, usize) {
    match fault {
        Fault::Kill(host)
        | Fault::Stop(host)
        | Fault::Freeze(host)
        | Fault::Reload(host)
        | Fault::TurnAway(host, _) => (Thing::Host(host), hosts / 2),
        Fault::Down(_) | Fault::Slow | Fault::Lost(_) | Fault::LateWrite | Fault::Compact => {
            (Thing::Store, 1)
        }
        Fault::Crash(server)
        | Fault::Leave(server, _)
        | Fault::Grey(server, _)
        | Fault::Dull(server)
        | Fault::Orders(server) => (Thing::Server(server), 2),
        Fault::Declare
        | Fault::Burst
        | Fault::Poison
        | Fault::Limited(..)
        | Fault::AllLimited(..)
        | Fault::AllGrey(..)
        | Fault::Links(..) => (Thing::Callers, 1),
    }
}

fn same(one: Thing, other: Thing) -> bool {
    std::mem::discriminant(&one) == std::mem::discriminant(&other)
}
