//! Numbered events of a stream, passed on complete, once and in order.
//!
//! A server's stream of events (`text/event-stream`) arrives in chunks of any size. A [`Splitter`]
//! passes on complete events only and holds back a partial one, so that a broken stream can resume
//! at another server after the last complete event. Events that were passed on before are dropped.
//! A gap, or bytes that are no event, end the use of this server's stream.
//!
//! A chunk that continues no partial event and of which all events pass is not copied.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

/// Number of an event within its stream.
pub type Id = u64;

/// Most bytes of a partial event that are held back.
const MAX_PARTIAL_BYTES: usize = 256 * 1024;

/// Most chunks that a partial event is made of; each costs time, however small it is.
const MAX_PARTIAL_CHUNKS: usize = 4096;

/// Most bytes of comments between two new events.
const MAX_COMMENT_BYTES: usize = 64 * 1024;

/// Most bytes of repeated events between two new events.
const MAX_REPEATED_BYTES: usize = 1024 * 1024;

/// Why a server's stream can't be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// At least one event is missing before a numbered one.
    Gap,
    /// The bytes are not an event.
    Garbage,
    /// More than 256 KiB, or 4096 chunks, arrived without the end of an event.
    TooLarge,
    /// More than 64 KiB of comments, or 1 MiB of repeated events, arrived without a new event.
    Unproductive,
}

/// Where a broken stream can resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// At the start: no event has been passed on.
    Start,
    /// After the event with this number.
    After(Id),
    /// Nowhere: the last event that was passed on has no number.
    Unknown,
}

/// Result of taking a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Output {
    /// Complete events to pass on; may be empty.
    pub events: Bytes,
    /// Whether a new event is among them; comments are no events.
    pub has_event: bool,
    /// Fault found after those events, if any.
    pub fault: Option<Fault>,
}

/// Splits a server's stream into events, and checks their order.
#[derive(Clone, Debug)]
pub struct Splitter {
    partial: BytesMut,
    /// Start of the last line of the partial event, which has no end yet.
    last_line: usize,
    /// Chunks that the partial event was received in.
    partial_chunks: usize,
    unproductive: Unproductive,
    last: Option<Id>,
    point: ResumePoint,
    alignment: Alignment,
}

/// Bytes received since the last new event.
#[derive(Clone, Copy, Debug, Default)]
struct Unproductive {
    comments: usize,
    repeated: usize,
}

impl Unproductive {
    fn fault(self) -> Option<Fault> {
        let is_excessive = MAX_COMMENT_BYTES < self.comments || MAX_REPEATED_BYTES < self.repeated;
        is_excessive.then_some(Fault::Unproductive)
    }
}

/// Whether the server's next numbered event is known to follow the last one that was passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alignment {
    /// The server may repeat events from the start; events without numbers are taken for
    /// repetitions.
    Replaying,
    /// The server continues after the last event that was passed on.
    Aligned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    Numbered(Id),
    Unnumbered,
    Comment,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Pass,
    /// Passes, but is no event.
    Comment,
    Drop,
    Break(Fault),
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after an event which the caller has, or that
    /// starts at its first event.
    pub fn new(after: Option<Id>) -> Splitter {
        let alignment = if after.is_some() { Alignment::Replaying } else { Alignment::Aligned };
        Splitter {
            partial: BytesMut::new(),
            last_line: 0,
            partial_chunks: 0,
            unproductive: Unproductive::default(),
            last: after,
            point: ResumePoint::Start,
            alignment,
        }
    }

    /// Takes the next chunk of the stream.
    pub fn take(&mut self, chunk: Bytes) -> Output {
        let (buffer, mut end) = match self.partial.is_empty() {
            true => {
                let end = end_of_event(&chunk, 0, 0);
                (chunk, end)
            }
            false => {
                let searched = self.partial.len();
                self.partial.extend_from_slice(&chunk);
                let end = end_of_event(&self.partial, self.last_line, searched);
                if let Scan::Incomplete { line } = end {
                    self.last_line = line;
                    return self.hold();
                }
                (std::mem::take(&mut self.partial).freeze(), end)
            }
        };
        let mut passed = PassedEvents::default();
        let mut start = 0;
        while let Scan::Complete { end: event_end } = end {
            match self.classify(&buffer[start..event_end]) {
                Verdict::Pass => {
                    passed.push(&buffer, start, event_end);
                    passed.has_event = true;
                }
                Verdict::Comment => {
                    passed.push(&buffer, start, event_end);
                    self.unproductive.comments += event_end - start;
                }
                Verdict::Drop => self.unproductive.repeated += event_end - start,
                Verdict::Break(fault) => return passed.finish(&buffer, Some(fault)),
            }
            start = event_end;
            end = end_of_event(&buffer, start, start);
        }
        if let Scan::Incomplete { line } = end {
            self.last_line = line - start;
        }
        self.partial.extend_from_slice(&buffer[start..]);
        self.partial_chunks = 0;
        let held = self.hold();
        passed.finish(&buffer, held.fault.or(self.unproductive.fault()))
    }

    /// Holds back the partial event, unless it is too large.
    fn hold(&mut self) -> Output {
        self.partial_chunks += 1;
        let is_too_large =
            MAX_PARTIAL_BYTES < self.partial.len() || MAX_PARTIAL_CHUNKS < self.partial_chunks;
        if is_too_large {
            self.partial = BytesMut::new();
        }
        Output {
            events: Bytes::new(),
            has_event: false,
            fault: is_too_large.then_some(Fault::TooLarge),
        }
    }

    /// Takes the partial event that is held back, for a stream that is known to have ended
    /// properly.
    pub fn take_remainder(&mut self) -> Bytes {
        std::mem::take(&mut self.partial).freeze()
    }

    /// Whether a partial event is held back.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Returns where the stream can resume.
    pub fn point(&self) -> ResumePoint {
        self.point
    }

    /// Continues with another server's stream. The former server's partial event is dropped.
    pub fn switch(&mut self) {
        (self.partial, self.unproductive) = (BytesMut::new(), Unproductive::default());
        self.alignment =
            if self.last.is_some() { Alignment::Replaying } else { Alignment::Aligned };
    }

    fn classify(&mut self, event: &[u8]) -> Verdict {
        match read(event) {
            None => Verdict::Break(Fault::Garbage),
            Some(Event::Comment) => Verdict::Comment,
            Some(Event::Unnumbered) if self.alignment == Alignment::Replaying => Verdict::Drop,
            Some(Event::Unnumbered) => {
                self.point = ResumePoint::Unknown;
                self.unproductive = Unproductive::default();
                Verdict::Pass
            }
            Some(Event::Numbered(id)) => self.check_id(id),
        }
    }

    fn check_id(&mut self, id: Id) -> Verdict {
        match self.last {
            Some(last) if id <= last => return Verdict::Drop,
            Some(last) if last + 1 < id => return Verdict::Break(Fault::Gap),
            Some(_) | None => {}
        }
        self.last = Some(id);
        self.point = ResumePoint::After(id);
        self.alignment = Alignment::Aligned;
        self.unproductive = Unproductive::default();
        Verdict::Pass
    }
}

