//! The body of a response to a caller.

mod events;
mod timer;

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use policy::{dispatch::Unclear, event::Fault};

use crate::attempt::AttemptEnd;

pub(crate) use self::{
    events::{Events, Resume},
    timer::StreamTimer,
};

/// Why a body ends before it is complete.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Cut {
    /// The connection to the server failed.
    #[error("the connection to the server failed: {0}")]
    Server(#[from] hyper::Error),
    /// The server closed the connection in the middle of an event.
    #[error("the server closed the connection in the middle of an event")]
    PartialEvent,
    /// The server's events are malformed or not the ones that follow.
    #[error("the server's events can't be passed on: {0:?}")]
    Fault(Fault),
    /// The server sent nothing for too long.
    #[error("the server has sent nothing for too long")]
    Silence,
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    Time,
}

impl Cut {
    /// Returns the reason as it is written to logs.
    pub(crate) fn as_str(&self) -> &'static str {
        match self {
            Cut::Server(_) => "server-cut",
            Cut::PartialEvent => "half-an-event",
            Cut::Fault(_) => "bad-event",
            Cut::Silence => "silence",
            Cut::Time => "deadline",
        }
    }

    /// Returns the end of the attempt that this implies.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            Cut::Server(_) | Cut::PartialEvent => AttemptEnd::Unclear(Unclear::Cut),
            Cut::Fault(_) => AttemptEnd::Unclear(Unclear::Garbled),
            Cut::Silence => AttemptEnd::Unclear(Unclear::Silent),
            // The deadline passed, which is no evidence against the server.
            Cut::Time => AttemptEnd::Cancelled,
        }
    }
}

/// The body of a response to a caller.
pub(crate) enum Delivery {
    /// A complete body.
    Complete(Full<Bytes>),
    /// A stream of events, passed on as they arrive.
    Events(Box<Events>),
}

impl Delivery {
    pub(crate) fn complete(body: Bytes) -> Delivery {
        Delivery::Complete(Full::new(body))
    }
}

impl Body for Delivery {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Delivery::Complete(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Delivery::Events(events) => events.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Delivery::Complete(body) => body.is_end_stream(),
            Delivery::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Delivery::Complete(body) => body.size_hint(),
            // The stream may continue at another server and have another length.
            Delivery::Events(_) => SizeHint::default(),
        }
    }
}
