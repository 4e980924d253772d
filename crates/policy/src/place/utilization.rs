//! How hot servers get when routing levels the work over each model's replicas.
//!
//! Routing sends a request where it waits least, so each model's work is poured over its replicas
//! like water, the coolest first, in a few sweeps over all models.

/// Sweeps after which the levels hardly change.
const SWEEPS: usize = 4;

/// Rounds in which work is poured anew where models move.
const REBALANCE_SWEEPS: usize = 2;

/// Heat below which nothing is late.
const LATE_ABOVE: f64 = 0.05;

/// Part of the work that is late at a heat of one.
const LATE_WORK_AT_FULL: f64 = 0.45;

/// Work of a model that stands nowhere is lost, and its callers come back.
const LOST_WORK_WEIGHT: f64 = 2.0;

/// How work lies on servers.
#[derive(Clone, Debug, Default)]
pub(super) struct LoadBalance {
    /// Heat of each server.
    pub(super) utilization: Vec<f64>,
    /// For each model: what each of its servers carries of it.
    shares: Vec<Vec<f64>>,
}

impl LoadBalance {
    /// From each model's work, the servers that hold it, and the heat of each server without any work.
    pub(super) fn new(work: &[f64], replicas: &[Vec<usize>], base: Vec<f64>) -> LoadBalance {
        let mut utilization = base;
        let mut shares: Vec<Vec<f64>> =
            replicas.iter().map(|holders| vec![0.0; holders.len()]).collect();
        for _ in 0..SWEEPS {
            for ((&amount, holders), share) in work.iter().zip(replicas).zip(&mut shares) {
                if 0.0 < amount {
                    water_fill(amount, holders, share, &mut utilization);
                }
            }
        }
        LoadBalance { utilization, shares }
    }

    /// What comes off the loss when these models stand in these places instead. Of the other models
    /// those follow that share a server with one of them.
    pub(super) fn loss_reduction(
        &self,
        work: &[f64],
        replicas: &[Vec<usize>],
        moves: &[(usize, Vec<usize>)],
    ) -> f64 {
        let mut utilization = self.utilization.clone();
        let mut reduction: f64 = self.utilization.iter().copied().map(late_work).sum();
        let mut affected = vec![false; utilization.len()];
        let mut filled: Vec<Filled> = Vec::new();
        for (model, holders) in moves {
            let lifted = replicas[*model].iter().zip(&self.shares[*model]);
            lifted.for_each(|(&server, share)| utilization[server] -= share);
            reduction +=
                if replicas[*model].is_empty() { work[*model] * LOST_WORK_WEIGHT } else { 0.0 };
            holders.iter().chain(&replicas[*model]).for_each(|&server| affected[server] = true);
            filled.push(Filled { amount: work[*model], holders, share: vec![0.0; holders.len()] });
        }
        for (model, holders) in replicas.iter().enumerate().filter(|(_, holders)| 1 < holders.len())
        {
            let moved = moves.iter().any(|(moved, _)| *moved == model);
            if !moved && holders.iter().any(|&server| affected[server]) && 0.0 < work[model] {
                let share = self.shares[model].clone();
                filled.push(Filled { amount: work[model], holders, share });
            }
        }
        for _ in 0..REBALANCE_SWEEPS {
            for Filled { amount, holders, share } in &mut filled {
                water_fill(*amount, holders, share, &mut utilization);
            }
        }
        reduction - utilization.into_iter().map(late_work).sum::<f64>()
    }
}

/// A model's work on its servers.
struct Filled<'a> {
    amount: f64,
    holders: &'a [usize],
    share: Vec<f64>,
}

/// Pours one model's work anew.
fn water_fill(amount: f64, holders: &[usize], share: &mut [f64], utilization: &mut [f64]) {
    holders.iter().zip(&*share).for_each(|(&server, share)| utilization[server] -= share);
    let level = fill_level(amount, holders.iter().map(|&server| utilization[server]).collect());
    for (&server, share) in holders.iter().zip(share) {
        *share = (level - utilization[server]).max(0.0);
        utilization[server] += *share;
    }
}

/// Level to which an amount fills grounds of these heights.
fn fill_level(amount: f64, mut base: Vec<f64>) -> f64 {
    base.sort_unstable_by(f64::total_cmp);
    let mut sum = 0.0;
    let mut level = 0.0;
    for (index, height) in base.iter().enumerate() {
        if 0 < index && level <= *height {
            break;
        }
        sum += height;
        level = (amount + sum) / (index + 1) as f64;
    }
    level
}

/// Work a second that is late at a server; convex.
pub(super) fn late_work(utilization: f64) -> f64 {
    let over = (utilization.min(1.0) - LATE_ABOVE).max(0.0) / (1.0 - LATE_ABOVE);
    LATE_WORK_AT_FULL * over * over + (utilization - 1.0).max(0.0)
}
