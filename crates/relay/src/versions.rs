//! The list of the versions at which streams may have begun: keeps the store's list up to date, and
//! reads it for streams whose records may be lost.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use policy::streams::{
    self, SoftwareId,
    versions::{Duty, Listing, Step, Text},
};
use tokio::time::{sleep, timeout};
use types::{prelude::*, routed::Kind};

use crate::{
    edge::{Object, ObjectKind, Revision, StoreCall, StoreReply},
    host::Shared,
};

const KIND: ObjectKind = ObjectKind::Versions;

/// Name of the list.
const NAME: &str = "streams";

/// Interval between two looks at the servers.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Time for which lookups are collected before the list is read for all of them.
const BATCH_TIME: Duration = Duration::from_millis(10);

/// Timeout of a read for a lookup.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(300);

/// The list as it was read last for a lookup; `None` if the store did not return it.
#[derive(Debug, Default)]
pub(crate) struct LastRead {
    began_at: Moment,
    listing: Option<Listing>,
}

/// Keeps the list up to date until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut applied = None;
    loop {
        update_served(&shared, &mut applied);
        let step = shared.versions().step(duty(&shared), shared.now());
        if carry_out(&shared, step).await {
            apply_listed(&shared);
        }
        sleep(ROUND_INTERVAL).await;
    }
}

fn duty(shared: &Shared) -> Duty {
    match shared.term().fence(shared.now()) {
        None => Duty::Spare,
        // Registrations that the store has taken meanwhile may not be known here yet.
        Some(_) if shared.store.is_degraded() => Duty::List,
        Some(_) => Duty::Maintain,
    }
}

/// Passes on which versions the registered servers have, if that may have changed since `applied`:
/// the directory's revision and the number of the declaration.
fn update_served(shared: &Shared, applied: &mut Option<(Revision, u64)>) {
    let Some(declaration) = shared.declaration() else { return };
    let current = Some((shared.directory().revision(), declaration.version));
    if *applied == current {
        return;
    }
    *applied = current;
    let is_resumable = |service: &service::Id| {
        let mut routes = declaration.routes.iter();
        routes.any(|route| {
            let mut split = route.split.iter();
            route.kind == Kind::Stream
                && route.resumable
                && split.any(|share| share.service == *service)
        })
    };
    let resumable = declaration.services.iter().map(|service| &service.name);
    let resumable: BTreeSet<&service::Id> = resumable.filter(|name| is_resumable(name)).collect();
    let served: BTreeSet<(service::Id, Text)> = {
        let directory = shared.directory();
        let servers = directory.servers().filter(|server| {
            resumable.contains(&server.service) && !streams::is_unread(&server.software)
        });
        servers.map(|server| (server.service.clone(), server.software.clone())).collect()
    };
    shared.versions().set_served(served, shared.now());
    apply_listed(shared);
}

/// Passes the listed versions to the dispatcher.
fn apply_listed(shared: &Shared) {
    let Some(declaration) = shared.declaration() else { return };
    for service in &declaration.services {
        let listed = shared.versions().listed(&service.name);
        if let Some(listed) = listed {
            shared.dispatcher().set_listed(&service.name, listed);
        }
    }
}

/// Carries out a step. Returns whether the list may have changed.
async fn carry_out(shared: &Shared, step: Step) -> bool {
    let (reply, listing) = match step {
        Step::Idle => return false,
        Step::Read => {
            let reply = shared.store.call(&StoreCall::Get { kind: KIND, name: NAME }).await;
            let read = match &reply {
                StoreReply::Object(object) => parse(object).map(Some),
                StoreReply::Absent => Some(None),
                _ => None,
            };
            let Some(read) = read else { return false };
            shared.versions().read(read, shared.now());
            return true;
        }
        Step::Create(listing) => {
            let Ok(content) = serde_json::to_value(&listing) else { return false };
            let call = StoreCall::Create { kind: KIND, name: NAME, content: &content };
            (shared.store.call(&call).await, listing)
        }
        Step::Replace(revision, listing) => {
            let Ok(content) = serde_json::to_value(&listing) else { return false };
            let call = StoreCall::Replace { kind: KIND, name: NAME, revision, content: &content };
            (shared.store.call(&call).await, listing)
        }
    };
    let now = shared.now();
    match reply {
        StoreReply::Object(object) => {
            log::info!(listed:? = listing.services; "versions of servers are listed");
            shared.versions().read(Some((object.revision, listing)), now);
        }
        StoreReply::Conflict(_) | StoreReply::Absent => shared.versions().conflicted(),
        // Nothing was written.
        StoreReply::Refused => {}
        _ => shared.versions().unclear(),
    }
    true
}

fn parse(object: &Object) -> Option<(Revision, Listing)> {
    let listing = serde_json::from_value(object.content.clone());
    let listing = listing.inspect_err(
        |error| log::error!(object = &*object.name; "the list of versions can't be parsed: {error}"),
    );
    Some((object.revision, listing.ok()?))
}

impl Shared {
    /// Returns the version that began all streams of a service which a caller may still take up, if the
    /// store's list proves that there is only one.
    pub(crate) async fn sole_version(&self, service: &service::Id) -> Option<SoftwareId> {
        let asked_at = self.now();
        let mut last = self.listing_read.lock().await;
        // A list that was read before the request arrived may be older than the stream.
        if last.began_at <= asked_at {
            sleep(BATCH_TIME).await;
            let began_at = self.now();
            let call = StoreCall::Get { kind: KIND, name: NAME };
            let reply = timeout(LOOKUP_TIMEOUT, self.store.call(&call)).await;
            let listing = match reply {
                Ok(StoreReply::Object(object)) => parse(&object).map(|(_, listing)| listing),
                _ => None,
            };
            *last = LastRead { began_at, listing };
        }
        last.listing.as_ref()?.sole(service)
    }
}