/// Events of a buffer that pass: one range, preceded by copies of earlier ranges if dropped events
/// lie between.
#[derive(Default)]
struct PassedEvents {
    has_event: bool,
    copied: BytesMut,
    start: usize,
    end: usize,
}

impl PassedEvents {
    fn push(&mut self, buffer: &[u8], start: usize, end: usize) {
        if self.end != start {
            self.copied.extend_from_slice(&buffer[self.start..self.end]);
            self.start = start;
        }
        self.end = end;
    }

    fn finish(mut self, buffer: &Bytes, fault: Option<Fault>) -> Output {
        let has_event = self.has_event;
        if self.copied.is_empty() {
            return Output { events: buffer.slice(self.start..self.end), has_event, fault };
        }
        self.copied.extend_from_slice(&buffer[self.start..self.end]);
        Output { events: self.copied.freeze(), has_event, fault }
    }
}

/// Result of looking for the end of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Scan {
    /// The event ends here, which is after its blank line.
    Complete { end: usize },
    /// The end is missing; the last line, which may be partial, starts here.
    Incomplete { line: usize },
}

/// Looks for the end of an event, from the start of one of its lines, which does not end before
/// `from`.
fn end_of_event(buffer: &[u8], mut line: usize, mut from: usize) -> Scan {
    while let Some(length) = memchr(b'\n', &buffer[from..]) {
        let end = from + length;
        let is_blank = matches!(&buffer[line..end], [] | [b'\r']);
        (line, from) = (end + 1, end + 1);
        if is_blank {
            return Scan::Complete { end: line };
        }
    }
    Scan::Incomplete { line }
}

/// Parses an event; none if the bytes are not an event.
fn read(event: &[u8]) -> Option<Event> {
    let mut kind = Event::Comment;
    let mut rest = event;
    while let Some(end) = memchr(b'\n', rest) {
        let line = &rest[..end];
        rest = &rest[end + 1..];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        match (field(line)?, kind) {
            ((b"id", value), _) => kind = Event::Numbered(parse_id(value)?),
            ((b"", _), _) | (_, Event::Numbered(_)) => {}
            (_, Event::Comment | Event::Unnumbered) => kind = Event::Unnumbered,
        }
    }
    Some(kind)
}

/// Splits a line into field and value; the field of a comment is empty.
fn field(line: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = memchr(b':', line).unwrap_or(line.len());
    let (name, value) = line.split_at(end);
    let is_name =
        name.iter().all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_'));
    let value = value.strip_prefix(b":").unwrap_or(value);
    is_name.then(|| (name, value.strip_prefix(b" ").unwrap_or(value)))
}

fn parse_id(text: &[u8]) -> Option<Id> {
    std::str::from_utf8(text).ok()?.trim().parse().ok()
}
