//! Retry budget: a token bucket that successes fill.

/// Units of the bucket that one retry costs.
const UNITS_PER_RETRY: u64 = 1000;

/// Ratio of retries to successes, with the number of retries that can be saved up.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    /// Retries earned by a thousand successes.
    pub per_thousand: u64,
    /// Largest number of retries saved up; also the number that a host starts with.
    pub max: u64,
}

impl Default for Ratio {
    fn default() -> Ratio {
        Ratio { per_thousand: 100, max: 50 }
    }
}

/// Budget of the retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    ratio: Ratio,
    units: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(Ratio::default())
    }
}

impl Budget {
    /// Returns a full bucket.
    pub fn new(ratio: Ratio) -> Budget {
        Budget { ratio, units: ratio.max * UNITS_PER_RETRY }
    }

    /// Credits a request that succeeded.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.ratio.per_thousand).min(self.ratio.max * UNITS_PER_RETRY);
    }

    /// Takes one retry; returns false if none is left.
    pub fn withdraw(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(left) => {
                self.units = left;
                true
            }
            None => false,
        }
    }

    /// Number of whole retries left.
    pub fn left(&self) -> u64 {
        self.units / UNITS_PER_RETRY
    }
}
