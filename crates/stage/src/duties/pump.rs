//! Processes waiting requests while nothing else happens.
//!
//! The end of each request already starts waiting ones. This task finds requests that can no longer
//! meet their target, and servers whose suspicion has expired.

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
