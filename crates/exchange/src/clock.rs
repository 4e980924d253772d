//! The clock that the exchange uses.

use std::{sync::Arc, time::Instant};

use types::time::Moment;

/// Returns the time since an origin of the process. It must never go back. If it includes
/// suspensions of the machine, a resumed host sees that what it received before is old.
pub type Clock = Arc<dyn Fn() -> Moment + Send + Sync>;

/// Returns a monotonic clock that starts now. It may stop during suspensions.
pub fn steady() -> Clock {
    let origin = Instant::now();
    Arc::new(move || origin.elapsed())
}
