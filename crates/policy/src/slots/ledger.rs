//! Use of one server's slots by all hosts, as its owner counts it.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use types::{host, time::Moment};

use super::message::{Grant, Urgency, Use};
use crate::quota::message::Clock;

/// Time after which what a host told is dropped unless it is told again, so that the slots of a host
/// that died are free within a second.
const USE_LIFETIME: Duration = Duration::from_millis(900);

/// Time after which a grant that the host has not acknowledged counts as lost.
const GRANT_LIFETIME: Duration = Duration::from_millis(300);

/// Time for which requests that the server reports beyond the ledger are counted.
const EXCESS_LIFETIME: Duration = Duration::from_millis(200);

/// Prompt tokens that a server of median speed is assumed to prefill in a millisecond.
pub const PREFILL_TOKENS_PER_MS: u32 = 30;

/// Slots of one server that hosts use and want.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ledger {
    hosts: BTreeMap<host::Id, Account>,
    /// Requests that the server reported beyond the ledger, and when.
    excess: Option<(Moment, u32)>,
    /// Number of slots granted so far.
    turn: u64,
}

/// What one host uses and wants.
#[derive(Clone, Debug, Default, PartialEq)]
struct Account {
    told: Use,
    /// Clock of the host's message that told it.
    clock: Clock,
    told_at: Moment,
    /// When the most urgent request must start.
    start_by: Moment,
    /// Slots that the host had not read when it told its use.
    unread: VecDeque<Unread>,
    /// Value of [`Ledger::turn`] when the host was last granted a slot; lower goes first.
    turn: u64,
}

/// A slot that was granted, in a message with this clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Unread {
    clock: Clock,
    at: Moment,
}

impl Account {
    fn unread(&self) -> u32 {
        self.unread.len() as u32
    }

    fn taken(&self) -> u32 {
        self.told.taken.saturating_add(self.unread())
    }

    fn wanted(&self) -> u32 {
        self.told.wanted.saturating_sub(self.unread())
    }

    /// Prompt tokens that wait to be prefilled, less those prefilled since the host told of them.
    fn prefill(&self, now: Moment) -> u32 {
        remaining_prefill(self.told.prefill, self.told_at, now)
    }

    /// Order in which hosts are granted slots.
    fn order(&self) -> (u8, Moment, u64) {
        let Urgency { rank, .. } = self.told.urgency;
        (rank, self.start_by, self.turn)
    }

    /// When its oldest unread slot, or all of it, is out of date.
    fn expires_at(&self) -> Moment {
        let lost_at = self.unread.front().map(|unread| unread.at + GRANT_LIFETIME);
        lost_at.into_iter().fold(self.told_at + USE_LIFETIME, Moment::min)
    }

    fn is_empty(&self) -> bool {
        self.told.taken == 0 && self.told.wanted == 0 && self.unread.is_empty()
    }
}

impl Ledger {
    /// Replaces what a host uses and wants, unless it was told by a later message; `clock` is that of
    /// the message, and `echo` the latest clock of this host that the host has read.
    pub fn tell(&mut self, host: &host::Id, told: Use, clock: Clock, echo: Clock, now: Moment) {
        let account = self.hosts.entry(host.clone()).or_default();
        if clock < account.clock {
            return;
        }
        account.clock = clock;
        account.unread.retain(|unread| echo < unread.clock);
        account.told = told;
        account.told_at = now;
        account.start_by = now + Duration::from_millis(told.urgency.slack_ms.into());
    }

    /// Applies the number of requests that the server itself has, as it says now. What it has beyond
    /// the ledger is of hosts that tell nothing.
    pub fn report(&mut self, requests: u32, now: Moment) {
        self.excess = Some((now, requests.saturating_sub(self.taken())));
    }

    /// Forgets what a host told, as it has left, or its process has started again.
    pub fn forget(&mut self, host: &host::Id) {
        self.hosts.remove(host);
    }

    /// Drops what is out of date, and the use of hosts that `is_gone` selects.
    pub fn expire(&mut self, is_gone: impl Fn(&host::Id) -> bool, now: Moment) {
        for account in self.hosts.values_mut() {
            account.unread.retain(|unread| now < unread.at + GRANT_LIFETIME);
        }
        self.hosts.retain(|host, account| {
            now < account.told_at + USE_LIFETIME && !account.is_empty() && !is_gone(host)
        });
        self.excess = self.excess.filter(|(at, _)| now < *at + EXCESS_LIFETIME);
    }

    /// When the next account or unread grant is out of date; `None` without accounts.
    pub fn expires_at(&self) -> Option<Moment> {
        let accounts = self.hosts.values().map(Account::expires_at);
        accounts.min()
    }

    /// Whether no host uses or wants a slot.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Requests of all hosts at the server, including those that were granted slots.
    pub fn in_flight(&self, now: Moment) -> u32 {
        let excess = self.excess.filter(|(at, _)| now < *at + EXCESS_LIFETIME);
        self.taken().saturating_add(excess.map_or(0, |(_, requests)| requests))
    }

    /// Slots that hosts want beyond those granted.
    pub fn waiting(&self) -> u32 {
        self.hosts.values().map(Account::wanted).fold(0, u32::saturating_add)
    }

    /// Grants slots to the most urgent requests while fewer than `capacity` are taken; `clock` is
    /// that of the messages that tell of it.
    pub fn grant(&mut self, capacity: u32, clock: Clock, now: Moment) -> BTreeMap<host::Id, u32> {
        let mut granted: BTreeMap<host::Id, u32> = BTreeMap::new();
        let mut free = capacity.saturating_sub(self.in_flight(now));
        while 0 < free
            && let Some((host, account)) = self.next()
        {
            free -= 1;
            account.unread.push_back(Unread { clock, at: now });
            *granted.entry(host).or_default() += 1;
        }
        granted
    }

    /// Returns what is told to a host that is granted this number of slots.
    pub fn answer(&self, host: &host::Id, slots: u32, now: Moment) -> Grant {
        let account = self.hosts.get(host);
        let taken = account.map_or(0, Account::taken);
        let prompts = self.hosts.iter().filter(|(other, _)| *other != host);
        let prefill = prompts.map(|(_, account)| account.prefill(now));
        Grant {
            slots,
            in_flight: self.in_flight(now).saturating_sub(taken),
            prefill: prefill.fold(0, u32::saturating_add),
            waiting: self.waiting().saturating_sub(account.map_or(0, Account::wanted)),
        }
    }

    fn taken(&self) -> u32 {
        self.hosts.values().map(Account::taken).fold(0, u32::saturating_add)
    }

    /// Selects the host that is granted the next slot.
    fn next(&mut self) -> Option<(host::Id, &mut Account)> {
        let waiting = self.hosts.iter_mut().filter(|(_, account)| 0 < account.wanted());
        let (host, account) = waiting.min_by_key(|(_, account)| account.order())?;
        self.turn += 1;
        account.turn = self.turn;
        Some((host.clone(), account))
    }
}

/// Prompt tokens of those at a moment that wait to be prefilled now.
pub fn remaining_prefill(tokens: u32, at: Moment, now: Moment) -> u32 {
    let millis = u32::try_from(now.saturating_sub(at).as_millis()).unwrap_or(u32::MAX);
    tokens.saturating_sub(millis.saturating_mul(PREFILL_TOKENS_PER_MS))
}
