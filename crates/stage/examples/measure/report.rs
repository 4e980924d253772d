//! Results of runs, as JSON and as tables.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;
use tabled::{Table, Tabled, settings::Style};
use types::prelude::*;

use crate::{
    Faults, Flags, Strategy,
    demand::Demand,
    deployment::{Deployment, Sizes},
    load::{End, Outcome},
};

/// Results of one run, as printed with `--json`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) deployment: Deployment,
    pub(crate) demand: Demand,
    pub(crate) faults: Faults,
    #[serde(rename = "way")]
    pub(crate) strategy: Strategy,
    pub(crate) seed: u64,
    pub(crate) requests: usize,
    /// Share of requests that were answered within their target.
    pub(crate) attainment: f64,
    /// Attainment divided by the number of engines.
    pub(crate) attainment_per_accelerator: f64,
    /// Loads and unloads of models, counted by the engines.
    pub(crate) moves: u64,
    pub(crate) services: BTreeMap<service::Id, Service>,
    pub(crate) refusals: BTreeMap<String, usize>,
    pub(crate) failures: BTreeMap<String, usize>,
    /// Results by second of arrival.
    pub(crate) seconds: Vec<Second>,
}

/// Results of one service; the times cover answered requests only.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Service {
    pub(crate) requests: usize,
    pub(crate) attainment: f64,
    pub(crate) first_token_p50_ms: u64,
    pub(crate) first_token_p95_ms: u64,
    pub(crate) first_token_p99_ms: u64,
}

/// Number of requests that arrived in one second, and of those that met their target.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Second {
    pub(crate) requests: usize,
    pub(crate) met: usize,
}

impl Report {
    pub(crate) fn new(
        flags: &Flags,
        strategy: Strategy,
        seed: u64,
        sizes: &Sizes,
        outcomes: Vec<Outcome>,
        moves: u64,
    ) -> Report {
        let met = outcomes.iter().filter(|outcome| meets_target(sizes, outcome)).count();
        let attainment = ratio(met, outcomes.len());
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
                second.met += usize::from(meets_target(sizes, outcome));
            }
        }
        Report {
            deployment: flags.deployment,
            demand: flags.demand,
            faults: flags.faults,
            strategy,
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
        let met = outcomes.iter().filter(|outcome| meets_target(sizes, outcome)).count();
        let first_token_times = first_token_times(&outcomes);
        let service = Service {
            requests: outcomes.len(),
            attainment: ratio(met, outcomes.len()),
            first_token_p50_ms: first_token_times.value_at_quantile(0.5),
            first_token_p95_ms: first_token_times.value_at_quantile(0.95),
            first_token_p99_ms: first_token_times.value_at_quantile(0.99),
        };
        (id, service)
    });
    services.collect()
}

/// Times to the first token of answered requests, in milliseconds.
fn first_token_times(outcomes: &[&Outcome]) -> Histogram<u64> {
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

fn meets_target(sizes: &Sizes, outcome: &Outcome) -> bool {
    let target = sizes.service(&outcome.arrival.model).map(|(_, service)| service.target);
    match (&outcome.end, target) {
        (End::Answered { first, between }, Some(target)) => {
            *first <= target.first_token && *between <= target.between_tokens
        }
        _ => false,
    }
}

fn ratio(count: usize, total: usize) -> f64 {
    count as f64 / total.max(1) as f64
}

#[derive(Tabled)]
struct Row {
    #[tabled(rename = "way")]
    strategy: String,
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

/// Table with a row for each run.
pub(crate) fn table(reports: &[Report]) -> String {
    let rows = reports.iter().map(|report| Row {
        strategy: name(report.strategy),
        seed: report.seed,
        requests: report.requests,
        attainment: percent(report.attainment),
        per_accelerator: percent(report.attainment_per_accelerator),
        moves: report.moves,
        services: report.services.iter().map(|(id, service)| service_cell(id, service)).collect(),
        refused: format_causes(&report.refusals),
        failed: format_causes(&report.failures),
    });
    Table::new(rows).with(Style::markdown()).to_string()
}

fn service_cell(id: &str, service: &Service) -> String {
    format!(
        "{id}: {}, {}/{}/{}; ",
        percent(service.attainment),
        service.first_token_p50_ms,
        service.first_token_p95_ms,
        service.first_token_p99_ms
    )
}

fn format_causes(causes: &BTreeMap<String, usize>) -> String {
    causes.iter().map(|(cause, count)| format!("{cause}: {count}; ")).collect()
}

#[derive(Tabled)]
struct Median {
    #[tabled(rename = "way")]
    strategy: String,
    runs: usize,
    #[tabled(rename = "attainment per accelerator: median (range)")]
    attainment: String,
    #[tabled(rename = "moves: median (range)")]
    moves: String,
}

/// Table with the median and range over the seeds for each strategy; the median of an even number
/// of runs is the lower of the middle two.
pub(crate) fn summary(reports: &[Report]) -> String {
    let strategies = [Strategy::Ours, Strategy::Hosts, Strategy::Static, Strategy::LastMinute];
    let rows = strategies.into_iter().filter_map(|strategy| {
        let runs: Vec<&Report> =
            reports.iter().filter(|report| report.strategy == strategy).collect();
        let mut attainments: Vec<f64> =
            runs.iter().map(|report| report.attainment_per_accelerator).collect();
        attainments.sort_by(f64::total_cmp);
        let mut moves: Vec<u64> = runs.iter().map(|report| report.moves).collect();
        moves.sort_unstable();
        let middle = runs.len().saturating_sub(1) / 2;
        Some(Median {
            strategy: name(strategy),
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

fn name(strategy: Strategy) -> String {
    match strategy {
        Strategy::Ours => "ours",
        Strategy::Hosts => "hosts",
        Strategy::Static => "static",
        Strategy::LastMinute => "last-minute",
    }
    .to_owned()
}

fn percent(ratio: f64) -> String {
    format!("{:.2}%", ratio * 100.0)
}
