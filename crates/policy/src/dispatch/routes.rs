//! Routes by host name and path.

use std::{borrow::Cow, collections::BTreeMap};

use types::{prelude::*, routed::Route};

/// Routes of the declaration in force.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// By lower-case host name, then path prefix.
    by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Route>>,
}

impl Routes {
    /// Indexes all routes of a declaration.
    pub fn new(routes: &[Route]) -> Routes {
        let mut by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Route>> = BTreeMap::new();
        for route in routes {
            let host = by_host.entry(route.host.to_ascii_lowercase().into()).or_default();
            host.insert(route.prefix.clone(), route.clone());
        }
        Routes { by_host }
    }

    /// Returns the route with the longest prefix of the path. The case of the host name does not
    /// matter.
    ///
    /// Prefixes end with a slash, so each candidate is the path up to one of its slashes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(&*lowercase(host))?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}

fn lowercase(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return host.to_ascii_lowercase().into();
    }
    host.into()
}

/// Selects the service for a request of the route by the weights of its split. Equal hashes select
/// the same service; `None` if all weights are zero.
pub fn split(route: &Route, hash: u64) -> Option<&service::Id> {
    let total: u64 = route.split.iter().map(|share| u64::from(share.weight)).sum();
    let mut left = super::mixed(hash).checked_rem(total)?;
    for share in &route.split {
        let weight = u64::from(share.weight);
        if left < weight {
            return Some(&share.service);
        }
        left -= weight;
    }
    None
}
