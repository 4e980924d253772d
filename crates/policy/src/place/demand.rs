//! What requests ask for, lately.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::{Rules, Throughput, persistence::Persistence, rate::Rate};

/// An adapter of a model.
pub(super) type AdapterKey = (model::Id, adapter::Id);

/// Time over which an adapter's arrivals are averaged: adapters are asked for less often.
const ADAPTER_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// How long a request that waits for something counts as waiting.
const WAIT_VALIDITY: Duration = Duration::from_millis(500);

/// Requests that arrived, and what they ask of servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens to read, all together.
    pub prompt: u64,
    /// Output tokens to generate at most, all together.
    pub output: u64,
}

impl Work {
    /// Adds other work.
    #[must_use]
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_add(other.requests),
            prompt: self.prompt.saturating_add(other.prompt),
            output: self.output.saturating_add(other.output),
        }
    }

    /// Subtracts other work; nothing goes below zero.
    #[must_use]
    pub fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            prompt: self.prompt.saturating_sub(other.prompt),
            output: self.output.saturating_sub(other.output),
        }
    }

    /// Seconds that it keeps one server fully used.
    fn seconds(self, throughput: &Throughput, slots: u32) -> f64 {
        let read = self.prompt as f64 / throughput.prompt_tokens_per_s;
        let generate = self.output as f64 * throughput.output_token_time.as_secs_f64();
        read + generate / f64::from(slots.max(1))
    }
}

/// Time after the first arrival from which what was not asked for counts as idle.
const IDLE_KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Time over which earlier demand is remembered.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(15);

/// Arrivals of a model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    steady: Rate,
    fast: Rate,
    requests: Rate,
    recent: Rate,
}

impl ModelDemand {
    fn add(&mut self, rules: &Rules, seconds: f64, requests: u32, now: Moment) {
        self.steady.add(rules.demand_time_constant, seconds, now);
        self.fast.add(rules.rise_time_constant, seconds, now);
        self.requests.add(rules.rise_time_constant, f64::from(requests), now);
        self.recent.add(RECENT_TIME_CONSTANT, seconds, now);
    }

    /// Rate of what came last, with what chance may add and take.
    fn recent_bounds(&self, rules: &Rules, now: Moment) -> (f64, f64) {
        let fast = self.fast.value(rules.rise_time_constant, now);
        let count = self.requests.value(rules.rise_time_constant, now)
            * rules.rise_time_constant.as_secs_f64();
        let spread = 1.0 / (1.0 + count).sqrt();
        (fast * (1.0 - spread), fast * (1.0 + 2.0 * spread))
    }
}

/// What an adapter is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdapterDemand {
    rate: Rate,
    /// Last arrival.
    pub(super) last_arrival: Moment,
    wait: Option<Wait>,
}

/// Requests that wait, one after the other.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Moment,
    last: Moment,
}

impl AdapterDemand {
    /// Requests a second.
    pub(super) fn rate(&self, now: Moment) -> f64 {
        self.rate.value(ADAPTER_TIME_CONSTANT, now)
    }

    /// For how long requests were seen to wait for it, the last time just now.
    pub(super) fn waited(&self, now: Moment) -> Duration {
        let wait = self.wait.filter(|wait| now < wait.last + WAIT_VALIDITY);
        wait.map_or(Duration::ZERO, |wait| wait.last.saturating_sub(wait.since))
    }

    /// Since when requests have waited for it; none if none does.
    pub(super) fn waiting_since(&self, now: Moment) -> Option<Moment> {
        self.wait.filter(|wait| now < wait.last + WAIT_VALIDITY).map(|wait| wait.since)
    }
}

/// Work by model and requests by adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// When this host began to receive demand.
    since: Moment,
    /// When the first arrival was received.
    first_arrival: Option<Moment>,
    persistence: Persistence,
    /// Work and requests of all models.
    seconds: Rate,
    requests: Rate,
    work: BTreeMap<model::Id, ModelDemand>,
    waits: BTreeMap<model::Id, Moment>,
    pub(super) adapters: BTreeMap<AdapterKey, AdapterDemand>,
}

