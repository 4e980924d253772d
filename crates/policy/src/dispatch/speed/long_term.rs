//! The long-term factors of a service's servers.
//!
//! Each host adds up the logarithms of its response times relative to what is expected at a median
//! server. The factors are estimated from these sums by an analysis of variance: servers count as
//! unequal only if the means differ by more than the noise of the samples explains, and then each
//! mean is shrunk towards the median according to its number of samples. So servers that are equally
//! fast have factors of exactly 1, and decisions among them are as without an estimate.

use types::prelude::*;

use super::{MAX_FACTOR, MIN_FACTOR};

/// Time constant in seconds at which newer samples displace older ones. It is long beside the changes that
/// servers report and beside faults, which are the business of the breaker.
const MEMORY_SECS: f64 = 60.0;

/// Bound of one sample's logarithm.
const MAX_SAMPLE: f64 = 2.5;

/// Least count of samples with which a server's mean is compared with others. Fewer samples may all
/// be of the first moments of a host, when the load is unlike that of later ones.
const MIN_COUNT: f64 = 10.0;

/// Standard deviation of the logarithms of factors below which servers count as equal: a tenth.
pub(super) const NOTABLE_SPREAD: f64 = 0.1;

/// Standard errors by which the variance among the means must exceed what the noise explains.
/// The times of a server depend on its load as well, so the bound is wide.
const CERTAINTY: f64 = 12.0;

/// Lower bound of the variance of single samples.
const MIN_NOISE: f64 = 0.05;

/// A sum of logarithms of time ratios, and their number.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Sum of the logarithms.
    pub total: f64,
    /// Number of samples; older ones count in part.
    pub count: f64,
}

impl Sum {
    /// Adds another sum.
    pub fn plus(self, other: Sum) -> Sum {
        Sum { total: self.total + other.total, count: self.count + other.count }
    }

    /// The mean of the logarithms, within the bounds of a sample; 0 without samples.
    pub fn mean(&self) -> f64 {
        let mean = self.total / self.count;
        if mean.is_finite() { mean.clamp(-MAX_SAMPLE, MAX_SAMPLE) } else { 0.0 }
    }
}

/// Samples of one host at one server, each weighted by its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Samples {
    sum: Sum,
    squares: f64,
    at: Moment,
}

impl Samples {
    /// Adds a logarithm of a time ratio.
    pub fn record(&mut self, log_ratio: f64, now: Moment) {
        let sample = log_ratio.clamp(-MAX_SAMPLE, MAX_SAMPLE);
        let weight = (-now.saturating_sub(self.at).as_secs_f64() / MEMORY_SECS).exp();
        self.sum.total = self.sum.total * weight + sample;
        self.sum.count = self.sum.count * weight + 1.0;
        self.squares = self.squares * weight + sample * sample;
        self.at = now;
    }

    /// The sum as of the last sample. Without new ones it doesn't fade: a server that is rarely
    /// used is as slow as before.
    pub fn sum(&self) -> Sum {
        self.sum
    }

    /// Sum of the squared deviations from the mean, and the count less one.
    fn deviations(&self) -> (f64, f64) {
        let count = self.sum.count.max(1.0);
        ((self.squares - self.sum.total * self.sum.total / count).max(0.0), count - 1.0)
    }
}

/// How the servers of a service differ.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    median: f64,
    /// Variance of a single sample.
    noise: f64,
    /// Variance of the logarithms of the factors; 0 if they don't differ notably.
    variance: f64,
}

impl Spread {
    /// Compares servers by their joint sums; `own` are this host's samples.
    pub fn of<'a>(
        joint: impl Iterator<Item = Sum>,
        own: impl Iterator<Item = &'a Samples>,
    ) -> Spread {
        let known: Vec<Sum> = joint.filter(|sum| MIN_COUNT <= sum.count).collect();
        let (squares, degrees) = own
            .map(Samples::deviations)
            .fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        let noise = if 1.0 <= degrees { (squares / degrees).max(MIN_NOISE) } else { 1.0 };
        let median = median(known.iter().map(Sum::mean));
        Spread { median, noise, variance: variance(&known, noise) }
    }

    /// Whether the servers differ notably.
    pub fn is_notable(&self) -> bool {
        0.0 < self.variance
    }

    /// Logarithm of the mean over the median.
    pub fn excess(&self, sum: Sum) -> f64 {
        sum.mean() - self.median
    }

    /// The long-term factor of the server with this sum.
    pub fn factor(&self, sum: Sum) -> f64 {
        if !self.is_notable() || sum.count <= 0.0 {
            return 1.0;
        }
        let reliability = self.variance / (self.variance + self.noise / sum.count);
        (self.excess(sum) * reliability).exp().clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

/// Variance of the servers' true means; 0 unless it is notable and certain.
fn variance(known: &[Sum], noise: f64) -> f64 {
    let degrees = known.len() as f64 - 1.0;
    if degrees < 1.0 {
        return 0.0;
    }
    let count: f64 = known.iter().map(|sum| sum.count).sum();
    let mean = known.iter().map(|sum| sum.mean() * sum.count).sum::<f64>() / count;
    let between: f64 = known.iter().map(|sum| sum.count * (sum.mean() - mean).powi(2)).sum();
    let ratio = between / degrees / noise;
    let squares: f64 = known.iter().map(|sum| sum.count * sum.count).sum();
    let typical = (count - squares / count) / degrees;
    let variance = (ratio - 1.0) * noise / typical;
    let is_certain = 1.0 + CERTAINTY * (2.0 / degrees).sqrt() < ratio;
    if is_certain && NOTABLE_SPREAD * NOTABLE_SPREAD < variance { variance } else { 0.0 }
}

fn median(values: impl Iterator<Item = f64>) -> f64 {
    let mut values: Vec<f64> = values.collect();
    let middle = values.len().saturating_sub(1) / 2;
    if values.is_empty() {
        return 0.0;
    }
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}
