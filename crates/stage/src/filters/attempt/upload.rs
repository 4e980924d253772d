//! The body of a call to a plain service, on its way to one server or, if need be, several.
//!
//! A short body is held, so that it can be sent again. A long one is streamed through; it is lent
//! to an attempt and stays whole until the attempt reads from it, so that a server that can't be
//! reached costs nothing.

use std::{
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard},
    task::{Context, Poll},
    time::Duration,
};

use ::backend::BodyError;
use axum::body::{Body, to_bytes};
use bytes::Bytes;
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt;
use policy::retry;

use crate::{
    idle::Guarded,
    problem::{Kind, Problem},
};

/// Longest body that is held.
const HELD_BYTES: u64 = 64 * 1024;

/// The body of a call.
pub(super) enum Upload {
    /// The host has all of it.
    Held(Bytes),
    /// It is streamed through.
    Streamed(Lent),
}

impl Upload {
    /// Reads a short body, and leaves a long one.
    pub(super) async fn read(body: Body, idle: Duration) -> Result<Upload, Problem> {
        let is_short = body.size_hint().exact().is_some_and(|length| length <= HELD_BYTES);
        let body = Guarded::new(body, idle);
        if !is_short {
            let source = Source { body, phase: Phase::Whole };
            return Ok(Upload::Streamed(Lent(Arc::new(Mutex::new(source)))));
        }
        let bytes = to_bytes(Body::new(body), HELD_BYTES as usize).await;
        bytes.map(Upload::Held).map_err(|_| Problem::new(Kind::BadRequest, "the body broke off"))
    }

    /// The body for one attempt.
    pub(super) fn body(&self) -> ::backend::Body {
        match self {
            Upload::Held(bytes) => ::backend::full_body(bytes.clone()),
            Upload::Streamed(lent) => lent.clone().boxed_unsync(),
        }
    }

    /// Whether it can be sent again.
    pub(super) fn state(&self) -> retry::Body {
        match self {
            Upload::Held(_) => retry::Body::Buffered,
            Upload::Streamed(lent) if lent.phase() == Phase::Whole => retry::Body::Buffered,
            Upload::Streamed(_) => retry::Body::Consumed,
        }
    }

    /// Whether the caller's side of it broke off.
    pub(super) fn is_broken(&self) -> bool {
        matches!(self, Upload::Streamed(lent) if lent.phase() == Phase::Broken)
    }

    /// Whether a part of it has been passed on and a part is still to come.
    pub(super) fn is_unfinished(&self) -> bool {
        matches!(self, Upload::Streamed(lent) if lent.phase() != Phase::Over)
    }
}

/// A body that one attempt after another may read.
#[derive(Clone)]
pub(super) struct Lent(Arc<Mutex<Source>>);

struct Source {
    body: Guarded<Body>,
    phase: Phase,
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Whole,
    Begun,
    Over,
    Broken,
}

impl Lent {
    fn phase(&self) -> Phase {
        self.lock().phase
    }

    fn lock(&self) -> MutexGuard<'_, Source> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl http_body::Body for Lent {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let mut source = self.lock();
        let frame = Pin::new(&mut source.body).poll_frame(context);
        match &frame {
            Poll::Pending => {}
            Poll::Ready(None) => source.phase = Phase::Over,
            Poll::Ready(Some(Ok(_))) => source.phase = Phase::Begun,
            Poll::Ready(Some(Err(_))) => source.phase = Phase::Broken,
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.lock().body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.lock().body.size_hint()
    }
}
