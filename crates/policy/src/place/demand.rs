//! Recent demand for models and adapters.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::{Rules, Throughput, persistence::Persistence, rate::Rate};

/// An adapter and its model.
pub(super) type AdapterKey = (model::Id, adapter::Id);

/// Time constant of adapters' arrival rates. Adapters are requested less often than models, so it
/// is longer than that for models.
const ADAPTER_TIME_CONSTANT: Duration = Duration::from_secs(4);

/// How long after the last sign of a waiting request the wait counts as ongoing.
const WAIT_VALIDITY: Duration = Duration::from_millis(500);

/// Work of arrived requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Work {
    /// Number of requests.
    pub requests: u32,
    /// Sum of the prompts' tokens.
    pub prompt: u64,
    /// Sum of the output token limits.
    pub output: u64,
}

impl Work {
    /// Adds other work; sums saturate.
    #[must_use]
    pub fn plus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_add(other.requests),
            prompt: self.prompt.saturating_add(other.prompt),
            output: self.output.saturating_add(other.output),
        }
    }

    /// Subtracts other work; differences saturate at zero.
    #[must_use]
    pub fn minus(self, other: Work) -> Work {
        Work {
            requests: self.requests.saturating_sub(other.requests),
            prompt: self.prompt.saturating_sub(other.prompt),
            output: self.output.saturating_sub(other.output),
        }
    }

    /// Returns for how many seconds the work keeps one server fully utilized.
    fn seconds(self, throughput: &Throughput, slots: u32) -> f64 {
        let prefill = self.prompt as f64 / throughput.prompt_tokens_per_s;
        let decode = self.output as f64 * throughput.output_token_time.as_secs_f64();
        prefill + decode / f64::from(slots.max(1))
    }
}

/// Time after the first arrival from which models without requests count as idle.
const IDLE_KNOWN_AFTER: Duration = Duration::from_secs(3);

/// Time constant of the average that shows which models were busy recently.
const RECENT_TIME_CONSTANT: Duration = Duration::from_secs(15);

/// Arrival rates of a model.
#[derive(Clone, Copy, Debug, Default)]
struct ModelDemand {
    steady: Rate,
    fast: Rate,
    requests: Rate,
    recent: Rate,
    last_arrival: Moment,
}

impl ModelDemand {
    fn add(&mut self, rules: &Rules, seconds: f64, requests: u32, now: Moment) {
        self.steady.add(rules.demand_time_constant, seconds, now);
        self.fast.add(rules.rise_time_constant, seconds, now);
        self.requests.add(rules.rise_time_constant, f64::from(requests), now);
        self.recent.add(RECENT_TIME_CONSTANT, seconds, now);
        self.last_arrival = self.last_arrival.max(now);
    }

    /// Returns the lower and upper bound of the latest rate, allowing for random variation of the
    /// arrivals.
    fn recent_bounds(&self, rules: &Rules, now: Moment) -> (f64, f64) {
        let fast = self.fast.value(rules.rise_time_constant, now);
        let count = self.requests.value(rules.rise_time_constant, now)
            * rules.rise_time_constant.as_secs_f64();
        let spread = 1.0 / (1.0 + count).sqrt();
        (fast * (1.0 - spread), fast * (1.0 + 2.0 * spread))
    }
}

/// Arrivals and waiting requests of an adapter.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdapterDemand {
    rate: Rate,
    /// Time of the last request or wait.
    pub(super) last_arrival: Moment,
    wait: Option<Wait>,
}

/// A period in which requests were waiting without a gap.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Moment,
    last: Moment,
}

impl AdapterDemand {
    /// Returns the arrival rate, in requests per second.
    pub(super) fn rate(&self, now: Moment) -> f64 {
        self.rate.value(ADAPTER_TIME_CONSTANT, now)
    }

    /// Returns for how long requests have been seen waiting; zero if none is waiting now.
    pub(super) fn waited(&self, now: Moment) -> Duration {
        let wait = self.wait.filter(|wait| now < wait.last + WAIT_VALIDITY);
        wait.map_or(Duration::ZERO, |wait| wait.last.saturating_sub(wait.since))
    }

    /// Returns since when requests have been waiting; `None` if none is waiting now.
    pub(super) fn waiting_since(&self, now: Moment) -> Option<Moment> {
        self.wait.filter(|wait| now < wait.last + WAIT_VALIDITY).map(|wait| wait.since)
    }
}

