//! The lease that permits sending orders: carries out the store calls that `policy::term` asks for.

use std::{sync::Arc, time::Duration};

use observe::story::{Belief, LeaseState, Text};
use policy::{
    place::RoundUrgency,
    term::{Lease, Outcome, Step, StoredLease},
};
use tokio::time::sleep;
use types::order::Fence;

use crate::{
    edge::{Object, ObjectKind, StoreCall, StoreReply},
    host::Shared,
};

/// Name of the lease on orders.
const LEASE_NAME: &str = "orders";

/// Interval between steps.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Contends for the lease and renews it until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut held = None;
    shared.meters.lease(LEASE_NAME, None);
    loop {
        step(&shared).await;
        held = report_change(&shared, held);
        sleep(STEP_INTERVAL).await;
    }
}

/// Logs whether the lease was gained or lost since the last call, and returns the fencing token
/// that this host holds now.
fn report_change(shared: &Shared, before: Option<Fence>) -> Option<Fence> {
    let held = shared.term().fence(shared.now());
    if held == before {
        return held;
    }
    shared.meters.lease(LEASE_NAME, held);
    if let Some(fence) = before {
        let (state, why) = match (shared.is_leaving(), shared.term().is_yielding()) {
            (true, _) => (LeaseState::Released, "the host is about to stop"),
            (false, true) => (LeaseState::Released, "the host can't reach the servers"),
            (false, false) => (LeaseState::Lost, "it was not renewed in time"),
        };
        shared.logger.belief(belief(state, fence, why));
    }
    if let Some(fence) = held {
        shared.wake_planner(RoundUrgency::Normal);
        shared.logger.belief(belief(LeaseState::Gained, fence, "a write was carried out"));
    }
    held
}

fn belief(state: LeaseState, fence: Fence, why: &'static str) -> Belief {
    let (duty, why) = (Text::Borrowed(LEASE_NAME), Text::Borrowed(why));
    Belief::Lease { duty, state, fence, left: None, why }
}

async fn step(shared: &Shared) {
    let step = shared.term().step(shared.now());
    match step {
        Step::Idle => {}
        Step::Read => read(shared).await,
        Step::Create(lease) => {
            let Ok(content) = serde_json::to_value(&lease) else { return };
            write(
                shared,
                &StoreCall::Create { kind: ObjectKind::Lease, name: LEASE_NAME, content: &content },
            )
            .await;
        }
        Step::Replace(revision, lease) => {
            let Ok(content) = serde_json::to_value(&lease) else { return };
            let call = StoreCall::Replace {
                kind: ObjectKind::Lease,
                name: LEASE_NAME,
                revision,
                content: &content,
            };
            write(shared, &call).await;
        }
    }
}

async fn read(shared: &Shared) {
    match shared
        .store
        .lease_call(&StoreCall::Get { kind: ObjectKind::Lease, name: LEASE_NAME })
        .await
    {
        StoreReply::Object(object) => {
            let stored = stored(&object);
            if stored.is_some() {
                shared.term().observe(shared.now(), stored);
            }
        }
        StoreReply::Absent => shared.term().observe(shared.now(), None),
        reply => log::debug!(told:? = reply; "the lease can't be read"),
    }
}

async fn write(shared: &Shared, call: &StoreCall<'_>) {
    let outcome = match shared.store.lease_call(call).await {
        StoreReply::Object(object) => Outcome::Done(object.revision),
        StoreReply::Conflict(object) => Outcome::Conflict(object.as_ref().and_then(stored)),
        StoreReply::Absent => Outcome::Absent,
        StoreReply::Refused => Outcome::Refused,
        StoreReply::Page(_) | StoreReply::Seen(_) | StoreReply::Compacted | StoreReply::Unclear => {
            Outcome::Unknown
        }
    };
    shared.term().write_finished(shared.now(), outcome);
}

fn stored(object: &Object) -> Option<StoredLease> {
    let lease = serde_json::from_value::<Lease>(object.content.clone()).ok()?;
    Some((object.revision, lease))
}
