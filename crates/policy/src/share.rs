//! Weighted fair queueing by virtual time over the cost of requests.
//!
//! Each start of a request advances the virtual time of its group, a customer for example, by its
//! cost over the group's weight, and the waiting group with the lowest virtual time is next. A group
//! that was idle joins at no less than the virtual time of the group that was served last, so that
//! it gains no advance by being idle. While two groups wait, what they get over their weights differs
//! by one largest request of each at the most. A group that is alone gets everything.

use std::collections::BTreeMap;

use types::{
    customer::{self, Unit},
    routed::Customer,
};

/// Advance in virtual time of a cost of one at a weight of one.
const UNIT: u64 = 1 << 20;

/// Number of groups beyond which those without an advance are forgotten.
const MAX_GROUPS: usize = 256;

/// Weight of the customer with the smallest quota. Weights are whole numbers; the larger this one is,
/// the less they are rounded.
const SMALLEST_QUOTA_WEIGHT: f64 = 16.0;

/// Requests that take turns with those of other groups; requests without a customer are one group.
pub type Group = Option<customer::Id>;

/// Cost of a request: tokens, or one.
pub type Cost = u64;

/// Position of a group in the order of service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct VirtualTime(u64);

impl VirtualTime {
    /// Raises the virtual time of a group that starts to wait to that of the groups in service.
    pub fn join(&mut self, others: Option<VirtualTime>) {
        *self = (*self).max(others.unwrap_or_default());
    }

    /// Advances the virtual time by a request of this cost.
    pub fn charge(&mut self, cost: Cost, weight: u32) {
        let advance = cost.saturating_mul(UNIT) / u64::from(weight.max(1));
        self.0 = self.0.saturating_add(advance);
    }
}

/// Virtual times of groups that share one resource.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    groups: BTreeMap<Group, VirtualTime>,
    /// Virtual time at which a request was served last.
    now: VirtualTime,
}

impl Shares {
    /// Virtual time of a group.
    #[must_use]
    pub fn of(&self, group: &Group) -> VirtualTime {
        self.groups.get(group).copied().unwrap_or(self.now)
    }

    /// Records that a group without waiting requests gets one.
    pub fn join(&mut self, group: &Group) {
        if MAX_GROUPS <= self.groups.len() {
            let now = self.now;
            self.groups.retain(|_, time| now < *time);
        }
        let now = Some(self.now);
        self.groups.entry(group.clone()).or_default().join(now);
    }

    /// Records that a request of the group starts.
    pub fn charge(&mut self, group: &Group, cost: Cost, weight: u32) {
        let mut time = self.of(group);
        self.now = self.now.max(time);
        time.charge(cost, weight);
        self.groups.insert(group.clone(), time);
    }
}

/// Weights of declared customers.
///
/// A weight is the declared one times the customer's quota, so that customers that use equal parts
/// of their quotas have equal parts of their shares, whatever their sizes. If a customer has no
/// quota, or quotas count different units, it is the declared one alone.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    by_customer: BTreeMap<customer::Id, u32>,
    smallest: Option<u32>,
}

impl Weights {
    /// Computes the weights of the customers of a declaration.
    #[must_use]
    pub fn new(customers: &[Customer]) -> Weights {
        let rates: Option<Vec<f64>> = customers.iter().map(rate).collect();
        let is_one_unit =
            customers.windows(2).all(|two| counts_tokens(&two[0]) == counts_tokens(&two[1]));
        let rates = rates.filter(|_| is_one_unit).unwrap_or_else(|| vec![1.0; customers.len()]);
        let smallest = rates.iter().copied().fold(f64::INFINITY, f64::min);
        let weight = |(customer, rate): (&Customer, f64)| {
            let weight = f64::from(customer.weight) * rate / smallest * SMALLEST_QUOTA_WEIGHT;
            (customer.name.clone(), (weight as u32).max(1))
        };
        let by_customer: BTreeMap<_, _> = customers.iter().zip(rates).map(weight).collect();
        Weights { smallest: by_customer.values().min().copied(), by_customer }
    }

    /// Weight of a group; `None` if its customer is not declared. Requests without a customer have
    /// the weight of the smallest one.
    #[must_use]
    pub fn of(&self, group: &Group) -> Option<u32> {
        match group {
            Some(customer) => self.by_customer.get(customer).copied(),
            None => self.smallest,
        }
    }
}

fn rate(customer: &Customer) -> Option<f64> {
    customer.quota.map(|quota| quota.rate.as_f64())
}

fn counts_tokens(customer: &Customer) -> bool {
    customer.quota.is_some_and(|quota| matches!(quota.unit, Unit::Tokens { .. }))
}
