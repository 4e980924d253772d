//! Sizes of the two simulated deployments.

use std::{collections::BTreeMap, time::Duration};

use clap::ValueEnum;
use policy::plan::Limits;
use serde::Serialize;
use types::{
    adapter::Adapter,
    customer::Customer,
    model::Model,
    prelude::*,
    service::{Offer, Service},
};

/// Deployment whose sizes a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Deployment {
    /// Magnolia Coast: 9 engines, 14 models, 40 adapters; attainment weighs more.
    GulfSouth,
    /// Buzón Claro: 12 engines, 20 models, 63 adapters; moves weigh more.
    CoAntioquia,
}

/// Engines, limits and configuration of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Sizes {
    pub(crate) zones: [&'static str; 4],
    pub(crate) group: &'static str,
    pub(crate) engines: usize,
    /// Memory of one engine, in MiB.
    pub(crate) capacity: Mebibytes,
    pub(crate) slots: u32,
    pub(crate) step: Duration,
    pub(crate) load_time: Duration,
    pub(crate) limits: Limits,
    pub(crate) config: config::Config,
}

/// Mean number of tokens in an answer.
pub(crate) const TOKENS: u32 = 24;

const CAPACITY: Mebibytes = 80_000;
const ADAPTER_MEMORY: Mebibytes = 200;

impl Deployment {
    pub(crate) fn sizes(self) -> Sizes {
        match self {
            Deployment::GulfSouth => Sizes {
                zones: ["mobile-hall", "biloxi-hall", "gulfport-hall", "pensacola-hall"],
                group: "portal-lm",
                engines: 9,
                capacity: CAPACITY,
                slots: 4,
                step: Duration::from_millis(12),
                load_time: Duration::from_secs(2),
                limits: Limits { loads_per_second: 2.0, max_concurrent_loads: 3 },
                config: config(
                    config::Weights { attainment: 3.0, moves: 1.0 },
                    "portal-lm",
                    ["guests", "staff"],
                    ModelCounts { models: 14, adapters: 40, memory: [12_000, 16_000, 20_000] },
                ),
            },
            Deployment::CoAntioquia => Sizes {
                zones: ["med-a", "med-b", "rionegro-a", "envigado-a"],
                group: "lector",
                engines: 12,
                capacity: CAPACITY,
                slots: 4,
                step: Duration::from_millis(15),
                load_time: Duration::from_secs(2),
                limits: Limits { loads_per_second: 2.0, max_concurrent_loads: 2 },
                config: config(
                    config::Weights { attainment: 1.0, moves: 3.0 },
                    "lector",
                    ["deadlines", "letters"],
                    ModelCounts { models: 20, adapters: 63, memory: [18_000, 22_000, 25_000] },
                ),
            },
        }
    }
}

struct ModelCounts {
    models: usize,
    adapters: usize,
    memory: [Mebibytes; 3],
}

/// Offers every other model by the urgent service, and the rest by the service of normal priority.
fn config(
    weights: config::Weights,
    group: &str,
    [urgent, normal]: [&str; 2],
    counts: ModelCounts,
) -> config::Config {
    let ids: Vec<model::Id> = (0..counts.models).map(|n| format!("model-{n:02}").into()).collect();
    let models = ids.iter().enumerate().map(|(n, id)| {
        let adapters = (0..counts.adapters).filter(|a| a % counts.models == n).map(|a| {
            (
                format!("adapter-{a:02}").into(),
                Adapter { memory: ADAPTER_MEMORY, version: "v1".into() },
            )
        });
        let model = Model {
            group: group.into(),
            version: "v1".into(),
            memory: counts.memory[n % counts.memory.len()],
            kv: 0,
            replicas: 1,
            adapters: adapters.collect(),
        };
        (id.clone(), model)
    });
    let offered = |remainder: usize| {
        let ids = ids.iter().enumerate().filter(|(n, _)| n % 2 == remainder);
        Offer::Models(ids.map(|(_, id)| id.clone()).collect())
    };
    let service = |offer, priority, first_token, between_tokens| Service {
        customer: "owner".into(),
        offer,
        priority,
        target: Target {
            first_token: Duration::from_millis(first_token),
            between_tokens: Duration::from_millis(between_tokens),
        },
        non_idempotent: Vec::new(),
        share: 1,
    };
    let services = [
        (urgent.into(), service(offered(0), Priority::Urgent, 1_000, 74)),
        (normal.into(), service(offered(1), Priority::Normal, 4_000, 200)),
    ];
    config::Config {
        weights,
        customers: BTreeMap::from([("owner".into(), Customer { share: 1 })]),
        models: models.collect(),
        services: services.into(),
    }
}

impl Sizes {
    /// Requests per second that an engine with all slots in use serves.
    pub(crate) fn engine_rate(&self) -> f64 {
        f64::from(self.slots) / (self.step.as_secs_f64() * f64::from(TOKENS))
    }

    /// Finds the first service that offers a model.
    pub(crate) fn service(&self, model: &model::Id) -> Option<(&service::Id, &Service)> {
        self.config.services.iter().find(|(_, service)| match &service.offer {
            Offer::Models(models) => models.contains(model),
            Offer::Plain(_) => false,
        })
    }
}
