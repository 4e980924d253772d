//! Streams over all attempts of their callers.
//!
//! Each event of a stand-in server names the run and the software version of the server that wrote
//! it. A caller whose stream breaks takes it up again, at any host; [`judge`] checks what it got.

pub mod judge;

use std::sync::Arc;

use http::StatusCode;
use tokio::time::Instant;
use types::backend;

use super::caller::{Answer, Caller, Failure, RequestSpec};

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, counted from 1 over the whole stream.
    pub number: u64,
    /// Version of the software of the server that wrote it.
    pub software: Arc<str>,
    /// Id of the run of that server.
    pub run: backend::Id,
}

impl Event {
    /// The data that the server writes.
    pub fn data(&self) -> String {
        format!("token {} of {} by {}", self.number, self.run, self.software)
    }

    /// Parses one event, without the empty line that ends it.
    fn parse(text: &str) -> Option<Event> {
        let (number, data) = text.strip_prefix("id: ")?.split_once('\n')?;
        let number: u64 = number.parse().ok()?;
        let writer = data.strip_prefix(&format!("data: token {number} of "))?;
        let (run, software) = writer.split_once(" by ")?;
        let is_line = !software.contains('\n');
        is_line.then(|| Event { number, software: software.into(), run: run.into() })
    }

    /// Parses the complete events of a body; `None` if one can't be parsed.
    pub fn parse_all(body: &str) -> Option<Vec<Event>> {
        let Some((complete, _)) = body.rsplit_once("\n\n") else { return Some(Vec::new()) };
        complete.split("\n\n").map(Event::parse).collect()
    }
}

/// One request of a caller for a stream, and what it brought.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Id of the request.
    pub id: Arc<str>,
    /// Host that it was sent to.
    pub host: usize,
    /// The events that were received before, if it takes a stream up.
    pub resumed: Option<u64>,
    /// When it was sent.
    pub sent_at: Instant,
    /// When its caller saw the end.
    pub ended_at: Instant,
    /// Status of the answer; `None` if there was none.
    pub status: Option<StatusCode>,
    /// Events that it brought; `None` if the caller can't parse them.
    pub events: Option<Vec<Event>>,
    /// Whether the body ended as its framing says.
    pub is_complete: bool,
}

impl Attempt {
    /// An attempt that has just ended.
    pub fn new(
        spec: &RequestSpec,
        host: usize,
        sent_at: Instant,
        result: &Result<Answer, Failure>,
    ) -> Attempt {
        let answer = result.as_ref().ok();
        let success = answer.filter(|answer| answer.status.is_success());
        Attempt {
            id: spec.id(),
            host,
            resumed: spec.info.resume,
            sent_at,
            ended_at: Instant::now(),
            status: answer.map(|answer| answer.status),
            events: success.map_or(Some(Vec::new()), Answer::stream),
            is_complete: answer.is_some_and(|answer| answer.is_complete),
        }
    }

    /// Whether it brought an event, or the end of a stream that had all events.
    pub fn goes_on(&self) -> bool {
        let is_success = self.status.is_some_and(|status| status.is_success());
        let has_events = self.events.as_ref().is_none_or(|events| !events.is_empty());
        is_success && (has_events || self.is_complete)
    }
}

/// Where an attempt is sent, and when its caller breaks it off.
#[derive(Debug)]
pub struct Target {
    /// Index of the host.
    pub host: usize,
    /// A caller of the host.
    pub caller: Caller,
    /// The caller disconnects after it received so many events in the attempt.
    pub break_after: Option<u64>,
}

/// A stream as its caller received it, in one attempt or several.
#[derive(Clone, Debug, Default)]
pub struct Stream {
    /// The attempts, in the order of time.
    pub attempts: Vec<Attempt>,
}

impl Stream {
    /// Requests the stream of `spec` and takes it up each time it breaks, with at most `attempts`
    /// requests in all.
    pub async fn receive(
        spec: &RequestSpec,
        attempts: usize,
        mut choose: impl FnMut() -> Target,
    ) -> Stream {
        let mut stream = Stream::default();
        while stream.attempts.len() < attempts && !stream.is_complete() {
            let attempt = stream.attempt(spec, choose()).await;
            stream.attempts.push(attempt);
        }
        stream
    }

    /// Sends the next request of the stream.
    pub async fn attempt(&self, spec: &RequestSpec, mut target: Target) -> Attempt {
        let request = self.next_request(spec);
        let sent_at = Instant::now();
        let result = fetch(&request, &mut target).await;
        Attempt::new(&request, target.host, sent_at, &result)
    }

    /// The next request of the stream of `spec`, which takes it up if it has begun.
    pub fn next_request(&self, spec: &RequestSpec) -> RequestSpec {
        let request = spec.with_new_id();
        match self.begun() {
            Some((id, last)) => request.take_up(&id, last),
            None => request,
        }
    }

    /// Whether the last attempt brought the end.
    pub fn is_complete(&self) -> bool {
        self.attempts.last().is_some_and(|attempt| attempt.is_complete && attempt.goes_on())
    }

    /// The request that brought the first event, and the number of the last event received.
    fn begun(&self) -> Option<(Arc<str>, u64)> {
        let has_events =
            |attempt: &&Attempt| attempt.events.as_ref().is_some_and(|events| !events.is_empty());
        let first = self.attempts.iter().find(has_events)?;
        let last = self.events().last()?;
        Some((first.id.clone(), last.number))
    }

    /// All events, in the order received.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.attempts.iter().flat_map(|attempt| attempt.events.iter().flatten())
    }
}

/// Sends a request for a stream and receives its events.
///
/// # Errors
///
/// If no head is received, or nothing for a long time.
pub async fn fetch(spec: &RequestSpec, target: &mut Target) -> Result<Answer, Failure> {
    let opened = target.caller.open(spec).await?;
    let received = spec.info.resume.unwrap_or_default();
    match target.break_after {
        Some(events) => opened.finish_at(received + events).await,
        None => opened.finish().await,
    }
}
