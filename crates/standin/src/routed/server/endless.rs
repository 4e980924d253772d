//! Answers that never end, sent until the caller closes the connection.

use std::{io, time::Duration};

use http::{HeaderValue, Response, header};
use tokio::time::sleep;

use crate::routed::wire::{self, Connection, Framing};

/// Bytes sent between two pauses if there are pauses, and otherwise between two writes.
const DRIP_BYTES: usize = 1;
const FLOOD_BYTES: usize = 16 * 1024;

/// The part of an answer that never ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// A header field.
    Head,
    /// Interim responses before the head.
    Interim,
    /// A body with a length that is never reached.
    Length,
    /// A body without length or chunks.
    Unframed,
    /// Chunks of one byte each; of a stream, they make up one event.
    Chunks,
    /// The extension of a chunk.
    Extension,
    /// The trailer fields after a body.
    Trailers,
    /// Comments in a stream, one a chunk.
    Comments,
}

impl Endless {
    /// Whether the head of the answer is never complete.
    pub(super) fn is_before_head_end(self) -> bool {
        matches!(self, Endless::Head | Endless::Interim)
    }

    /// Sends the answer until the caller closes the connection.
    pub(super) async fn send(
        self,
        connection: &mut Connection,
        head: &Response<bytes::Bytes>,
        pause: Duration,
    ) -> io::Result<()> {
        connection.write_raw(&self.start(head)).await?;
        let filler = self.filler(pause);
        loop {
            connection.write_raw(&filler).await?;
            if !pause.is_zero() {
                tokio::select! {
                    () = sleep(pause) => {}
                    () = connection.closed() => return Ok(()),
                }
            }
        }
    }

    fn start(self, head: &Response<bytes::Bytes>) -> Vec<u8> {
        const MAX_LENGTH: u64 = 1 << 40;
        match self {
            Endless::Head => b"HTTP/1.1 200 OK\r\nx-filler: ".to_vec(),
            Endless::Interim => Vec::new(),
            Endless::Length => {
                let mut head = head.clone();
                head.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(MAX_LENGTH));
                wire::encode_head(&head, Framing::Given)
            }
            Endless::Unframed => wire::encode_head(head, Framing::End),
            Endless::Chunks | Endless::Comments => wire::encode_head(head, Framing::Chunks),
            Endless::Extension => [wire::encode_head(head, Framing::Chunks), b"1;".into()].concat(),
            Endless::Trailers => {
                [wire::encode_head(head, Framing::Chunks), b"0\r\n".into()].concat()
            }
        }
    }

    fn filler(self, pause: Duration) -> Vec<u8> {
        let unit: &[u8] = match self {
            Endless::Head | Endless::Length | Endless::Unframed | Endless::Extension => b"a",
            Endless::Interim => b"HTTP/1.1 103 Early Hints\r\n\r\n",
            Endless::Chunks => b"1\r\na\r\n",
            Endless::Trailers => b"x: y\r\n",
            Endless::Comments => b"4\r\n: \n\n\r\n",
        };
        let bytes = if pause.is_zero() { FLOOD_BYTES } else { DRIP_BYTES };
        unit.repeat(bytes.div_ceil(unit.len()))
    }
}
