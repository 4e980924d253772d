//! The body of a call to a plain service, sent to one server or, after failures, to several.
//!
//! A short body is buffered, so that it can be sent again. A long one is streamed through; attempts
//! share it, and it stays unread until an attempt reads from it, so that an unreachable server
//! costs nothing.

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

/// Length up to which a body is buffered.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Body of a call to a plain service.
pub(super) enum Upload {
    /// Read completely before the first attempt.
    Buffered(Bytes),
    /// Streamed through to the server.
    Streamed(SharedBody),
}

impl Upload {
    /// Reads a short body; leaves a long one unread.
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
            .map_err(|_| Problem::new(Kind::BadRequest, "the request body ended early"))
    }

    /// Returns the body for one attempt.
    pub(super) fn body(&self) -> ::backend::Body {
        match self {
            Upload::Buffered(bytes) => ::backend::full_body(bytes.clone()),
            Upload::Streamed(body) => body.clone().boxed_unsync(),
        }
    }

    /// Returns whether the body can be sent again.
    pub(super) fn state(&self) -> retry::Body {
        match self {
            Upload::Buffered(_) => retry::Body::Buffered,
            Upload::Streamed(body) if body.phase() == Phase::Unread => retry::Body::Buffered,
            Upload::Streamed(_) => retry::Body::Consumed,
        }
    }

    /// Whether reading the body from the caller failed.
    pub(super) fn is_broken(&self) -> bool {
        matches!(self, Upload::Streamed(body) if body.phase() == Phase::Failed)
    }

    /// Whether the body is streamed and its end has not been read yet.
    pub(super) fn is_unfinished(&self) -> bool {
        matches!(self, Upload::Streamed(body) if body.phase() != Phase::Finished)
    }
}

/// A streamed body shared by consecutive attempts.
#[derive(Clone)]
pub(super) struct SharedBody(Arc<Mutex<Source>>);

struct Source {
    body: TimeoutBody<Body>,
    phase: Phase,
}

/// Progress of reading a body.
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
