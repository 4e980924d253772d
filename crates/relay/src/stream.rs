//! The body of an answer to a caller.

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

/// Why a body is cut.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Cut {
    /// The server broke off.
    #[error("the server broke off: {0}")]
    Server(#[from] hyper::Error),
    /// The server's connection ended in the middle of an event.
    #[error("the server ended in the middle of an event")]
    PartialEvent,
    /// What the server sent is not what follows.
    #[error("the server's events can't be passed on: {0:?}")]
    Fault(Fault),
    /// The server has fallen silent.
    #[error("the server has fallen silent")]
    Silence,
    /// The request's time is over.
    #[error("the request's time is over")]
    Time,
}

impl Cut {
    /// Its stable word.
    pub(crate) fn word(&self) -> &'static str {
        match self {
            Cut::Server(_) => "server-cut",
            Cut::PartialEvent => "half-an-event",
            Cut::Fault(_) => "bad-event",
            Cut::Silence => "silence",
            Cut::Time => "deadline",
        }
    }

    /// What it tells of the server.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            Cut::Server(_) | Cut::PartialEvent => AttemptEnd::Unclear(Unclear::Cut),
            Cut::Fault(_) => AttemptEnd::Unclear(Unclear::Garbled),
            Cut::Silence => AttemptEnd::Unclear(Unclear::Silent),
            // Its time was over, which says nothing of the server.
            Cut::Time => AttemptEnd::Cancelled,
        }
    }
}

/// The body of an answer to a caller.
pub(crate) enum Delivery {
    /// Whole already.
    Whole(Full<Bytes>),
    /// Events as they come.
    Events(Box<Events>),
}

impl Delivery {
    pub(crate) fn whole(body: Bytes) -> Delivery {
        Delivery::Whole(Full::new(body))
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
            Delivery::Whole(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Delivery::Events(events) => events.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Delivery::Whole(body) => body.is_end_stream(),
            Delivery::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Delivery::Whole(body) => body.size_hint(),
            // Another server's events may come to another length.
            Delivery::Events(_) => SizeHint::default(),
        }
    }
}
