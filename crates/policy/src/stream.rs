//! Token streams: each token once, in order, resumed by offset.
//!
//! A stream may be carried by several attempts, one after the other, on different servers. Each
//! frame names its request, its attempt and its offset. What does not belong to the request, comes
//! from an attempt that was given up, or was delivered before is dropped; a gap means that the
//! attempt has lost something and must be resumed. So the caller sees each token once, in order,
//! or one error.

use types::prelude::*;

/// Place of a token in its answer, from zero.
pub type Offset = u64;

/// What a frame of a stream carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The token at this offset.
    Token(Offset),
    /// The end of the answer, after this many tokens.
    End(Offset),
}

/// A frame of a stream, without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The request that it is for.
    pub request: &'a str,
    /// The attempt that it comes from.
    pub attempt: request::Attempt,
    /// What it carries.
    pub part: Part,
}

/// Why a frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// It is for another request.
    Stranger,
    /// It comes from an attempt that was given up.
    Late,
    /// Its token was delivered before.
    Duplicate,
    /// The answer is already whole.
    AfterEnd,
}

/// What to do with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass it on to the caller.
    Deliver,
    /// The answer is whole; pass the end on.
    Finish,
    /// Do nothing.
    Drop(Reason),
    /// Something is missing before it: give the attempt up, and resume.
    Gap,
}

/// One answer on its way to the caller.
#[derive(Clone, Debug)]
pub struct Stream {
    request: request::Id,
    attempt: request::Attempt,
    next: Offset,
    ended: bool,
}

impl Stream {
    /// Before the first token, carried by attempt zero.
    pub fn new(request: request::Id) -> Stream {
        Stream { request, attempt: 0, next: 0, ended: false }
    }

    /// Offset of the next token to deliver, which is the number of those delivered.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// The attempt that carries the stream.
    pub fn attempt(&self) -> request::Attempt {
        self.attempt
    }

    /// Whether the answer is whole.
    pub fn is_whole(&self) -> bool {
        self.ended
    }

    /// Goes over to a new attempt, which starts at [`Stream::next`]; gives its number.
    pub fn begin_attempt(&mut self) -> request::Attempt {
        self.attempt += 1;
        self.attempt
    }

    /// Judges a frame, and counts it if it is to be passed on.
    pub fn take(&mut self, frame: &Frame<'_>) -> Verdict {
        if *frame.request != *self.request {
            return Verdict::Drop(Reason::Stranger);
        }
        if frame.attempt != self.attempt {
            return Verdict::Drop(Reason::Late);
        }
        if self.ended {
            return Verdict::Drop(Reason::AfterEnd);
        }
        match frame.part {
            Part::Token(offset) if offset < self.next => Verdict::Drop(Reason::Duplicate),
            Part::Token(offset) if offset == self.next => {
                self.next += 1;
                Verdict::Deliver
            }
            Part::End(tokens) if tokens == self.next => {
                self.ended = true;
                Verdict::Finish
            }
            Part::Token(_) | Part::End(_) => Verdict::Gap,
        }
    }
}
