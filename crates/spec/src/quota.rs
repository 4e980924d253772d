//! Model of the lease of one share of a quota: the host that owns it, and two borrowers.
//!
//! Borrowers send readings of their clocks, and a lease is measured from such a reading. Messages
//! may be late, lost or duplicated; the lender may restart without its state, and may switch from
//! one borrower to the other at any time. The clocks of the three hosts differ.
//! `policy::quota::lease` decides on both sides. Safety: at any time, at most one host counts the
//! share as its own.

use std::{collections::BTreeSet, fmt};

use policy::quota::lease::{Pool, Share};
use types::prelude::*;

use crate::explore::System;

const HOSTS: usize = 3;

/// The host that owns the share.
const LENDER: usize = 0;

/// Length of a lease to a borrower.
const LEASE: Moment = Duration::from_secs(2);

/// Length of the lease that the lender takes on its own share.
const OWN_LEASE: Moment = Duration::from_secs(1);

/// Seconds by which each host's clock is ahead of the model's time.
const CLOCK_OFFSETS: [u64; HOSTS] = [3, 0, 7];

/// Selection of the active guards: all of them, or all but one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// All guards are active.
    All,
    /// The lender lends a share that another host may still count as its own.
    NoExclusion,
    /// Borrowers measure a lease from the arrival of its message, not from their clock reading.
    NoReading,
    /// A restarted lender lends at once, while a lease of its former run may still be valid.
    NoWait,
}

/// The model, with its guards and the bound on time.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// [`Guard::All`], or the guard that is disabled.
    pub guard: Guard,
    /// Seconds after which time stops.
    pub length: u64,
}

/// A state of the three hosts and of the messages in transit.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State {
    time: u64,
    /// When the lender restarted, if it did; it restarts at most once.
    restarted: Option<u64>,
    share: Share,
    /// The newest clock reading of each borrower, and the lender's own clock when it arrived.
    readings: [Option<(Moment, Moment)>; HOSTS],
    pools: [Pool; HOSTS],
    messages: BTreeSet<Message>,
}

/// A message in transit. Delivery does not remove it, so it may be delivered again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// A reading of this borrower's clock.
    Clock(usize, Moment),
    /// A lease to this borrower, measured from this reading of its clock.
    Lease(usize, Moment),
}

/// A step of time, of a borrower or of the lender.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// One second passes.
    Tick,
    /// A borrower sends a reading of its clock.
    SendClock(usize),
    /// A borrower's clock reading arrives at the lender.
    ReceiveClock,
    /// A lease arrives at its borrower.
    ReceiveLease,
    /// The lender leases the share to a host; to itself if the index is its own.
    Lend(usize),
    /// The lender restarts without its state.
    Restart,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Tick => write!(f, "one second passes"),
            Step::SendClock(host) => write!(f, "host {host} sends its clock reading"),
            Step::ReceiveClock => write!(f, "a clock reading arrives at the lender"),
            Step::ReceiveLease => write!(f, "a lease arrives at its borrower"),
            Step::Lend(LENDER) => write!(f, "the lender leases the share to itself"),
            Step::Lend(host) => write!(f, "the lender leases the share to host {host}"),
            Step::Restart => write!(f, "the lender restarts"),
        }
    }
}

impl System for Quota {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            time: 0,
            restarted: None,
            share: Share::free_from(Duration::ZERO),
            readings: [None; HOSTS],
            pools: Default::default(),
            messages: BTreeSet::new(),
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        if state.time < self.length {
            steps.push((Step::Tick, state.next_second()));
        }
        for host in LENDER + 1..HOSTS {
            let mut next = state.clone();
            next.messages.insert(Message::Clock(host, state.clock(host)));
            steps.push((Step::SendClock(host), next));
        }
        for message in &state.messages {
            steps.push(self.deliver(state, *message));
        }
        for host in LENDER..HOSTS {
            steps.extend(self.lend(state, host).map(|next| (Step::Lend(host), next)));
        }
        if state.restarted.is_none() && 0 < state.time {
            steps.push((Step::Restart, self.restart(state)));
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        let lender = name(LENDER);
        let counts = |host: &usize| state.pools[*host].has(&lender, state.clock(*host));
        let holders: Vec<usize> = (0..HOSTS).filter(counts).collect();
        (1 < holders.len()).then(|| format!("the share is counted by several hosts: {holders:?}"))
    }

    fn is_progress(&self, step: &Step) -> bool {
        matches!(step, Step::Tick)
    }

    fn is_settled(&self, state: &State) -> bool {
        state.time == self.length
    }
}

impl Quota {
    fn deliver(&self, state: &State, message: Message) -> (Step, State) {
        let mut next = state.clone();
        match message {
            Message::Clock(host, clock) => {
                let is_newer = state.readings[host].is_none_or(|(read, _)| read < clock);
                if is_newer {
                    next.readings[host] = Some((clock, state.clock(LENDER)));
                }
                (Step::ReceiveClock, next)
            }
            Message::Lease(host, read) => {
                let now = state.clock(host);
                let read = if self.guard == Guard::NoReading { now } else { read };
                next.pools[host].borrow(&name(LENDER), read, LEASE, HOSTS as u32, now);
                (Step::ReceiveLease, next)
            }
        }
    }

    fn lend(&self, state: &State, host: usize) -> Option<State> {
        let mut next = state.clone();
        let now = state.clock(LENDER);
        if self.guard == Guard::NoExclusion {
            next.share = Share::free_from(Duration::ZERO);
        }
        if host == LENDER {
            next.share.lend(&name(LENDER), now, OWN_LEASE, now).then_some(())?;
            next.pools[LENDER].borrow(&name(LENDER), now, OWN_LEASE, HOSTS as u32, now);
        } else {
            let (clock, read) = state.readings[host]?;
            next.share.lend(&name(host), read, LEASE, now).then_some(())?;
            next.messages.insert(Message::Lease(host, clock));
        }
        Some(next)
    }

    /// The lender's clock continues over a restart, so the share is free one lease length after its
    /// current reading.
    fn restart(&self, state: &State) -> State {
        let wait = if self.guard == Guard::NoWait { Duration::ZERO } else { LEASE };
        let mut next = State { restarted: Some(state.time), ..state.clone() };
        next.share = Share::free_from(state.clock(LENDER) + wait);
        next.readings = [None; HOSTS];
        next.pools[LENDER] = Pool::default();
        next
    }
}

impl State {
    /// The state one second later, without expired leases and messages that can have no effect.
    fn next_second(&self) -> State {
        let mut next = State { time: self.time + 1, ..self.clone() };
        for host in 0..HOSTS {
            let now = next.clock(host);
            next.pools[host].expire(now);
        }
        let clocks = (0..HOSTS).map(|host| next.clock(host)).collect::<Vec<_>>();
        let is_expired = |host: usize, read: Moment| read + LEASE <= clocks[host];
        next.messages.retain(|message| match message {
            Message::Clock(host, clock) => !is_expired(*host, *clock),
            Message::Lease(host, read) => !is_expired(*host, *read),
        });
        next
    }

    fn clock(&self, host: usize) -> Moment {
        Duration::from_secs(self.time + CLOCK_OFFSETS[host])
    }
}

fn name(host: usize) -> host::Id {
    format!("host-{host}").into()
}
