//! Routes by host and path.

use std::{borrow::Cow, collections::BTreeMap};

use types::{prelude::*, routed::Route};

/// Routes of the declaration in force.
#[derive(Clone, Debug, Default)]
pub struct Routes {
    /// By host in small letters, then prefix.
    by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Route>>,
}

impl Routes {
    /// Takes in all routes.
    pub fn new(routes: &[Route]) -> Routes {
        let mut by_host: BTreeMap<Arc<str>, BTreeMap<Arc<str>, Route>> = BTreeMap::new();
        for route in routes {
            let host = by_host.entry(route.host.to_ascii_lowercase().into()).or_default();
            host.insert(route.prefix.clone(), route.clone());
        }
        Routes { by_host }
    }

    /// The route with the longest prefix that begins the path, however the host is spelled.
    ///
    /// Prefixes end with a slash, so each candidate is a cut of the path after one of its slashes.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let prefixes = self.by_host.get(&*lowercase(host))?;
        path.rmatch_indices('/').find_map(|(at, _)| prefixes.get(&path[..=at]))
    }
}

/// In small letters.
fn lowercase(host: &str) -> Cow<'_, str> {
    if host.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return host.to_ascii_lowercase().into();
    }
    host.into()
}

/// The service that takes a request of the route; one hash gives one service.
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
