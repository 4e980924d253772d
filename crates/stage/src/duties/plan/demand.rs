//! Demand for each model, as input of the planner.
//!
//! The planning host counts its own requests in flight and assumes the same number on every other
//! host, since the platform's balancer spreads callers evenly. This needs no messages. With few
//! requests per host the estimate is rough, so the forecast gets averages over several rounds.

use std::collections::BTreeMap;

use policy::plan::forecast::Forecast;
use types::{host::ListState, prelude::*};

use super::Duty;

/// Number of rounds averaged into one observation of the forecast.
const ROUNDS_PER_OBSERVATION: u32 = 5;

/// Requests in flight summed over the rounds since the last observation.
#[derive(Debug, Default)]
pub(super) struct Samples {
    forecast: Forecast,
    in_flight: BTreeMap<model::Id, u32>,
    rounds: u32,
}

impl Duty {
    /// Adds a sample, and updates the planner's demand after enough rounds.
    pub(super) fn update_demand(&mut self) {
        for (model, requests) in self.context.traffic.in_flight_by_model() {
            *self.samples.in_flight.entry(model).or_default() += requests;
        }
        self.samples.rounds += 1;
        if self.samples.rounds < ROUNDS_PER_OBSERVATION {
            return;
        }
        let hosts = self.live_hosts();
        let config = self.context.config();
        let in_flight = std::mem::take(&mut self.samples.in_flight);
        let rounds = f64::from(std::mem::take(&mut self.samples.rounds));
        let work = in_flight.iter().filter_map(|(id, requests)| {
            let slots = self.slots(&config.config.models.get(id)?.group)?;
            Some((id.clone(), f64::from(*requests) / rounds * hosts / slots))
        });
        let work = work.collect();
        self.samples.forecast.retain(&config.config);
        for (id, demand) in self.samples.forecast.observe(&work) {
            self.planner.set_demand(&id, demand);
        }
    }

    fn live_hosts(&self) -> f64 {
        let list = self.context.fleet.list();
        let live = list.hosts.iter().filter(|entry| entry.state == ListState::Live);
        live.count().max(1) as f64
    }

    /// Mean number of requests that an engine of a group can run concurrently; `None` if no engine
    /// of the group has reported.
    fn slots(&self, group: &backend::Group) -> Option<f64> {
        let engines = self.engines().into_iter().filter(|entry| entry.server.group == *group);
        let slots: Vec<f64> = engines
            .filter_map(|entry| self.context.fleet.reading(&entry.server.id))
            .map(|reading| f64::from(reading.load.slots.max(1)))
            .collect();
        (!slots.is_empty()).then(|| slots.iter().sum::<f64>() / slots.len() as f64)
    }
}
