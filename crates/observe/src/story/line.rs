//! Format of one line of a story.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use types::{host, request, time::Moment};

use super::{belief::Belief, step::Step, text::millis};
use crate::clock::Stamp;

/// Time of a line by three clocks.
///
/// The stamp orders the lines of all hosts, even if a wall clock jumps. The monotonic time measures
/// intervals on one host. The wall time is for comparison with other sources.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Time {
    /// Stamp of the hybrid logical clock.
    pub at: Stamp,
    /// Monotonic time since the start of the run.
    #[serde(with = "millis")]
    pub up: Moment,
    /// Wall time since 1970.
    #[serde(with = "millis")]
    pub wall: Duration,
}

impl Time {
    /// Returns the given stamp and monotonic time with the current wall time.
    pub fn now(at: Stamp, up: Moment) -> Time {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Time { at, up, wall }
    }
}

/// Content of a line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// A step of a request.
    Step(Step),
    /// A belief of the process.
    Belief(Belief),
}

/// A parsed line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Time at which the line was logged; for the steps of a request, the time of the step.
    #[serde(flatten)]
    pub time: Time,
    /// The host that logged the line.
    pub host: host::Id,
    /// The run of that host's process.
    pub run: host::Incarnation,
    /// The request that a step belongs to; `None` for a belief.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<request::Id>,
    /// The step or belief.
    #[serde(flatten)]
    pub content: Content,
}

/// A line to be written: the fields of [`Line`], borrowed.
#[derive(Serialize)]
pub(crate) struct LineRef<'a, T> {
    pub(crate) at: Stamp,
    #[serde(with = "millis")]
    pub(crate) up: Moment,
    #[serde(with = "millis")]
    pub(crate) wall: Duration,
    pub(crate) host: &'a str,
    pub(crate) run: host::Incarnation,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) request: Option<&'a str>,
    #[serde(flatten)]
    pub(crate) content: &'a T,
}

/// Reason for which a line of the log is not a line of a story.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skipped {
    /// The line can't be parsed, for example because it is truncated.
    Bad,
    /// The line is a JSON object of another kind, such as a log message.
    Other,
}

/// Parses a line. Text before the JSON object, such as a name and a time added by a log collector,
/// is skipped.
///
/// # Errors
///
/// The line is not a line of a story.
pub fn read(line: &str) -> Result<Line, Skipped> {
    let start = line.find('{').ok_or(Skipped::Bad)?;
    let text = line[start..].trim_end();
    serde_json::from_str(text).map_err(|_| match serde_json::from_str::<Other>(text) {
        Ok(other) if other.kind.is_none() => Skipped::Other,
        _ => Skipped::Bad,
    })
}

/// Any JSON object; lines of stories have a `kind`.
#[derive(Deserialize)]
struct Other {
    kind: Option<String>,
}
