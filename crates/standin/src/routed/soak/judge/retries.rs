//! The retry budget: arrivals at a service's servers beyond the first of each request.
//!
//! A window of any position counts, over all hosts; no fault excuses one. Requests pay by when
//! callers sent them, in the window itself, in the one before it, or in the one half a window
//! before it, whichever has the most.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::record::{Declared, Record, Request},
    Breach, Judge, Promise,
};

/// Just after a moment that belongs to a window's start.
const EPSILON: Duration = Duration::from_nanos(1);

/// A service's window that comes nearest to what is allowed, or goes furthest beyond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// Its end.
    pub end: Duration,
    /// Arrivals beyond the first of each request.
    pub retries: usize,
    /// Retries that are allowed.
    pub allowed: f64,
}

impl Window {
    /// Retries as a part of what is allowed.
    pub fn ratio(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

/// What came for one service, by time.
#[derive(Debug, Default)]
struct Service {
    requests: Vec<Duration>,
    retries: Vec<Duration>,
}

impl Judge<'_> {
    pub(super) fn check_retries(&self) -> Vec<Breach> {
        let worst = worst(self.record).into_iter();
        let broken = worst.filter(|(_, window)| window.allowed < window.retries as f64);
        let breach = |(service, Window { end, retries, allowed }): (String, Window)| {
            let what = format!("{service} got {retries} retries in a window, allowed {allowed:.1}");
            Breach { promise: Promise::Retries, request: None, at: end, what }
        };
        broken.map(breach).collect()
    }
}

/// The worst window of each service that got a retry.
pub fn worst(record: &Record) -> BTreeMap<String, Window> {
    let services = services(record).into_iter();
    services.filter_map(|(name, service)| Some((name, service.worst(record)?))).collect()
}

fn services(record: &Record) -> BTreeMap<String, Service> {
    let mut services: BTreeMap<String, Service> = BTreeMap::new();
    for request in &record.requests {
        for service in target_services(record, request) {
            services.entry(service).or_default().requests.push(request.span.from);
        }
    }
    let mut arrivals: Vec<_> = record.arrivals.iter().collect();
    arrivals.sort_by_key(|arrival| arrival.at);
    let mut firsts = std::collections::BTreeSet::new();
    for arrival in arrivals {
        let is_first = firsts.insert((&arrival.service, &arrival.id));
        if !is_first {
            services.entry(arrival.service.clone()).or_default().retries.push(arrival.at);
        }
    }
    services.values_mut().for_each(|service| service.requests.sort_unstable());
    services
}

/// Services that a declaration sends a request to which may be in force for it.
fn target_services(record: &Record, request: &Request) -> std::collections::BTreeSet<String> {
    let ends = record.declared.iter().skip(1).map(|next| next.at + record.bounds.apply);
    let ends = ends.chain([Duration::MAX]);
    let in_force = record
        .declared
        .iter()
        .zip(ends)
        .filter(|(declared, end)| declared.at <= request.span.to && request.span.from <= *end);
    let services = in_force.filter_map(|(declared, _): (&Declared, _)| declared.of(&request.path));
    services.flatten().cloned().collect()
}

impl Service {
    fn worst(&self, record: &Record) -> Option<Window> {
        let bounds = &record.bounds;
        let (length, last) = (bounds.retry_window, *self.retries.last()?);
        // The counts change only where a request or a retry enters or leaves one of the windows.
        let halves = [0, 1, 2, 3, 4].map(|halves| length * halves / 2);
        let events = self.requests.iter().chain(&self.retries);
        let ends = events.flat_map(|at| halves.map(|later| *at + later));
        let windows = ends.filter(|end| *end <= last + length).flat_map(|end| {
            [end, end + EPSILON].map(|end| Window {
                end,
                retries: count(&self.retries, end, length),
                allowed: bounds.retry_ratio * self.requests_counted(end, length) as f64
                    + bounds.retry_extra,
            })
        });
        windows.max_by(|one, other| one.ratio().total_cmp(&other.ratio()))
    }

    /// Requests that pay for the retries of a window.
    fn requests_counted(&self, end: Duration, length: Duration) -> usize {
        let ends = [Some(end), end.checked_sub(length / 2), end.checked_sub(length)];
        let counts = ends.into_iter().flatten().map(|end| count(&self.requests, end, length));
        counts.max().unwrap_or(0)
    }
}

/// Events of a window, both ends included.
fn count(times: &[Duration], end: Duration, length: Duration) -> usize {
    let from = times.partition_point(|at| *at + length < end);
    times.partition_point(|at| *at <= end).saturating_sub(from)
}
