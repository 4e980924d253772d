//! A body that fails if no frame arrives within a time limit.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// No frame arrived within this limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no data received for {0:?}")]
pub struct IdleTimeout(pub Duration);

/// A body with a limit on the time between its frames.
pub struct TimeoutBody<B> {
    body: B,
    limit: Duration,
    timer: Pin<Box<Sleep>>,
    is_waiting: bool,
}

impl<B> TimeoutBody<B> {
    /// Wraps a body. Only time during which a frame is polled for counts.
    pub fn new(body: B, limit: Duration) -> TimeoutBody<B> {
        let timer = Box::pin(tokio::time::sleep(limit));
        TimeoutBody { body, limit, timer, is_waiting: false }
    }
}

impl<B> Body for TimeoutBody<B>
where
    B: Body<Data = Bytes> + Unpin,
    B::Error: Into<BoxError>,
{
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(context) {
            self.is_waiting = false;
            return Poll::Ready(frame.map(|frame| frame.map_err(Into::into)));
        }
        if !std::mem::replace(&mut self.is_waiting, true) {
            let deadline = Instant::now() + self.limit;
            self.timer.as_mut().reset(deadline);
        }
        match self.timer.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Some(Err(IdleTimeout(self.limit).into()))),
            Poll::Pending => Poll::Pending,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
