//! Counts what becomes of each call, to the end of its answer.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context as Task, Poll},
};

use axum::{
    body::{Body, Bytes, HttpBody},
    extract::{Request, State},
    middleware::Next,
    response::Response,
};
use http_body::{Frame, SizeHint};

use crate::{context::Context, problem::Problem, tally::Tally};

/// Gives each call its [`Tally`] and follows its answer.
pub async fn filter(
    State(context): State<Arc<Context>>,
    mut request: Request,
    next: Next,
) -> Response {
    let tally = Tally::new(context);
    request.extensions_mut().insert(tally.clone());
    let response = next.run(request).await;
    match response.extensions().get::<Problem>() {
        Some(problem) => tally.failed(problem),
        None => tally.head(),
    }
    response.map(|inner| Body::new(Followed { inner, tally }))
}

/// An answer's body that tells the tally of its end.
struct Followed {
    inner: Body,
    tally: Tally,
}

impl HttpBody for Followed {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Task<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(task);
        match &polled {
            Poll::Ready(Some(Ok(_))) if self.inner.is_end_stream() => {
                // A body of known length may not be asked again after its last piece.
                self.tally.complete();
            }
            Poll::Ready(None) => self.tally.complete(),
            _ => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