impl Demand {
    /// Creates an empty demand that is received from now on.
    pub(super) fn new(now: Moment) -> Demand {
        Demand { since: now, ..Demand::default() }
    }

    /// Counts arrivals for a model served with so many slots a server; `at` may be some seconds ago.
    pub(super) fn record_arrivals(
        &mut self,
        rules: &Rules,
        slots: u32,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        work: Work,
        at: Moment,
    ) {
        // Arrivals before the term are known in part only.
        self.first_arrival.get_or_insert(at.max(self.since));
        let seconds = work.seconds(&rules.throughput, slots);
        let demand = self.work.entry(model.clone()).or_default();
        demand.add(rules, seconds, work.requests, at);
        self.persistence.add(model, seconds, at);
        self.seconds.add(RECENT_TIME_CONSTANT, seconds, at);
        self.requests.add(RECENT_TIME_CONSTANT, f64::from(work.requests), at);
        let Some(adapter) = adapter else { return };
        let entry = self.adapters.entry((model.clone(), adapter.clone())).or_default();
        entry.rate.add(ADAPTER_TIME_CONSTANT, f64::from(work.requests), at);
        entry.last_arrival = entry.last_arrival.max(at);
    }

    /// Seconds for which a request keeps one server fully used, in the mean of the last ones; 0 without any.
    pub(super) fn mean_request_s(&self, now: Moment) -> f64 {
        let requests = self.requests.value(RECENT_TIME_CONSTANT, now);
        if requests == 0.0 { 0.0 } else { self.seconds.value(RECENT_TIME_CONSTANT, now) / requests }
    }

    /// Notes that a request waits.
    pub(super) fn record_waiting(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        now: Moment,
    ) {
        let Some(adapter) = adapter else {
            self.waits.insert(model.clone(), now);
            return;
        };
        let entry = self.adapters.entry((model.clone(), adapter.clone())).or_default();
        let since = entry.waiting_since(now).unwrap_or(now);
        entry.wait = Some(Wait { since, last: now });
        entry.last_arrival = entry.last_arrival.max(now);
    }

    /// How long demand stays with its models, in seconds.
    pub(super) fn persistence_s(&self) -> f64 {
        self.persistence.mean_s()
    }

    /// Whether it has been watched for long enough to know what is idle.
    pub(super) fn is_established(&self, now: Moment) -> bool {
        self.first_arrival.is_some_and(|first_arrival| first_arrival + IDLE_KNOWN_AFTER <= now)
    }

    /// Work that a model gets, in servers kept fully used: the steady rate, or what came last if
    /// that is more by more than chance.
    pub(super) fn work(&self, rules: &Rules, model: &model::Id, now: Moment) -> f64 {
        let work = |demand: &ModelDemand| {
            demand
                .steady
                .value(rules.demand_time_constant, now)
                .max(demand.recent_bounds(rules, now).0)
        };
        self.work.get(model).map_or(0.0, work)
    }

    /// Work that a model still gets: the steady rate, or what came last if that is less by more
    /// than chance.
    pub(super) fn remaining_work(&self, rules: &Rules, model: &model::Id, now: Moment) -> f64 {
        let remaining = |demand: &ModelDemand| {
            demand
                .steady
                .value(rules.demand_time_constant, now)
                .min(demand.recent_bounds(rules, now).1)
        };
        self.work.get(model).map_or(0.0, remaining)
    }

    /// Work that a model got lately in the mean.
    pub(super) fn recent(&self, model: &model::Id, now: Moment) -> f64 {
        self.work.get(model).map_or(0.0, |demand| demand.recent.value(RECENT_TIME_CONSTANT, now))
    }

    /// Whether a request waits for a model.
    pub(super) fn is_waited_for(&self, model: &model::Id, now: Moment) -> bool {
        self.waits.get(model).is_some_and(|at| now < *at + WAIT_VALIDITY)
    }

    /// When an adapter was last asked for.
    pub(super) fn last_arrival(&self, adapter_key: &AdapterKey) -> Option<Moment> {
        self.adapters.get(adapter_key).map(|entry| entry.last_arrival)
    }
}
