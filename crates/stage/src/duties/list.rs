//! Reads the platform's list of hosts and backend servers.

use std::sync::Arc;

use crate::context::Context;

/// Reads the list for good. An outage leaves the last list in place.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        match context.store.hosts().await {
            Ok(list) => {
                context.traffic.list(&list);
                context.fleet.set_list(list);
            }
            Err(error) => log::warn!("host list: {error}"),
        }
        tokio::time::sleep(context.settings.intervals.list).await;
    }
}
