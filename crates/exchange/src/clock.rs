//! The clock that the exchange uses.

use std::{sync::Arc, time::Instant};

use types::time::Moment;

/// Function that returns the time since an origin that is fixed for the process. The time must
/// never decrease. If it includes suspensions of the machine, a resumed host treats the data that
/// it received before the suspension as old.
pub type Clock = Arc<dyn Fn() -> Moment + Send + Sync>;

/// Returns a monotonic clock that starts at 0. It may stop while the machine is suspended.
pub fn steady() -> Clock {
    let origin = Instant::now();
    Arc::new(move || origin.elapsed())
}
