//! Looks after waiting work while nothing else happens.
//!
//! The end of each request starts what waits; this finds the work whose outlook turned bad in the
//! meantime, and servers whose time out has passed.

use std::sync::Arc;

use types::prelude::*;

use crate::context::Context;

const INTERVAL: Duration = Duration::from_millis(20);

/// Pumps for good.
pub(super) async fn run(context: Arc<Context>) {
    loop {
        tokio::time::sleep(INTERVAL).await;
        context.traffic.pump();
    }
}
