//! Processes the admission queue at a fixed interval.
//!
//! The end of each request already starts waiting ones. In between, this task rejects requests that
//! can no longer meet their target, and notices servers whose suspicion has expired.

use std::sync::Arc;

use types::prelude::*;

use crate::context::Context;

const INTERVAL: Duration = Duration::from_millis(20);

/// Runs the admission queue forever.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        context.traffic.pump();
    }
}
