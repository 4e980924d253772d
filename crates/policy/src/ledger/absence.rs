//! Senders that are gone for good.
//!
//! Silence is not enough: a paused process is silent, and acts again. A run is gone when a later
//! run of the same host is known, or when the platform's list has left the host out for longer
//! than the list lags, confirmed by a list read at the end of that time. What it sent is waited
//! for as long as its connections may linger.

use std::collections::BTreeMap;

use types::{host::List, prelude::*};

use super::{Ledger, ReportPosition, sender::TimedReport, settle::Evidence};

/// Times that absence is judged by.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Longer than the platform's list lags.
    pub list_lag: Duration,
    /// How long a message may still arrive after its sender's end.
    pub linger: Duration,
}

/// What is known of hosts that may be gone.
#[derive(Clone, Debug)]
pub struct GoneSenders {
    times: Times,
    /// Latest known run of each host, and when this was first known.
    latest: BTreeMap<host::Id, (host::Incarnation, Moment)>,
    /// Hosts that the list leaves out, and since when.
    unlisted: BTreeMap<host::Id, Moment>,
    /// When the last list was asked for.
    listed: Moment,
}

impl GoneSenders {
    /// Knows of no host yet.
    pub fn new(times: Times) -> GoneSenders {
        GoneSenders {
            times,
            latest: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            listed: Moment::ZERO,
        }
    }

    /// A run of a host is known.
    pub fn observe_run(&mut self, now: Moment, host: &host::Id, incarnation: host::Incarnation) {
        let latest = self.latest.entry(host.clone()).or_insert((incarnation, now));
        if latest.0 < incarnation {
            *latest = (incarnation, now);
        }
    }

    /// Takes in a list, with the time that it was asked for and the hosts that matter.
    pub fn observe_list<'a>(
        &mut self,
        asked: Moment,
        list: &List,
        senders: impl IntoIterator<Item = &'a host::Id>,
    ) {
        self.listed = asked;
        let is_listed = |host: &host::Id| list.hosts.iter().any(|entry| entry.host.id == *host);
        self.unlisted.retain(|host, _| !is_listed(host));
        for sender in senders {
            if !is_listed(sender) {
                self.unlisted.entry(sender.clone()).or_insert(asked);
            }
        }
    }

    /// Whether some host was missing from the last list.
    pub fn is_watching(&self) -> bool {
        !self.unlisted.is_empty()
    }

    /// Since when nothing of this run can arrive any more, if it is gone.
    pub fn gone_since(&self, host: &host::Id, incarnation: host::Incarnation) -> Option<Moment> {
        let replaced = self.latest.get(host).filter(|(latest, _)| incarnation < *latest);
        let replaced = replaced.map(|(_, since)| *since);
        let unlisted = self.unlisted.get(host).map(|since| *since + self.times.list_lag);
        let unlisted = unlisted.filter(|since| *since <= self.listed);
        let gone = replaced.into_iter().chain(unlisted).min()?;
        Some(gone + self.times.linger)
    }

    /// Whether a report is wanted from this server, so that orders of the gone can be settled.
    pub fn wants_report(&self, now: Moment, ledger: &Ledger) -> bool {
        ledger.orders.iter().any(|entry| {
            let gone = self.gone_since(&entry.order.sender, entry.order.incarnation);
            entry.quiet.is_none() && gone.is_some_and(|since| since < now)
        })
    }

    /// What this report says of orders whose senders are gone.
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
