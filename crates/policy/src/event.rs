//! Numbered events of a stream: each whole, once and in order.
//!
//! A server's stream of events (`text/event-stream`) comes in pieces of any size. A [`Splitter`]
//! gives out whole events only and holds back a half one, so that a stream which breaks can go on
//! at another server after the last whole event. What was given out before is dropped; a gap or
//! bytes that are no event end what this server may give.
//!
//! Pieces in which all events may pass go through without a copy.

use bytes::{Bytes, BytesMut};
use memchr::memchr;

/// Number of an event within its stream.
pub type Id = u64;

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Why a server's stream can't be used further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Something is missing before an event.
    Gap,
    /// The bytes are no event.
    Garbage,
    /// An event is too large.
    TooLarge,
}

/// Where a stream that breaks off could go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumePoint {
    /// Nothing has been given out.
    Start,
    /// After this event.
    After(Id),
    /// An event without a number has been given out.
    Unknown,
}

/// What a piece comes to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Taken {
    /// Whole events to pass on; may be empty.
    pub events: Bytes,
    /// What is wrong after them.
    pub fault: Option<Fault>,
}

/// A stream's events on their way.
#[derive(Clone, Debug)]
pub struct Splitter {
    partial: Bytes,
    last: Option<Id>,
    point: ResumePoint,
    alignment: Alignment,
}

/// Whether the server's next numbered event is known to follow what was given out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Alignment {
    /// The server begins; events without numbers belong before it.
    Replaying,
    /// The server goes on where it should.
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
    /// A stream that begins after an event which the caller has, or at its first.
    pub fn new(after: Option<Id>) -> Splitter {
        let alignment = if after.is_some() { Alignment::Replaying } else { Alignment::Aligned };
        Splitter { partial: Bytes::new(), last: after, point: ResumePoint::Start, alignment }
    }

    /// Takes a piece as it comes.
    pub fn take(&mut self, piece: Bytes) -> Taken {
        let buffer = self.join(piece);
        let mut passed = Passed::default();
        let mut start = 0;
        while let Some(end) = end_of_event(&buffer, start) {
            match self.classify(&buffer[start..end]) {
                Verdict::Pass => passed.push(&buffer, start, end),
                Verdict::Drop => {}
                Verdict::Break(fault) => {
                    return Taken { events: passed.finish(&buffer), fault: Some(fault) };
                }
            }
            start = end;
        }
        let fault = (MAX_EVENT_BYTES < buffer.len() - start).then_some(Fault::TooLarge);
        self.partial = if fault.is_none() { buffer.slice(start..) } else { Bytes::new() };
        Taken { events: passed.finish(&buffer), fault }
    }

    /// Gives out what is held back; for a stream whose end is known to be its true one.
    pub fn take_remainder(&mut self) -> Bytes {
        std::mem::take(&mut self.partial)
    }

    /// Whether a half event is held back.
    pub fn has_partial_event(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Where the stream could go on.
    pub fn point(&self) -> ResumePoint {
        self.point
    }

    /// Another server goes on: the half event of the one before is dropped.
    pub fn switch(&mut self) {
        self.partial = Bytes::new();
        self.alignment =
            if self.last.is_some() { Alignment::Replaying } else { Alignment::Aligned };
    }

    fn join(&mut self, piece: Bytes) -> Bytes {
        if self.partial.is_empty() {
            return piece;
        }
        let partial = std::mem::take(&mut self.partial);
        let mut joined = BytesMut::with_capacity(partial.len() + piece.len());
        joined.extend_from_slice(&partial);
        joined.extend_from_slice(&piece);
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

/// Events of a buffer that pass: one range, and copies of earlier ones if some between are dropped.
#[derive(Default)]
struct Passed {
    copied: BytesMut,
    start: usize,
    end: usize,
}

impl Passed {
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

/// The end of the event that begins at `start`: after its blank line.
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

/// Reads an event; `None` if it is none.
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

/// A line's field and value; a comment's field is empty.
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
