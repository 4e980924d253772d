//! The caller of a request, as the declaration in force identifies it.

use std::sync::Arc;

use types::{
    customer::KeyDigest,
    routed::{Customer, Route},
};

use super::Directory;

/// On whose behalf a request is sent.
#[derive(Clone, Debug, PartialEq)]
pub enum Caller {
    /// Callers are not identified.
    Unmanaged,
    /// A caller without a known key, on a public route.
    Anonymous,
    /// A caller that presented a key of this customer.
    Customer(Arc<Customer>),
}

impl Caller {
    /// Identifies the caller of a request on a route by the key that it presents, if that is one;
    /// `None` if the request needs a known key.
    #[must_use]
    pub fn identify(
        customers: Option<&Directory>,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Option<Caller> {
        let Some(customers) = customers else { return Some(Caller::Unmanaged) };
        match key.and_then(|key| customers.identify(key)) {
            Some(customer) => Some(Caller::Customer(customer.clone())),
            None => route.public.then_some(Caller::Anonymous),
        }
    }

    /// Identifies the caller again, by the customers in force now, before another attempt of its
    /// request. If callers are no longer identified, a caller that was identified is anonymous: its
    /// key is still withheld from servers.
    #[must_use]
    pub fn renew(
        &self,
        customers: Option<&Directory>,
        route: &Route,
        key: Option<KeyDigest>,
    ) -> Option<Caller> {
        match (customers, self) {
            (None, Caller::Anonymous | Caller::Customer(_)) => Some(Caller::Anonymous),
            (None, Caller::Unmanaged) | (Some(_), _) => Caller::identify(customers, route, key),
        }
    }

    /// Returns the customer, if the caller presented a key of one.
    #[must_use]
    pub fn customer(&self) -> Option<&Arc<Customer>> {
        match self {
            Caller::Unmanaged | Caller::Anonymous => None,
            Caller::Customer(customer) => Some(customer),
        }
    }

    /// Returns the priority that takes precedence over the route's, if the caller has one.
    #[must_use]
    pub fn priority(&self) -> Option<u8> {
        self.customer()?.priority
    }
}
