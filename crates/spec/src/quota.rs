//! One share of a quota: the host that it belongs to, and two hosts that it may be lent to.
//!
//! Borrowers tell their clocks, the lender lends from what it has read of them. Messages are late, lost
//! or come twice, the lender starts again with nothing known, and it turns from one borrower to the other
//! whenever it likes. The clocks of the three differ. `policy::quota::lease` decides at both ends.

use std::{collections::BTreeSet, fmt};

use policy::quota::lease::{Pool, Share};
use types::prelude::*;

use crate::explore::System;

const HOSTS: usize = 3;

/// The host whose share it is.
const LENDER: usize = 0;

/// Length of a lease, and that of the lender on its own share.
const LEASE: Moment = Duration::from_secs(2);
const OWN_LEASE: Moment = Duration::from_secs(1);

/// How far the hosts' clocks are ahead of the time.
const CLOCK_OFFSETS: [u64; HOSTS] = [3, 0, 7];

/// A guard that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// All hold.
    All,
    /// The lender lends what another host may still count.
    NoExclusion,
    /// Borrowers count a lease from when its message came.
    NoReading,
    /// A lender that starts again lends at once.
    NoWait,
}

/// The system.
#[derive(Clone, Copy, Debug)]
pub struct Quota {
    /// What holds.
    pub guard: Guard,
    /// Length of the walk, in seconds.
    pub length: u64,
}

/// A state of the three hosts and of the messages on their way.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct State {
    time: u64,
    /// When the lender started again, if it did.
    restarted: Option<u64>,
    share: Share,
    /// The last clock of each borrower that the lender has read, and when by its own clock.
    readings: [Option<(Moment, Moment)>; HOSTS],
    pools: [Pool; HOSTS],
    messages: BTreeSet<Message>,
}

/// A message; one that stays may come again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    /// A borrower's clock.
    Clock(usize, Moment),
    /// The share is lent from this reading of the borrower's clock.
    Lease(usize, Moment),
}

/// A step.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A second passes.
    Tick,
    /// A borrower tells its clock.
    SendClock(usize),
    /// The lender reads a borrower's clock.
    ReceiveClock,
    /// A borrower takes a lease in.
    ReceiveLease,
    /// The lender lends its share to a host.
    Lend(usize),
    /// The lender starts again.
    Restart,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Tick => write!(f, "a second passes"),
            Step::SendClock(host) => write!(f, "host {host} tells its clock"),
            Step::ReceiveClock => write!(f, "a clock arrives"),
            Step::ReceiveLease => write!(f, "a lease arrives"),
            Step::Lend(LENDER) => write!(f, "the lender counts its share itself"),
            Step::Lend(host) => write!(f, "the lender lends to host {host}"),
            Step::Restart => write!(f, "the lender starts again"),
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
        (1 < holders.len()).then(|| format!("the share counts at hosts {holders:?}"))
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

    /// The lender's clock goes on here, so its share is free a lease after its clock of now.
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
    /// A second later, without what can have no effect any more.
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
