//! This host's registration in the store.
//!
//! Hosts find each other by it, know by the list how many share the retry budgets though they hear nothing of each
//! other, and tell by their own entry whether an earlier run of theirs may have spent its part.

use std::{sync::Arc, time::Duration};

use exchange::Exchange;
use policy::dispatch::HostStart;
use serde_json::Value;
use tokio::time::sleep;

use crate::{
    edge::{Call, Kind, Object, Page, StoreReply},
    host::Shared,
};

/// Pause before the store is asked again after it failed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which hosts that started together have registered themselves.
const SECOND_READ_DELAY: Duration = Duration::from_secs(2);

/// Time between two looks at the list from then on.
const READ_INTERVAL: Duration = Duration::from_secs(60);

/// Keeps this host registered, and takes in which others are, until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let mut pauses = [SECOND_READ_DELAY].into_iter().chain(std::iter::repeat(READ_INTERVAL));
    loop {
        let is_registered = match shared.store.list(Kind::Host).await {
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
    let listed = u32::try_from(page.objects.len()).unwrap_or(u32::MAX);
    shared.dispatcher().share_listed(listed);
    let address = |object: &Object| object.content.as_str()?.parse().ok();
    exchange.introduce(page.objects.iter().filter_map(address));
}

/// Writes this host's entry, unless it stands there; whether it does now.
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
                Call::Replace { kind: Kind::Host, name, revision, content: &content },
                HostStart::Restart,
            )
        }
        None => (Call::Create { kind: Kind::Host, name, content: &content }, HostStart::First),
    };
    let is_written = matches!(shared.store.call(&call).await, StoreReply::Object(_));
    if is_written {
        shared.dispatcher().registered(start);
    }
    is_written
}