/// Demand for all models and adapters.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// When this host began to receive demand.
    since: Moment,
    /// Time of the first arrival, but not before `since`.
    first_arrival: Option<Moment>,
    persistence: Persistence,
    /// Rates of work and requests, summed over all models.
    seconds: Rate,
    requests: Rate,
    work: BTreeMap<model::Id, ModelDemand>,
    waits: BTreeMap<model::Id, Moment>,
    pub(super) adapters: BTreeMap<AdapterKey, AdapterDemand>,
}

impl Demand {
    /// Creates an empty demand that is recorded from `now` on.
    pub(super) fn new(now: Moment) -> Demand {
        Demand { since: now, ..Demand::default() }
    }

    /// Records arrivals for a model whose servers run `slots` requests at once. `at` may be some
    /// seconds ago.
    pub(super) fn record_arrivals(
        &mut self,
        rules: &Rules,
        slots: u32,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        work: Work,
        at: Moment,
    ) {
        // Arrivals before the lease term are only partly known.
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

    /// Returns for how many seconds the mean recent request keeps one server fully utilized; 0
    /// without requests.
    pub(super) fn mean_request_s(&self, now: Moment) -> f64 {
        let requests = self.requests.value(RECENT_TIME_CONSTANT, now);
        if requests == 0.0 { 0.0 } else { self.seconds.value(RECENT_TIME_CONSTANT, now) / requests }
    }

    /// Records that a request is waiting now. Returns whether none was before.
    pub(super) fn record_waiting(
        &mut self,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        now: Moment,
    ) -> bool {
        let Some(adapter) = adapter else {
            let was_waited_for = self.is_waited_for(model, now);
            self.waits.insert(model.clone(), now);
            return !was_waited_for;
        };
        let entry = self.adapters.entry((model.clone(), adapter.clone())).or_default();
        let before = entry.waiting_since(now);
        entry.wait = Some(Wait { since: before.unwrap_or(now), last: now });
        entry.last_arrival = entry.last_arrival.max(now);
        before.is_none()
    }

    /// Returns how long demand stays with a model, in seconds.
    pub(super) fn persistence_s(&self) -> f64 {
        self.persistence.mean_s()
    }

    /// Whether demand has been observed for long enough to know which models are idle.
    pub(super) fn is_established(&self, now: Moment) -> bool {
        self.first_arrival.is_some_and(|first_arrival| first_arrival + IDLE_KNOWN_AFTER <= now)
    }

    /// Returns a model's work, in fully utilized servers: the steady rate, or the latest rate if
    /// that is higher by more than random variation.
    pub(super) fn work(&self, rules: &Rules, model: &model::Id, now: Moment) -> f64 {
        let work = |demand: &ModelDemand| {
            demand
                .steady
                .value(rules.demand_time_constant, now)
                .max(demand.recent_bounds(rules, now).0)
        };
        self.work.get(model).map_or(0.0, work)
    }

    /// Returns the work that a model still gets: the steady rate, or the latest rate if that is
    /// lower by more than random variation.
    pub(super) fn remaining_work(&self, rules: &Rules, model: &model::Id, now: Moment) -> f64 {
        let remaining = |demand: &ModelDemand| {
            demand
                .steady
                .value(rules.demand_time_constant, now)
                .min(demand.recent_bounds(rules, now).1)
        };
        self.work.get(model).map_or(0.0, remaining)
    }

    /// Returns a model's recent mean work, in fully utilized servers.
    pub(super) fn recent(&self, model: &model::Id, now: Moment) -> f64 {
        self.work.get(model).map_or(0.0, |demand| demand.recent.value(RECENT_TIME_CONSTANT, now))
    }

    /// Whether a request is waiting for a model.
    pub(super) fn is_waited_for(&self, model: &model::Id, now: Moment) -> bool {
        self.waits.get(model).is_some_and(|at| now < *at + WAIT_VALIDITY)
    }

    /// Returns when a model was last requested.
    pub(super) fn last_model_arrival(&self, model: &model::Id) -> Option<Moment> {
        self.work.get(model).map(|demand| demand.last_arrival)
    }

    /// Returns when an adapter was last requested.
    pub(super) fn last_arrival(&self, adapter_key: &AdapterKey) -> Option<Moment> {
        self.adapters.get(adapter_key).map(|entry| entry.last_arrival)
    }
}
