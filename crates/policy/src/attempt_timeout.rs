//! How long a server is waited for before another is asked.
//!
//! Only a request that may run again is taken to another server while the first one may still be at
//! work; for all others a server's silence is no reason to end anything before the request's time
//! is over. So these limits are for repeatable requests.

use std::time::Duration;

/// Least wait for a whole answer.
const MIN_RESPONSE: Duration = Duration::from_millis(300);

/// Least wait for the first event of a stream.
const MIN_FIRST_EVENT: Duration = Duration::from_millis(1200);

/// Least wait for a stream's next event.
const MIN_NEXT_EVENT: Duration = Duration::from_secs(1);

/// Wait for a whole answer, in latency objectives.
const RESPONSE_OBJECTIVES: u32 = 3;

/// Wait for the first event, in latency objectives.
const FIRST_EVENT_OBJECTIVES: f64 = 2.5;

/// Wait for the next event, in the longest pauses that are on time.
const NEXT_EVENT_PAUSES: u32 = 4;

/// How long a server may take for a whole answer; of the time left, half is kept for another.
pub fn response(objective: Duration, left: Duration) -> Duration {
    (objective * RESPONSE_OBJECTIVES).max(MIN_RESPONSE).min(left / 2)
}

/// How long a server may take for the first event of a stream.
pub fn first_event(objective: Duration) -> Duration {
    objective.mul_f64(FIRST_EVENT_OBJECTIVES).max(MIN_FIRST_EVENT)
}

/// How long a stream may pause between two events.
pub fn next_event(pause: Option<Duration>) -> Duration {
    pause.map_or(MIN_NEXT_EVENT, |pause| (pause * NEXT_EVENT_PAUSES).max(MIN_NEXT_EVENT))
}
