//! Checks that hosts that are partitioned from all servers serve requests like the others.

use std::collections::BTreeSet;

use super::{Breach, Judge, Promise, is_served, is_unauthorized};
use crate::routed::soak::record::{Component, Outcome, Request, Span};

/// Requests that may fail at partitioned hosts: this many, and one in so many of all requests.
const MAX_FAILED: usize = 10;
const MAX_FAILED_DIVISOR: usize = 50;

/// Minimum ratio between the served shares of requests at partitioned hosts and at the others.
const MIN_SERVED_RATIO: f64 = 2.0 / 3.0;

/// Requests of a group of hosts.
#[derive(Clone, Copy, Default)]
struct Tally {
    sent: usize,
    served: usize,
}

impl Tally {
    fn add(&mut self, request: &Request) {
        self.sent += 1;
        self.served += usize::from(is_served(request));
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

impl Judge<'_> {
    /// Partitions in which the partitioned hosts, from a contact time after the start on, served
    /// requests far less often than the others.
    pub(super) fn check_partitions(&self) -> Vec<Breach> {
        let disruptions = self.record.disruptions.iter();
        let partitions = disruptions.filter_map(|disruption| match disruption.component {
            Component::ServerLinks(host) => Some((disruption.span, host)),
            _ => None,
        });
        let spans: BTreeSet<_> = partitions.map(|(span, _)| (span.from, span.to)).collect();
        let mut breaches = Vec::new();
        let mut judged_until = None;
        for (from, to) in spans {
            // The hosts of one partition are cut off one after the other, within milliseconds.
            if judged_until.is_some_and(|until| from <= until) {
                continue;
            }
            judged_until = Some(to);
            breaches.extend(self.check_partition(Span { from, to }));
        }
        breaches
    }

    fn check_partition(&self, partition: Span) -> Option<Breach> {
        let from = partition.from + self.record.bounds.contact;
        let (mut partitioned, mut others) = (Tally::default(), Tally::default());
        let judged = self.record.requests.iter().filter(|request| {
            (from..=partition.to).contains(&request.span.from)
                && request.poison.is_none()
                && request.resume.is_none()
                && !is_unauthorized(request)
                && !matches!(request.outcome, Outcome::CallerClosed | Outcome::BrokenOff(_))
                && self.record.is_in_contact(request.host_run.host, request.span)
        });
        for request in judged {
            match self.record.is_partitioned(request.host_run.host, partition) {
                true => partitioned.add(request),
                false => others.add(request),
            }
        }
        let failed = partitioned.sent - partitioned.served;
        let allowed = MAX_FAILED + (partitioned.sent + others.sent) / MAX_FAILED_DIVISOR;
        let is_broken = allowed < failed
            && 0 < others.sent
            && partitioned.share() < MIN_SERVED_RATIO * others.share();
        is_broken.then(|| {
            let (Tally { sent, served }, other) = (partitioned, others);
            let what = format!(
                "hosts partitioned from all servers served {served} of {sent} requests, the others \
                 {} of {}",
                other.served, other.sent
            );
            Breach { promise: Promise::Partitioned, request: None, at: from, what }
        })
    }
}
