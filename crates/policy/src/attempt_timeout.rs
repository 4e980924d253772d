//! Time-outs of attempts: how long a host waits for one server before it tries another.
//!
//! Only a request that may run more than once is sent to another server while the first one may
//! still work on it; for all others an attempt lasts until the deadline of the request, even if the
//! server is silent. So these time-outs apply to repeatable requests.

use std::time::Duration;

/// Shortest time-out of a complete response.
const MIN_RESPONSE: Duration = Duration::from_millis(300);

/// Shortest time-out of the first event of a stream.
const MIN_FIRST_EVENT: Duration = Duration::from_millis(1200);

/// Shortest time-out of the next event of a stream. Sound servers may be silent for a second.
const MIN_NEXT_EVENT: Duration = Duration::from_millis(1250);

/// Time-out of a complete response, in multiples of the latency objective.
const RESPONSE_OBJECTIVES: u32 = 3;

/// Time-out of the first event, in multiples of the latency objective.
const FIRST_EVENT_OBJECTIVES: f64 = 2.5;

/// Time-out of the next event, in multiples of the longest pause that is on time.
const NEXT_EVENT_PAUSES: u32 = 4;

/// Returns how long a server may take for a complete response: at most half of the time left, so
/// that the other half remains for another server.
pub fn response(objective: Duration, left: Duration) -> Duration {
    (objective * RESPONSE_OBJECTIVES).max(MIN_RESPONSE).min(left / 2)
}

/// Returns how long a server may take for the first event of a stream.
pub fn first_event(objective: Duration) -> Duration {
    objective.mul_f64(FIRST_EVENT_OBJECTIVES).max(MIN_FIRST_EVENT)
}

/// Returns how long a stream may pause between two events; `pause` is the longest pause that is on
/// time, if one is declared.
pub fn next_event(pause: Option<Duration>) -> Duration {
    pause.map_or(MIN_NEXT_EVENT, |pause| (pause * NEXT_EVENT_PAUSES).max(MIN_NEXT_EVENT))
}
