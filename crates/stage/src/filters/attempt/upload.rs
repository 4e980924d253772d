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
    idle::TimeoutBody,
    problem::{Kind, Problem},
};

/// Longest body that is held.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// The body of a call.
pub(super) enum Upload {
    /// The host has all of it.
    Buffered(Bytes),
    /// It is streamed through.
    Streamed(SharedBody),
}

impl Upload {
    /// Reads a short body, and leaves a long one.
    pub(super) async fn read(body: Body, idle: Duration) -> Result<Upload, Problem> {
        let is_short = body.size_hint().exact().is_some_and(|length| length <= MAX_BUFFERED_BYTES);
        let body = TimeoutBody::new(body, idle);
        if !is_short {
            let source = Source { body, phase: Phase::Unread };
            return Ok(Upload::Streamed(SharedBody(Arc::new(Mutex::new(source)))));
        }
        let bytes = to_bytes(Body::new(body), MAX_BUFFERED_BYTES as usize).await;
        bytes
            .map(Upload::Buffered)
            .map_err(|_| Problem::new(Kind::BadRequest, "the body broke off"))
    }

    /// The body for one attempt.
    pub(super) fn body(&self) -> ::backend::Body {
        match self {
            Upload::Buffered(bytes) => ::backend::whole(bytes.clone()),
            Upload::Streamed(body) => body.clone().boxed_unsync(),
        }
    }

    /// Whether it can be sent again.
    pub(super) fn state(&self) -> retry::Body {
        match self {
            Upload::Buffered(_) => retry::Body::Buffered,
            Upload::Streamed(body) if body.phase() == Phase::Unread => retry::Body::Buffered,
            Upload::Streamed(_) => retry::Body::Consumed,
        }
    }

    /// Whether the caller's side of it broke off.
    pub(super) fn is_broken(&self) -> bool {
        matches!(self, Upload::Streamed(body) if body.phase() == Phase::Failed)
    }

    /// Whether a part of it has been passed on and a part is still to come.
    pub(super) fn is_unfinished(&self) -> bool {
        matches!(self, Upload::Streamed(body) if body.phase() != Phase::Finished)
    }
}

/// A body that one attempt after another may read.
#[derive(Clone)]
pub(super) struct SharedBody(Arc<Mutex<Source>>);

struct Source {
    body: TimeoutBody<Body>,
    phase: Phase,
}

/// How far a body has been read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Unread,
    Started,
    Finished,
    Failed,
}

impl SharedBody {
    fn phase(&self) -> Phase {
        self.lock().phase
    }

    fn lock(&self) -> MutexGuard<'_, Source> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl http_body::Body for SharedBody {
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
            Poll::Ready(None) => source.phase = Phase::Finished,
            Poll::Ready(Some(Ok(_))) => source.phase = Phase::Started,
            Poll::Ready(Some(Err(_))) => source.phase = Phase::Failed,
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
