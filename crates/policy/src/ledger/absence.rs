//! Detection of senders that are gone for good.
//!
//! A missing answer is not enough: a paused process doesn't answer, and acts again later. An
//! incarnation is gone when a later one of the same host is known, or when the platform's list has
//! omitted the host for longer than the list lags, confirmed by a list read at the end of that
//! time. Its messages are waited for as long as its connections may linger.

use std::collections::BTreeMap;

use types::{host::List, prelude::*};

use super::{Ledger, ReportPosition, sender::TimedReport, settle::Evidence};

/// Times that apply to absent hosts.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Upper bound of the lag of the platform's list.
    pub list_lag: Duration,
    /// Time for which a message may still arrive after its sender's end.
    pub linger: Duration,
}

/// Hosts that may be gone, and incarnations that are.
#[derive(Clone, Debug)]
pub struct GoneSenders {
    times: Times,
    /// Latest known incarnation of each host, and the time at which it was first known.
    latest: BTreeMap<host::Id, (host::Incarnation, Moment)>,
    /// Hosts missing from the list, and the time of the first list without them.
    unlisted: BTreeMap<host::Id, Moment>,
    /// Time of the request for the last list.
    listed_at: Moment,
}

impl GoneSenders {
    /// Starts with no known host.
    pub fn new(times: Times) -> GoneSenders {
        GoneSenders {
            times,
            latest: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            listed_at: Moment::ZERO,
        }
    }

    /// Records an incarnation of a host.
    pub fn observe_run(&mut self, now: Moment, host: &host::Id, incarnation: host::Incarnation) {
        let latest = self.latest.entry(host.clone()).or_insert((incarnation, now));
        if latest.0 < incarnation {
            *latest = (incarnation, now);
        }
    }

    /// Applies a list of the platform, with the time of the request for it and the hosts to track.
    pub fn observe_list<'a>(
        &mut self,
        requested_at: Moment,
        list: &List,
        senders: impl IntoIterator<Item = &'a host::Id>,
    ) {
        self.listed_at = requested_at;
        let is_listed = |host: &host::Id| list.hosts.iter().any(|entry| entry.host.id == *host);
        self.unlisted.retain(|host, _| !is_listed(host));
        for sender in senders {
            if !is_listed(sender) {
                self.unlisted.entry(sender.clone()).or_insert(requested_at);
            }
        }
    }

    /// Returns whether a tracked host was missing from the last list.
    pub fn is_watching(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Returns the time from which nothing of this incarnation can arrive any more; `None` if it is
    /// not gone.
    pub fn gone_since(&self, host: &host::Id, incarnation: host::Incarnation) -> Option<Moment> {
        let replaced = self.latest.get(host).filter(|(latest, _)| incarnation < *latest);
        let replaced = replaced.map(|(_, since)| *since);
        let unlisted = self.unlisted.get(host).map(|since| *since + self.times.list_lag);
        let unlisted = unlisted.filter(|since| *since <= self.listed_at);
        let gone = replaced.into_iter().chain(unlisted).min()?;
        Some(gone + self.times.linger)
    }

    /// Returns whether a report of this server is needed to settle orders of senders that are gone.
    pub fn wants_report(&self, now: Moment, ledger: &Ledger) -> bool {
        ledger.orders.iter().any(|entry| {
            let gone = self.gone_since(&entry.order.sender, entry.order.incarnation);
            entry.conclusive_from.is_none() && gone.is_some_and(|since| since < now)
        })
    }

    /// Returns evidence about orders of senders that were gone before the report was taken.
    pub fn evidence(&self, ledger: &Ledger, report: &TimedReport) -> Vec<Evidence<'static>> {
        let orders = ledger.orders.iter().map(|entry| &entry.order);
        orders
            .filter(|order| {
                let gone = self.gone_since(&order.sender, order.incarnation);
                gone.is_some_and(|since| report.is_after(since))
            })
            .map(|order| Evidence::SenderGone {
                sender: order.sender.clone(),
                incarnation: order.incarnation,
                after: ReportPosition::of(&report.load),
            })
            .collect()
    }
}
