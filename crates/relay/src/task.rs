//! Tasks that run until the process ends.
//!
//! A panic in such a task, such as one on a value that no other check has caught, ends the round in
//! which it happens and not the task: the panic is logged and counted, and the task starts again.
//! Whatever follows objects of the store starts again from the list of them. The locks of the shared
//! state are taken over from the round that panicked.

use std::{any::Any, panic::AssertUnwindSafe, sync::Arc, time::Duration};

use futures_util::FutureExt;
use tokio::time::sleep;

use crate::host::Shared;

/// Delay before a task is started again, so that a panic in each round does not take all of the
/// processor.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Spawns a task, and calls `start` for it again after each panic.
pub(crate) fn spawn<F>(
    shared: &Arc<Shared>,
    name: &'static str,
    start: impl Fn(Arc<Shared>) -> F + Send + Sync + 'static,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let shared = shared.clone();
    tokio::spawn(async move {
        while let Err(panic) = AssertUnwindSafe(start(shared.clone())).catch_unwind().await {
            log::error!(task = name, reason = message(&*panic); "a task panicked and starts again");
            shared.meters.task_panicked(name);
            sleep(RESTART_DELAY).await;
        }
    });
}

/// Returns the text of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    text.or_else(|| panic.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}
