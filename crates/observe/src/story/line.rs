//! One line of a story, written and read.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use types::{host, request, time::Moment};

use super::{belief::Belief, step::Step, text::millis};
use crate::clock::Stamp;

/// When something was told.
///
/// The stamp orders lines of all hosts, also while a time of day jumps; the steady time measures
/// pauses on one host; the time of day is what people compare with.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Time {
    /// By the hybrid logical clock.
    pub at: Stamp,
    /// By the steady clock, since the run began.
    #[serde(with = "millis")]
    pub up: Moment,
    /// By the time of day, since 1970.
    #[serde(with = "millis")]
    pub wall: Duration,
}

impl Time {
    /// The time of day now, with the stamp and the steady time given.
    pub fn now(at: Stamp, up: Moment) -> Time {
        let wall = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Time { at, up, wall }
    }
}

/// What a line says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Content {
    /// Of a request.
    Step(Step),
    /// Of what the process believes.
    Belief(Belief),
}

/// A line as it is read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// When.
    #[serde(flatten)]
    pub time: Time,
    /// The host that tells it.
    pub host: host::Id,
    /// The run of that host's process.
    pub run: host::Incarnation,
    /// The request that it is about.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<request::Id>,
    /// What it says.
    #[serde(flatten)]
    pub content: Content,
}

/// A line as it is written: the same fields, borrowed.
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

/// Why a line is no story's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Skipped {
    /// It can't be read, or is cut.
    Bad,
    /// It is an object of another sort, such as a message in words.
    Other,
}

/// Reads a line. What stands before the object, such as a name and a time that a collector puts
/// there, is passed over.
///
/// # Errors
///
/// The line is no story's.
pub fn read(line: &str) -> Result<Line, Skipped> {
    let start = line.find('{').ok_or(Skipped::Bad)?;
    let text = line[start..].trim_end();
    serde_json::from_str(text).map_err(|_| match serde_json::from_str::<Other>(text) {
        Ok(other) if other.kind.is_none() => Skipped::Other,
        _ => Skipped::Bad,
    })
}

/// An object of any sort.
#[derive(Deserialize)]
struct Other {
    kind: Option<String>,
}
