//! Expected utilization of servers when routing evens out the work over each model's replicas.
//!
//! Routing sends a request to the replica with the shortest wait. Each model's work is therefore
//! distributed by water-filling, the least utilized server first, in a few sweeps over all models. A
//! slow server is as a narrow column: the same work raises its utilization more.

/// Number of sweeps after which the result hardly changes.
const SWEEPS: usize = 4;

/// Number of sweeps over the affected models when replicas change.
const REBALANCE_SWEEPS: usize = 2;

/// Utilization up to which no work is late.
const LATE_ABOVE: f64 = 0.05;

/// Work per second that is late on a fully utilized server, in servers' worth.
const LATE_WORK_AT_FULL: f64 = 0.45;

/// Weight of the work of a model without replicas: it is lost, and its callers try again.
const LOST_WORK_WEIGHT: f64 = 2.0;

/// Distribution of work over servers.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadBalance {
    /// Utilization of each server; 1.0 is fully utilized.
    pub(super) utilization: Vec<f64>,
    /// Work that each server can do, in servers of median speed.
    capacities: Vec<f64>,
    /// Per model: the utilization of each of its servers by its work.
    shares: Vec<Vec<f64>>,
    /// Per server: the models with work that stand there and elsewhere, in ascending order.
    shared: Vec<Vec<usize>>,
}

impl LoadBalance {
    /// Distributes each model's work over its replicas, given each server's utilization without any
    /// work and its capacity.
    pub(super) fn new(
        work: &[f64],
        replicas: &[Vec<usize>],
        base: Vec<f64>,
        capacities: Vec<f64>,
    ) -> LoadBalance {
        let mut utilization = base;
        let mut shares: Vec<Vec<f64>> =
            replicas.iter().map(|holders| vec![0.0; holders.len()]).collect();
        for _ in 0..SWEEPS {
            for ((&amount, holders), share) in work.iter().zip(replicas).zip(&mut shares) {
                if 0.0 < amount {
                    water_fill(amount, holders, share, &mut utilization, &capacities);
                }
            }
        }
        let mut shared = vec![Vec::new(); utilization.len()];
        for (model, holders) in replicas.iter().enumerate() {
            if 1 < holders.len() && 0.0 < work[model] {
                holders.iter().for_each(|&server| shared[server].push(model));
            }
        }
        LoadBalance { utilization, capacities, shares, shared }
    }

    /// Returns by how much the late and lost work falls if the models in `moves` had the replicas
    /// given there instead. Work of other models is redistributed only if they share a server with
    /// one of these.
    pub(super) fn loss_reduction(
        &self,
        work: &[f64],
        replicas: &[Vec<usize>],
        moves: &[(usize, Vec<usize>)],
    ) -> f64 {
        let mut utilization = self.utilization.clone();
        let mut reduction = 0.0;
        let mut affected: Vec<usize> = Vec::new();
        let mut distributions: Vec<Distribution> = Vec::new();
        for (model, holders) in moves {
            let lifted = replicas[*model].iter().zip(&self.shares[*model]);
            lifted.for_each(|(&server, share)| utilization[server] -= share);
            reduction +=
                if replicas[*model].is_empty() { work[*model] * LOST_WORK_WEIGHT } else { 0.0 };
            affected.extend(holders.iter().chain(&replicas[*model]));
            distributions.push(Distribution {
                amount: work[*model],
                holders,
                share: vec![0.0; holders.len()],
            });
        }
        let is_moved = |model: &usize| moves.iter().any(|(moved, _)| moved == model);
        let neighbors = affected.iter().flat_map(|&server| &self.shared[server]).copied();
        let mut neighbors: Vec<usize> = neighbors.filter(|model| !is_moved(model)).collect();
        neighbors.sort_unstable();
        neighbors.dedup();
        distributions.extend(neighbors.into_iter().map(|model| Distribution {
            amount: work[model],
            holders: &replicas[model],
            share: self.shares[model].clone(),
        }));
        for _ in 0..REBALANCE_SWEEPS {
            for Distribution { amount, holders, share } in &mut distributions {
                water_fill(*amount, holders, share, &mut utilization, &self.capacities);
            }
        }
        reduction + self.late_work_reduction(&utilization)
    }

    /// Returns by how much the late work of all servers falls at these utilizations, in servers of
    /// median speed.
    fn late_work_reduction(&self, utilization: &[f64]) -> f64 {
        let servers = self.utilization.iter().zip(utilization).zip(&self.capacities);
        let changed = servers.filter(|((before, after), _)| before != after);
        changed
            .map(|((before, after), capacity)| (late_work(*before) - late_work(*after)) * capacity)
            .sum()
    }
}

/// A model's work and its distribution over the model's servers.
struct Distribution<'a> {
    amount: f64,
    holders: &'a [usize],
    share: Vec<f64>,
}

/// Redistributes one model's work by water-filling.
fn water_fill(
    amount: f64,
    holders: &[usize],
    share: &mut [f64],
    utilization: &mut [f64],
    capacities: &[f64],
) {
    holders.iter().zip(&*share).for_each(|(&server, share)| utilization[server] -= share);
    let level = fill_level(
        amount,
        holders.iter().map(|&server| (utilization[server], capacities[server])).collect(),
    );
    for (&server, share) in holders.iter().zip(share) {
        *share = (level - utilization[server]).max(0.0);
        utilization[server] += *share;
    }
}

/// Returns the level to which `amount` fills columns of these heights and widths.
fn fill_level(amount: f64, mut base: Vec<(f64, f64)>) -> f64 {
    base.sort_unstable_by(|a, b| a.0.total_cmp(&b.0));
    let (mut sum, mut widths) = (0.0, 0.0);
    let mut level = 0.0;
    for (index, (height, width)) in base.iter().enumerate() {
        if 0 < index && level <= *height {
            break;
        }
        sum += height * width;
        widths += width;
        level = (amount + sum) / widths;
    }
    level
}

/// Returns the work per second that is late at a utilization; a convex function.
pub(super) fn late_work(utilization: f64) -> f64 {
    let over = (utilization.min(1.0) - LATE_ABOVE).max(0.0) / (1.0 - LATE_ABOVE);
    LATE_WORK_AT_FULL * over * over + (utilization - 1.0).max(0.0)
}
