//! Token streams: each token once, in order, resumed by offset.
//!
//! A stream may be carried by several attempts in sequence, on different servers. Each frame names
//! its request, its attempt and its offset. Frames of another request or of an abandoned attempt,
//! and tokens that were delivered before, are dropped; a gap means that the attempt has lost a
//! token, and that another attempt must resume the stream. So the caller sees each token once, in
//! order, or one error.

use types::prelude::*;

/// Index of a token in its answer, from zero.
pub type Offset = u64;

/// Payload of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Token at this offset.
    Token(Offset),
    /// End of the answer, after this many tokens.
    End(Offset),
}

/// Frame of a stream, without its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// Request that the frame belongs to.
    pub request: &'a str,
    /// Attempt that the frame comes from.
    pub attempt: request::Attempt,
    /// Token or end of the answer.
    pub part: Part,
}

/// Reason for which a frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The frame belongs to another request.
    Stranger,
    /// The frame comes from an attempt that was abandoned.
    Late,
    /// The token was delivered before.
    Duplicate,
    /// The answer is complete already.
    AfterEnd,
}

/// Handling of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Pass the frame on to the caller.
    Deliver,
    /// The answer is complete; pass its end on.
    Finish,
    /// Drop the frame.
    Drop(Reason),
    /// A token is missing before the frame: abandon the attempt, and resume.
    Gap,
}

/// Answer that is being streamed to the caller.
#[derive(Clone, Debug)]
pub struct Stream {
    request: request::Id,
    attempt: request::Attempt,
    next: Offset,
    ended: bool,
}

impl Stream {
    /// Returns a stream before its first token, carried by attempt zero.
    pub fn new(request: request::Id) -> Stream {
        Stream { request, attempt: 0, next: 0, ended: false }
    }

    /// Offset of the next token to deliver, which equals the number of tokens delivered.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Attempt that carries the stream now.
    pub fn attempt(&self) -> request::Attempt {
        self.attempt
    }

    /// Whether the end of the answer was delivered.
    pub fn is_complete(&self) -> bool {
        self.ended
    }

    /// Starts a new attempt, which begins at [`Stream::next`], and returns its number.
    pub fn begin_attempt(&mut self) -> request::Attempt {
        self.attempt += 1;
        self.attempt
    }

    /// Decides about a frame, and advances the stream if the frame is to be passed on.
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
