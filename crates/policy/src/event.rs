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

/// Why a server's stream can't be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// At least one event is missing before a numbered one.
    Gap,
    /// The bytes are not an event.
    Garbage,
    /// More than 256 KiB arrived without the end of an event.
    TooLarge,
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
    /// Fault found after those events, if any.
    pub fault: Option<Fault>,
}

/// Splits a server's stream into events, and checks their order.
#[derive(Clone, Debug)]
pub struct Splitter {
    partial: Bytes,
    last: Option<Id>,
    point: ResumePoint,
    alignment: Alignment,
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
    Drop,
    Break(Fault),
}

impl Splitter {
    /// Creates a splitter for a stream that resumes after an event which the caller has, or that
    /// starts at its first event.
    pub fn new(after: Option<Id>) -> Splitter {
        let alignment = if after.is_some() { Alignment::Replaying } else { Alignment::Aligned };
        Splitter { partial: Bytes::new(), last: after, point: ResumePoint::Start, alignment }
    }

    /// Takes the next chunk of the stream.
    pub fn take(&mut self, chunk: Bytes) -> Output {
        let buffer = self.join(chunk);
        let mut passed = PassedEvents::default();
        let mut start = 0;
        while let Some(end) = end_of_event(&buffer, start) {
            match self.classify(&buffer[start..end]) {
                Verdict::Pass => passed.push(&buffer, start, end),
                Verdict::Drop => {}
                Verdict::Break(fault) => {
                    return Output { events: passed.finish(&buffer), fault: Some(fault) };
                }
            }
            start = end;
        }
        let fault = (MAX_PARTIAL_BYTES < buffer.len() - start).then_some(Fault::TooLarge);
        self.partial = if fault.is_none() { buffer.slice(start..) } else { Bytes::new() };
        Output { events: passed.finish(&buffer), fault }
    }

    /// Takes the partial event that is held back, for a stream that is known to have ended
    /// properly.
    pub fn take_remainder(&mut self) -> Bytes {
        std::mem::take(&mut self.partial)
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
        self.partial = Bytes::new();
        self.alignment =
            if self.last.is_some() { Alignment::Replaying } else { Alignment::Aligned };
    }

    fn join(&mut self, chunk: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return chunk;
        }
        let partial = std::mem::take(&mut self.partial);
        let mut joined = BytesMut::with_capacity(partial.len() + chunk.len());
        joined.extend_from_slice(&partial);
        joined.extend_from_slice(&chunk);
        joined.freeze()
    }

    fn classify(&mut self, event: &[u8]) -> Verdict {
        match read(event) {
            None => Verdict::Break(Fault::Garbage),
            Some(Event::Comment) => Verdict::Pass,
            Some(Event::Unnumbered) if self.alignment == Alignment::Replaying => Verdict::Drop,
            Some(Event::Unnumbered) => {
                self.point = ResumePoint::Unknown;
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
        Verdict::Pass
    }
}

/// Events of a buffer that pass: one range, preceded by copies of earlier ranges if dropped events
/// lie between.
#[derive(Default)]
struct PassedEvents {
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

    fn finish(mut self, buffer: &Bytes) -> Bytes {
        if self.copied.is_empty() {
            return buffer.slice(self.start..self.end);
        }
        self.copied.extend_from_slice(&buffer[self.start..self.end]);
        self.copied.freeze()
    }
}

/// Returns the end of the event that starts at `start`, which is after its blank line.
fn end_of_event(buffer: &[u8], start: usize) -> Option<usize> {
    let mut line = start;
    loop {
        let end = line + memchr(b'\n', &buffer[line..])?;
        let is_blank = matches!(&buffer[line..end], [] | [b'\r']);
        line = end + 1;
        if is_blank {
            return Some(line);
        }
    }
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
