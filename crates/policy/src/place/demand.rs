//! What requests ask for, lately.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use types::prelude::*;

use super::{Pace, Rules, fade::Fade, rate::Rate};

/// An adapter of a model.
pub(super) type Unit = (model::Id, adapter::Id);

/// Time over which an adapter's arrivals are averaged: adapters are asked for less often.
const ADAPTER_MEMORY: Duration = Duration::from_secs(4);

/// How long a request that waits for something counts as waiting.
const WAIT: Duration = Duration::from_millis(500);

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
    fn seconds(self, pace: &Pace, slots: u32) -> f64 {
        let read = self.prompt as f64 / pace.prompt;
        let generate = self.output as f64 * pace.token.as_secs_f64();
        read + generate / f64::from(slots.max(1))
    }
}

/// Time after the first arrival from which what was not asked for counts as idle.
const KNOWN: Duration = Duration::from_secs(3);

/// Time over which earlier demand is remembered.
const EARLIER: Duration = Duration::from_secs(15);

/// Arrivals of a model.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    steady: Rate,
    fast: Rate,
    requests: Rate,
    earlier: Rate,
}

impl Flow {
    fn add(&mut self, rules: &Rules, seconds: f64, requests: u32, now: Moment) {
        self.steady.add(rules.memory, seconds, now);
        self.fast.add(rules.rise, seconds, now);
        self.requests.add(rules.rise, f64::from(requests), now);
        self.earlier.add(EARLIER, seconds, now);
    }

    /// Rate of what came last, with what chance may add and take.
    fn lately(&self, rules: &Rules, now: Moment) -> (f64, f64) {
        let fast = self.fast.value(rules.rise, now);
        let count = self.requests.value(rules.rise, now) * rules.rise.as_secs_f64();
        let spread = 1.0 / (1.0 + count).sqrt();
        (fast * (1.0 - spread), fast * (1.0 + 2.0 * spread))
    }
}

/// What an adapter is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Asked {
    rate: Rate,
    /// Last arrival.
    pub(super) last: Moment,
    waits: Option<Wait>,
}

/// Requests that wait, one after the other.
#[derive(Clone, Copy, Debug)]
struct Wait {
    since: Moment,
    last: Moment,
}

impl Asked {
    /// Requests a second.
    pub(super) fn rate(&self, now: Moment) -> f64 {
        self.rate.value(ADAPTER_MEMORY, now)
    }

    /// For how long requests were seen to wait for it, the last time just now.
    pub(super) fn waited(&self, now: Moment) -> Duration {
        let wait = self.waits.filter(|wait| now < wait.last + WAIT);
        wait.map_or(Duration::ZERO, |wait| wait.last.saturating_sub(wait.since))
    }

    /// Since when requests have waited for it; none if none does.
    pub(super) fn waits_since(&self, now: Moment) -> Option<Moment> {
        self.waits.filter(|wait| now < wait.last + WAIT).map(|wait| wait.since)
    }
}

/// Work by model and requests by adapter.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    /// When this host began to receive demand.
    since: Moment,
    /// When the first arrival was received.
    began: Option<Moment>,
    fade: Fade,
    /// Work and requests of all models.
    seconds: Rate,
    requests: Rate,
    work: BTreeMap<model::Id, Flow>,
    waits: BTreeMap<model::Id, Moment>,
    pub(super) adapters: BTreeMap<Unit, Asked>,
}

impl Demand {
    /// Creates an empty demand that is received from now on.
    pub(super) fn new(now: Moment) -> Demand {
        Demand { since: now, ..Demand::default() }
    }

    /// Counts arrivals for a model served with so many slots a server; `at` may be some seconds ago.
    pub(super) fn arrive(
        &mut self,
        rules: &Rules,
        slots: u32,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        work: Work,
        at: Moment,
    ) {
        // Arrivals before the term are known in part only.
        self.began.get_or_insert(at.max(self.since));
        let seconds = work.seconds(&rules.pace, slots);
        let flow = self.work.entry(model.clone()).or_default();
        flow.add(rules, seconds, work.requests, at);
        self.fade.add(model, seconds, at);
        self.seconds.add(EARLIER, seconds, at);
        self.requests.add(EARLIER, f64::from(work.requests), at);
        let Some(adapter) = adapter else { return };
        let asked = self.adapters.entry((model.clone(), adapter.clone())).or_default();
        asked.rate.add(ADAPTER_MEMORY, f64::from(work.requests), at);
        asked.last = asked.last.max(at);
    }

    /// Seconds for which a request keeps one server fully used, in the mean of the last ones; 0 without any.
    pub(super) fn cost(&self, now: Moment) -> f64 {
        let requests = self.requests.value(EARLIER, now);
        if requests == 0.0 { 0.0 } else { self.seconds.value(EARLIER, now) / requests }
    }

    /// Notes that a request waits.
    pub(super) fn wait(&mut self, model: &model::Id, adapter: Option<&adapter::Id>, now: Moment) {
        let Some(adapter) = adapter else {
            self.waits.insert(model.clone(), now);
            return;
        };
        let asked = self.adapters.entry((model.clone(), adapter.clone())).or_default();
        let since = asked.waits_since(now).unwrap_or(now);
        asked.waits = Some(Wait { since, last: now });
        asked.last = asked.last.max(now);
    }

    /// How long demand stays with its models, in seconds.
    pub(super) fn stay(&self) -> f64 {
        self.fade.stay()
    }

    /// Whether it has been watched for long enough to know what is idle.
    pub(super) fn is_known(&self, now: Moment) -> bool {
        self.began.is_some_and(|began| began + KNOWN <= now)
    }

    /// Work that a model gets, in servers kept fully used: the steady rate, or what came last if
    /// that is more by more than chance.
    pub(super) fn work(&self, rules: &Rules, model: &model::Id, now: Moment) -> f64 {
        let work =
            |flow: &Flow| flow.steady.value(rules.memory, now).max(flow.lately(rules, now).0);
        self.work.get(model).map_or(0.0, work)
    }

    /// Work that a model still gets: the steady rate, or what came last if that is less by more
    /// than chance.
    pub(super) fn rest(&self, rules: &Rules, model: &model::Id, now: Moment) -> f64 {
        let rest =
            |flow: &Flow| flow.steady.value(rules.memory, now).min(flow.lately(rules, now).1);
        self.work.get(model).map_or(0.0, rest)
    }

    /// Work that a model got lately in the mean.
    pub(super) fn earlier(&self, model: &model::Id, now: Moment) -> f64 {
        self.work.get(model).map_or(0.0, |flow| flow.earlier.value(EARLIER, now))
    }

    /// Whether a request waits for a model.
    pub(super) fn is_waited_for(&self, model: &model::Id, now: Moment) -> bool {
        self.waits.get(model).is_some_and(|at| now < *at + WAIT)
    }

    /// When an adapter was last asked for.
    pub(super) fn last(&self, unit: &Unit) -> Option<Moment> {
        self.adapters.get(unit).map(|asked| asked.last)
    }
}
