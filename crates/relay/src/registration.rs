//! This host's registration in the store.
//!
//! Registrations let hosts find each other, and count the hosts that share the retry budgets even
//! if no message gets through. A host's own entry shows at the start whether an earlier run may
//! have spent that host's part of the budgets.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use exchange::Exchange;
use policy::dispatch::HostStart;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    edge::{Object, ObjectKind, Page, StoreCall, StoreReply},
    host::Shared,
};

/// Delay after a failed call to the store.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Delay before the second read of the list. Hosts that were started together have registered by
/// then.
const SECOND_READ_DELAY: Duration = Duration::from_secs(2);

/// Interval between further reads of the list.
const READ_INTERVAL: Duration = Duration::from_secs(60);

/// Keeps this host registered and reads the registrations of the other hosts, until the process
/// ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let mut pauses = [SECOND_READ_DELAY].into_iter().chain(std::iter::repeat(READ_INTERVAL));
    loop {
        let is_registered = match shared.store.list(ObjectKind::Host).await {
            Some(page) => {
                apply(&shared, &exchange, &page);
                register(&shared, &exchange, &page).await
            }
            None => false,
        };
        let pause = if is_registered { pauses.next() } else { None };
        sleep(pause.unwrap_or(RETRY_INTERVAL)).await;
    }
}

fn apply(shared: &Shared, exchange: &Exchange, page: &Page) {
    let names = page.objects.iter().map(|object| &*object.name);
    let listed = names.chain([&*shared.host.id]).collect::<BTreeSet<_>>().len();
    let listed = u32::try_from(listed).unwrap_or(u32::MAX);
    shared.dispatcher().share_listed(listed);
    shared.customer_quotas().set_listed(listed);
    let address = |object: &Object| object.content.as_str()?.parse().ok();
    exchange.introduce(page.objects.iter().filter_map(address));
}

/// Writes this host's entry, unless the store already has it with the present address. Returns
/// whether the entry is in the store.
async fn register(shared: &Shared, exchange: &Exchange, page: &Page) -> bool {
    let name = &*shared.host.id;
    let content = Value::String(exchange.member().address.to_string());
    let own = page.objects.iter().find(|object| &*object.name == name);
    let (call, start) = match own {
        Some(object) if object.content == content => {
            shared.dispatcher().registered(HostStart::Restart);
            return true;
        }
        Some(object) => {
            let revision = object.revision;
            (
                StoreCall::Replace { kind: ObjectKind::Host, name, revision, content: &content },
                HostStart::Restart,
            )
        }
        None => (
            StoreCall::Create { kind: ObjectKind::Host, name, content: &content },
            HostStart::First,
        ),
    };
    let is_written = matches!(shared.store.call(&call).await, StoreReply::Object(_));
    if is_written {
        shared.dispatcher().registered(start);
    }
    is_written
}
