//! Figures of a run, as JSON and as tables.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use tabled::{Table, Tabled, settings::Style};
use types::prelude::*;

use crate::{
    Faults, Flags, Way,
    demand::Demand,
    deployment::{Deployment, Sizes},
    load::{End, Outcome},
};

/// Figures of one run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figures {
    pub(crate) deployment: Deployment,
    pub(crate) demand: Demand,
    pub(crate) faults: Faults,
    pub(crate) way: Way,
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    /// Share of requests that met their target.
    pub(crate) attainment: f64,
    /// The same for each accelerator.
    pub(crate) attainment_per_accelerator: f64,
    /// Loads and unloads, as the engines counted them.
    pub(crate) moves: u64,
    pub(crate) services: BTreeMap<service::Id, Service>,
    pub(crate) refusals: BTreeMap<String, usize>,
    pub(crate) failures: BTreeMap<String, usize>,
    /// Requests and those that met their target, in each second of the run.
    pub(crate) seconds: Vec<Second>,
}

/// Figures of one service.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Service {
    pub(crate) requests: usize,
    pub(crate) attainment: f64,
    pub(crate) first_token_p50_ms: u64,
    pub(crate) first_token_p95_ms: u64,
    pub(crate) first_token_p99_ms: u64,
}

/// Figures of one second.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Second {
    pub(crate) requests: usize,
    pub(crate) met: usize,
}

impl Figures {
    pub(crate) fn new(
        flags: &Flags,
        way: Way,
        seed: u64,
        sizes: &Sizes,
        outcomes: Vec<Outcome>,
        moves: u64,
    ) -> Figures {
        let met = outcomes.iter().filter(|outcome| is_met(sizes, outcome)).count();
        let attainment = share(met, outcomes.len());
        let mut refusals = BTreeMap::new();
        let mut failures = BTreeMap::new();
        let mut seconds = vec![Second::default(); flags.seconds as usize];
        for outcome in &outcomes {
            match &outcome.end {
                End::Answered { .. } => {}
                End::Refused(cause) => *refusals.entry(cause.clone()).or_default() += 1,
                End::Failed(cause) => *failures.entry(cause.clone()).or_default() += 1,
            }
            if let Some(second) = seconds.get_mut(outcome.arrival.at.as_secs() as usize) {
                second.requests += 1;
                second.met += usize::from(is_met(sizes, outcome));
            }
        }
        Figures {
            deployment: flags.deployment,
            demand: flags.demand,
            faults: flags.faults,
            way,
            seed,
            requests: outcomes.len(),
            attainment,
            attainment_per_accelerator: attainment / sizes.engines as f64,
            moves,
            services: services(sizes, &outcomes),
            refusals,
            failures,
            seconds,
        }
    }
}

fn services(sizes: &Sizes, outcomes: &[Outcome]) -> BTreeMap<service::Id, Service> {
    let mut grouped: BTreeMap<service::Id, Vec<&Outcome>> = BTreeMap::new();
    for outcome in outcomes {
        if let Some((id, _)) = sizes.service(&outcome.arrival.model) {
            grouped.entry(id.clone()).or_default().push(outcome);
        }
    }
    let services = grouped.into_iter().map(|(id, outcomes)| {
        let met = outcomes.iter().filter(|outcome| is_met(sizes, outcome)).count();
        let firsts = firsts(&outcomes);
        let service = Service {
            requests: outcomes.len(),
            attainment: share(met, outcomes.len()),
            first_token_p50_ms: firsts.value_at_quantile(0.5),
            first_token_p95_ms: firsts.value_at_quantile(0.95),
            first_token_p99_ms: firsts.value_at_quantile(0.99),
        };
        (id, service)
    });
    services.collect()
}

/// First-token times of the answered, in milliseconds.
fn firsts(outcomes: &[&Outcome]) -> Histogram<u64> {
    const LARGEST_MS: u64 = 60_000;
    const DIGITS: u8 = 3;
    let mut histogram =
        Histogram::new_with_max(LARGEST_MS, DIGITS).expect("the bounds are constants in range");
    for outcome in outcomes {
        if let End::Answered { first, .. } = outcome.end {
            histogram.saturating_record(first.as_millis() as u64);
        }
    }
    histogram
}

fn is_met(sizes: &Sizes, outcome: &Outcome) -> bool {
    let target = sizes.service(&outcome.arrival.model).map(|(_, service)| service.target);
    match (&outcome.end, target) {
        (End::Answered { first, between }, Some(target)) => {
            *first <= target.first_token && *between <= target.between_tokens
        }
        _ => false,
    }
}

fn share(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

#[derive(Tabled)]
struct Row {
    way: String,
    seed: u64,
    requests: usize,
    attainment: String,
    #[tabled(rename = "per accelerator")]
    per_accelerator: String,
    moves: u64,
    #[tabled(rename = "service: attainment, first token p50/p95/p99 ms")]
    services: String,
    refused: String,
    failed: String,
}

/// One line for each run.
pub(crate) fn table(all: &[Figures]) -> String {
    let rows = all.iter().map(|figures| Row {
        way: name(figures.way),
        seed: figures.seed,
        requests: figures.requests,
        attainment: percent(figures.attainment),
        per_accelerator: percent(figures.attainment_per_accelerator),
        moves: figures.moves,
        services: figures.services.iter().map(|(id, service)| line(id, service)).collect(),
        refused: causes(&figures.refusals),
        failed: causes(&figures.failures),
    });
    Table::new(rows).with(Style::markdown()).to_string()
}

fn line(id: &str, service: &Service) -> String {
    format!(
        "{id}: {}, {}/{}/{}; ",
        percent(service.attainment),
        service.first_token_p50_ms,
        service.first_token_p95_ms,
        service.first_token_p99_ms
    )
}

fn causes(causes: &BTreeMap<String, usize>) -> String {
    causes.iter().map(|(cause, count)| format!("{cause}: {count}; ")).collect()
}

#[derive(Tabled)]
struct Median {
    way: String,
    runs: usize,
    #[tabled(rename = "attainment per accelerator: median (range)")]
    attainment: String,
    #[tabled(rename = "moves: median (range)")]
    moves: String,
}

/// Medians, the lower of two, and ranges over the seeds.
pub(crate) fn summary(all: &[Figures]) -> String {
    let ways = [Way::Ours, Way::Hosts, Way::Static, Way::LastMinute];
    let rows = ways.into_iter().filter_map(|way| {
        let runs: Vec<&Figures> = all.iter().filter(|figures| figures.way == way).collect();
        let mut attainments: Vec<f64> =
            runs.iter().map(|figures| figures.attainment_per_accelerator).collect();
        attainments.sort_by(f64::total_cmp);
        let mut moves: Vec<u64> = runs.iter().map(|figures| figures.moves).collect();
        moves.sort_unstable();
        let middle = runs.len().saturating_sub(1) / 2;
        Some(Median {
            way: name(way),
            runs: runs.len(),
            attainment: format!(
                "{} ({} to {})",
                percent(*attainments.get(middle)?),
                percent(*attainments.first()?),
                percent(*attainments.last()?)
            ),
            moves: format!("{} ({} to {})", moves.get(middle)?, moves.first()?, moves.last()?),
        })
    });
    Table::new(rows).with(Style::markdown()).to_string()
}

fn name(way: Way) -> String {
    match way {
        Way::Ours => "ours",
        Way::Hosts => "hosts",
        Way::Static => "static",
        Way::LastMinute => "last-minute",
    }
    .to_owned()
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}
