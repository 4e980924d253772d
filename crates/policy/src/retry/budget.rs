//! The budget for retries: a token bucket that successes fill.

/// One retry, in the bucket's units.
const UNITS_PER_RETRY: u64 = 1000;

/// Parameters of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Ratio {
    /// Retries earned by a thousand successes.
    pub per_thousand: u64,
    /// Most retries saved up, also what a host starts with.
    pub most: u64,
}

impl Default for Ratio {
    fn default() -> Ratio {
        Ratio { per_thousand: 100, most: 50 }
    }
}

/// Retries that may still be made.
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
    /// A full bucket.
    pub fn new(ratio: Ratio) -> Budget {
        Budget { ratio, units: ratio.most * UNITS_PER_RETRY }
    }

    /// A request has succeeded.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.ratio.per_thousand).min(self.ratio.most * UNITS_PER_RETRY);
    }

    /// Takes one retry; false when there is none.
    pub fn withdraw(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(left) => {
                self.units = left;
                true
            }
            None => false,
        }
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.units / UNITS_PER_RETRY
    }
}
