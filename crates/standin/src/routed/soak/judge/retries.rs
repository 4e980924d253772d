//! Checks the retry budget of each service.
//!
//! A retry is an arrival at a server of the service beyond the first of its request. Every position
//! of the sliding window is checked, over all hosts; no fault excuses an excess. A window's budget
//! grows with the requests that callers sent in it, in the window before, or in the one half a
//! window earlier, whichever has the most.

use std::{collections::BTreeMap, time::Duration};

use super::{
    super::record::{Declared, Record, Request},
    Breach, Judge, Promise,
};

/// Step past the start of a window, which still belongs to that window.
const EPSILON: Duration = Duration::from_nanos(1);

/// One position of a service's sliding window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// End of the window, since the start of the soak.
    pub end: Duration,
    /// Retries in the window.
    pub retries: usize,
    /// Retries that the budget allows in the window.
    pub allowed: f64,
}

impl Window {
    /// Retries divided by those allowed; above 1 the budget is exceeded.
    pub fn ratio(&self) -> f64 {
        self.retries as f64 / self.allowed
    }
}

/// Times of requests to one service and of its retries, both in ascending order.
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
            let what = format!(
                "{service} received {retries} retries in a window that allows {allowed:.1}"
            );
            Breach { promise: Promise::Retries, request: None, at: end, what }
        };
        broken.map(breach).collect()
    }
}

/// For each service that received a retry, the window with the highest ratio.
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

/// Services that a request may be routed to by any declaration that may be in force for it.
fn target_services(record: &Record, request: &Request) -> std::collections::BTreeSet<String> {
    let ends = record.declared.iter().skip(1).map(|next| next.at + record.bounds.apply);
    let ends = ends.chain([Duration::MAX]);
    let in_force = record
        .declared
        .iter()
        .zip(ends)
        .filter(|(declared, end)| declared.at <= request.span.to && request.span.from <= *end);
    let services =
        in_force.filter_map(|(declared, _): (&Declared, _)| declared.services_for(&request.path));
    services.flatten().cloned().collect()
}

impl Service {
    fn worst(&self, record: &Record) -> Option<Window> {
        let bounds = &record.bounds;
        let (length, last) = (bounds.retry_window, *self.retries.last()?);
        // Counts change only where a request or a retry enters or leaves one of the windows, so no
        // other position has to be tried.
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

    /// Number of requests by which a window's budget grows.
    fn requests_counted(&self, end: Duration, length: Duration) -> usize {
        let ends = [Some(end), end.checked_sub(length / 2), end.checked_sub(length)];
        let counts = ends.into_iter().flatten().map(|end| count(&self.requests, end, length));
        counts.max().unwrap_or(0)
    }
}

/// Number of times within a window, both ends included.
fn count(times: &[Duration], end: Duration, length: Duration) -> usize {
    let from = times.partition_point(|at| *at + length < end);
    times.partition_point(|at| *at <= end).saturating_sub(from)
}
