//! Bodies of responses to callers: complete ones, and streams of events.

mod events;
mod timer;

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use observe::metrics::routed::{Break, Obstacle};
use policy::{dispatch::Unclear, event::Fault};

use crate::{attempt::AttemptEnd, body};

pub(crate) use self::{
    events::{Events, ResumePolicy},
    timer::StreamTimer,
};

/// Why a stream ends early although its caller has a part of it. A caller in this position can't be
/// told to retry, so there is no other reason.
#[derive(Debug, thiserror::Error)]
pub(crate) enum End {
    /// The deadline of the request has passed.
    #[error("the deadline of the request has passed")]
    Deadline,
    /// The caller's key has been removed, and running requests don't outlive their keys.
    #[error("the caller's key has been removed")]
    Revoked,
    /// The time that this host has for a planned stop has passed.
    #[error("the host has stopped")]
    Stopping,
    /// The server has failed, and no other one can continue the stream.
    #[error("{0}, and no other server can continue the stream: {cause}", cause = .1.as_str())]
    Failed(StreamError, Obstacle),
}

impl End {
    /// Returns the reason for logs and metrics.
    pub(crate) fn reason(&self) -> Break {
        match self {
            End::Deadline => Break::Deadline,
            End::Revoked => Break::Revoked,
            End::Stopping => Break::Stopping,
            End::Failed(error, _) => error.reason(),
        }
    }

    /// Returns what keeps the host from asking a further server.
    pub(crate) fn obstacle(&self) -> Obstacle {
        match self {
            End::Deadline => Obstacle::Deadline,
            End::Revoked => Obstacle::Revoked,
            End::Stopping => Obstacle::Stopping,
            End::Failed(_, obstacle) => *obstacle,
        }
    }

    /// Returns how the attempts in flight end.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            // None of these is evidence against the server.
            End::Deadline | End::Revoked | End::Stopping => AttemptEnd::Cancelled,
            End::Failed(error, _) => error.attempt_end(),
        }
    }
}

/// Why the stream of a server can't be used any further.
#[derive(Debug, thiserror::Error)]
pub(crate) enum StreamError {
    /// The connection to the server failed.
    #[error("the connection to the server failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The server closed the connection in the middle of an event.
    #[error("the server closed the connection in the middle of an event")]
    PartialEvent,
    /// An event of the server is malformed or too large, or an event before it is missing.
    #[error("the server's events can't be passed on: {0:?}")]
    Fault(Fault),
    /// The server sent nothing for too long, and another one is at work on the stream.
    #[error("the server has sent nothing for too long")]
    Silence,
}

impl StreamError {
    /// Returns the reason for logs and metrics.
    pub(crate) fn reason(&self) -> Break {
        match self {
            StreamError::Connection(_) => Break::ServerCut,
            StreamError::PartialEvent => Break::PartialEvent,
            StreamError::Fault(Fault::TooLarge | Fault::Unproductive) => Break::Endless,
            StreamError::Fault(Fault::Gap | Fault::Garbage) => Break::BadEvent,
            StreamError::Silence => Break::Silence,
        }
    }

    /// Returns how the attempt ends that fails with this error.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            StreamError::Connection(error) => AttemptEnd::Unclear(body::failure(error)),
            StreamError::PartialEvent => AttemptEnd::Unclear(Unclear::Cut),
            StreamError::Fault(Fault::TooLarge | Fault::Unproductive) => {
                AttemptEnd::Unclear(Unclear::Endless)
            }
            StreamError::Fault(Fault::Gap | Fault::Garbage) => {
                AttemptEnd::Unclear(Unclear::Garbled)
            }
            StreamError::Silence => AttemptEnd::Unclear(Unclear::Silent),
        }
    }
}

/// The body of a response to a caller.
pub(crate) enum ResponseBody {
    /// A complete body.
    Complete(Full<Bytes>),
    /// A stream of events, passed on as they arrive.
    Events(Box<Events>),
}

impl ResponseBody {
    pub(crate) fn complete(body: Bytes) -> ResponseBody {
        ResponseBody::Complete(Full::new(body))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = End;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, End>>> {
        match self.get_mut() {
            ResponseBody::Complete(body) => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            ResponseBody::Events(events) => events.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Complete(body) => body.is_end_stream(),
            ResponseBody::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Complete(body) => body.size_hint(),
            // The stream may continue at another server and have another length.
            ResponseBody::Events(_) => SizeHint::default(),
        }
    }
}
