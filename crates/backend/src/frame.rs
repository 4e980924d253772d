//! Token streams, parsed from server-sent events.

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
        /// Position of the token in the response, from 0.
        offset: u64,
        /// Id of the request that the event belongs to, if stated.
        request: Option<String>,
        /// Reason why the engine finished, if it marks the token as the last one.
        finish: Option<String>,
        /// Data of the event, forwarded unchanged.
        data: String,
    },
    /// End of the response.
    Done,
}

/// Failure of a stream before its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("stream failed: {0}")]
    Broken(String),
    /// No event arrived for this long.
    #[error("no event of the stream arrived for {0:?}")]
    Silent(Duration),
    /// An event can't be parsed.
    #[error("malformed event in stream: {0}")]
    Malformed(String),
}

/// Reads frames from the body of a response. The end or a failure of the body ends the stream; an
/// event that can't be parsed gives an error in its place.
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

/// Parses one event from its id and data.
///
/// # Errors
///
/// [`Error::Malformed`] if the id is not an offset or the data is not a JSON object.
pub fn parse(id: Option<&str>, data: String) -> Result<Frame, Error> {
    if data == wire::DONE {
        return Ok(Frame::Done);
    }
    let offset = id
        .and_then(|id| id.parse().ok())
        .ok_or_else(|| Error::Malformed(format!("event id {id:?}")))?;
    if !data.starts_with('{') {
        return Err(Error::Malformed("data is not a JSON object".into()));
    }
    match serde_json::from_str::<Chunk>(&data) {
        Ok(chunk) => {
            let finish = chunk.choices.into_iter().find_map(|choice| choice.finish_reason);
            Ok(Frame::Token { offset, request: chunk.id, finish, data })
        }
        Err(error) => Err(Error::Malformed(error.to_string())),
    }
}

/// Fields that are parsed of an event's data; the whole data is forwarded unchanged.
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
