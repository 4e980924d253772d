//! Distribution of each model's load over its replicas.
//!
//! Routing sends a request to the replica with the shortest wait, so a model's load is distributed
//! by water-filling: the least utilized engines first, until all engines in use are level. A few
//! sweeps over all models come close to the joint balance. [`missed_work`] turns an engine's
//! utilization into work that misses its target; it is convex, so evening out the load never looks
//! worse.

use std::collections::BTreeMap;

use types::prelude::*;

use super::{planner::Declared, working_state::WorkingState};

/// Utilization above which some work misses its target.
pub(super) const MISS_THRESHOLD: f64 = 0.6;

/// Number of sweeps over all models.
const SWEEPS: usize = 3;

/// Each model's load on each of its engines, in engines' worth.
pub(super) type Shares = BTreeMap<model::Id, Vec<(backend::Id, f64)>>;

/// Returns the work that misses its target on an engine, in engines' worth.
pub(super) fn missed_work(utilization: f64) -> f64 {
    let over = (utilization - MISS_THRESHOLD).max(0.0);
    let full = 1.0 - MISS_THRESHOLD;
    if over < full { over * over / (2.0 * full) } else { over - full / 2.0 }
}

/// Returns each engine's share when a load is distributed over engines of these utilizations.
pub(super) fn water_fill(utilizations: &[f64], load: f64) -> Vec<f64> {
    let mut order: Vec<f64> = utilizations.to_vec();
    order.sort_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut level = 0.0;
    for (count, utilization) in order.iter().enumerate() {
        sum += utilization;
        level = (sum + load) / (count + 1) as f64;
        if order.get(count + 1).is_none_or(|next| level <= *next) {
            break;
        }
    }
    utilizations.iter().map(|utilization| (level - utilization).max(0.0)).collect()
}

/// Sets each engine's utilization, and returns the shares that it results from.
pub(super) fn balance(
    models: &BTreeMap<model::Id, Declared>,
    working: &mut WorkingState,
) -> Shares {
    let servers: Vec<backend::Id> = working.engines.keys().cloned().collect();
    let index: BTreeMap<&backend::Id, usize> =
        servers.iter().enumerate().map(|(index, server)| (server, index)).collect();
    let mut utilizations = vec![0.0; servers.len()];
    let mut loads: Vec<(&model::Id, f64, Vec<usize>, Vec<f64>)> = models
        .iter()
        .filter(|(_, declared)| 0.0 < declared.load)
        .map(|(id, declared)| {
            let at: Vec<usize> =
                replicas(working, id).filter_map(|s| index.get(s).copied()).collect();
            let shares = vec![0.0; at.len()];
            (id, declared.load, at, shares)
        })
        .collect();
    for _ in 0..SWEEPS {
        for (_, load, at, shares) in &mut loads {
            let others: Vec<f64> =
                at.iter().zip(shares.iter()).map(|(i, share)| utilizations[*i] - share).collect();
            *shares = water_fill(&others, *load);
            for ((i, other), share) in at.iter().zip(&others).zip(shares.iter()) {
                utilizations[*i] = other + share;
            }
        }
    }
    for (engine, utilization) in working.engines.values_mut().zip(&utilizations) {
        engine.utilization = *utilization;
    }
    loads
        .into_iter()
        .map(|(id, _, at, shares)| {
            let shares = at.into_iter().zip(shares);
            (id.clone(), shares.map(|(i, share)| (servers[i].clone(), share)).collect())
        })
        .collect()
}

/// Returns the live engines that hold a model, ready or loading.
fn replicas<'a>(
    working: &'a WorkingState,
    id: &'a model::Id,
) -> impl Iterator<Item = &'a backend::Id> {
    let holders = working.holders(id);
    holders
        .filter(|(engine, bundle)| engine.is_live() && bundle.bases().next().is_some())
        .map(|(engine, _)| &engine.reported.server)
}
