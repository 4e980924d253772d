//! Token streams from server-sent events.

use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http_body::Body;
use serde::Deserialize;
use sse_stream::SseStream;

use crate::wire;

/// One event of a token stream.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// A token.
    Token {
        /// Its place in the answer, from zero.
        offset: u64,
        /// The request that the event says it is for, if it says one.
        request: Option<String>,
        /// Whether the engine says that it is the last one, and why.
        finish: Option<String>,
        /// The event's data, passed on as it is.
        data: String,
    },
    /// The end of the answer.
    Done,
}

/// What ends a stream before its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection broke.
    #[error("stream broke: {0}")]
    Broken(String),
    /// Nothing came for this long.
    #[error("stream was silent for {0:?}")]
    Silent(Duration),
    /// An event can't be understood.
    #[error("stream holds nonsense: {0}")]
    Malformed(String),
}

/// Reads frames from an answer's body; ends after the first error or the end of the body.
pub fn read<B>(body: B) -> impl Stream<Item = Result<Frame, Error>> + Send
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    SseStream::new(body).filter_map(async |event| match event {
        Err(error) => Some(Err(Error::Broken(error.to_string()))),
        Ok(event) => {
            let data = event.data?;
            Some(parse(event.id.as_deref(), data))
        }
    })
}

/// Reads one event.
///
/// # Errors
///
/// [`Error::Malformed`] if the id is no offset or the data is no JSON object.
pub fn parse(id: Option<&str>, data: String) -> Result<Frame, Error> {
    if data == wire::DONE {
        return Ok(Frame::Done);
    }
    let offset = id
        .and_then(|id| id.parse().ok())
        .ok_or_else(|| Error::Malformed(format!("event id {id:?}")))?;
    if !data.starts_with('{') {
        return Err(Error::Malformed("data is no object".into()));
    }
    match serde_json::from_str::<Chunk>(&data) {
        Ok(chunk) => {
            let finish = chunk.choices.into_iter().find_map(|choice| choice.finish_reason);
            Ok(Frame::Token { offset, request: chunk.id, finish, data })
        }
        Err(error) => Err(Error::Malformed(error.to_string())),
    }
}

/// What is read of an event's data; the rest is passed on unread.
#[derive(Deserialize)]
struct Chunk {
    id: Option<String>,
    #[serde(default)]
    choices: Vec<Choice>,
}

#[derive(Deserialize)]
struct Choice {
    finish_reason: Option<String>,
}
