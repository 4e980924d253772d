//! Timers of verdicts on what other processes have not sent.
//!
//! When a process goes on after it was not scheduled, the timers that fell due meanwhile complete
//! before what has arrived meanwhile is read from its sockets. A verdict by such a timer would be on
//! the process itself, so that a late timer completes only after the sockets have been read.

use std::time::Duration;

use tokio::{
    task::yield_now,
    time::{self, Instant},
};

/// Lateness from which on data may have arrived that is not read.
const MIN_LATENESS: Duration = Duration::from_millis(10);

/// Turns of the runtime in which data that has arrived is read and reaches the task of its request.
/// The first poll of the sockets may be interrupted by a signal; the connection's task and then the
/// request's task run after the second one.
const READ_TURNS: u32 = 4;

/// Waits until a time, and if the process runs late, until it has read what had arrived by then.
pub(crate) async fn sleep_until(end: Instant) {
    time::sleep_until(end).await;
    if MIN_LATENESS <= end.elapsed() {
        until_sockets_read().await;
    }
}

/// Waits until the process has read what had arrived in its sockets.
pub(crate) async fn until_sockets_read() {
    for _ in 0..READ_TURNS {
        yield_now().await;
    }
}

/// Waits for a time like [`sleep_until`].
pub(crate) async fn sleep(time: Duration) {
    sleep_until(Instant::now() + time).await;
}
