//! The budget for retries: a token bucket that successes fill.

/// One retry, in the bucket's units.
const RETRY: u64 = 1000;

/// Parameters of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Retries earned by a thousand successes.
    pub per_thousand: u64,
    /// Most retries saved up, also what a host starts with.
    pub most: u64,
}

impl Default for Share {
    fn default() -> Share {
        Share { per_thousand: 100, most: 50 }
    }
}

/// Retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    share: Share,
    units: u64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget::new(Share::default())
    }
}

impl Budget {
    /// A full bucket.
    pub fn new(share: Share) -> Budget {
        Budget { share, units: share.most * RETRY }
    }

    /// A request has succeeded.
    pub fn deposit(&mut self) {
        self.units = (self.units + self.share.per_thousand).min(self.share.most * RETRY);
    }

    /// Takes one retry; false when there is none.
    pub fn withdraw(&mut self) -> bool {
        match self.units.checked_sub(RETRY) {
            Some(left) => {
                self.units = left;
                true
            }
            None => false,
        }
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.units / RETRY
    }
}
