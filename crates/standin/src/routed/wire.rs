//! HTTP/1.1 at the level of bytes, so that a stand-in can also break it.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
};

/// Most header fields of a request.
const FIELDS: usize = 128;

/// Longest line that gives the size of a chunk, and what ends a chunk.
const CRLF: &[u8] = b"\r\n";

const BIND_TRIES: u32 = 100;
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// A listener on loopback; it ends, with its connections, when dropped.
#[derive(Debug)]
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    accepting: AbortHandle,
}

impl Listener {
    /// Serves each connection by `serve`, waiting a little for an earlier owner of the address.
    pub(super) async fn start_at<F, S>(address: SocketAddr, serve: S) -> io::Result<Listener>
    where
        F: Future<Output = ()> + Send + 'static,
        S: Fn(Connection) -> F + Send + 'static,
    {
        let listener = bind(address).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, serve)).abort_handle();
        Ok(Listener { address, accepting })
    }

    /// A handle that ends it at once, with every connection.
    pub(super) fn end(&self) -> AbortHandle {
        self.accepting.clone()
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..BIND_TRIES {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => tokio::time::sleep(BIND_PAUSE).await,
            result => return result,
        }
    }
    TcpListener::bind(address).await
}

/// Accepts for good; connections belong to the set, so that aborting this task ends them.
async fn accept<F, S>(listener: TcpListener, serve: S)
where
    F: Future<Output = ()> + Send + 'static,
    S: Fn(Connection) -> F + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true);
                    connections.spawn(serve(Connection { stream, buffer: BytesMut::new() }));
                }
                Err(_) => tokio::time::sleep(BIND_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

/// A connection that a stand-in has accepted.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By its length.
    Length(usize),
    /// In chunks.
    Chunks,
    /// By the end of the connection.
    End,
}

impl Connection {
    /// Reads a request whole; nothing if the peer has closed between two.
    pub(super) async fn read(&mut self) -> io::Result<Option<Request<Bytes>>> {
        let head = loop {
            if let Some((head, length)) = head(&self.buffer)? {
                self.buffer.advance(length);
                break head;
            }
            if !self.fill().await? {
                return Ok(None);
            }
        };
        let body = self.body(head.headers()).await?;
        Ok(Some(head.map(|()| body)))
    }

    /// Writes an answer whole.
    pub(super) async fn write(&mut self, response: &Response<Bytes>) -> io::Result<()> {
        let bytes = whole(response);
        self.write_raw(&bytes).await
    }

    /// Writes bytes as they are.
    pub(super) async fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a chunk of a body.
    pub(super) async fn write_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
        chunk.extend_from_slice(bytes);
        chunk.extend_from_slice(CRLF);
        self.write_raw(&chunk).await
    }

    /// Returns when the peer has closed; what it sends meanwhile is kept for the next read.
    pub(super) async fn closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    /// Ends with a reset.
    pub(super) fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    async fn fill(&mut self) -> io::Result<bool> {
        Ok(self.stream.read_buf(&mut self.buffer).await? != 0)
    }

    async fn must_fill(&mut self) -> io::Result<()> {
        if self.fill().await? { Ok(()) } else { Err(io::ErrorKind::UnexpectedEof.into()) }
    }

    async fn body(&mut self, headers: &HeaderMap) -> io::Result<Bytes> {
        let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
        match length.and_then(|length| length.parse().ok()) {
            Some(length) => self.take(length).await,
            None if headers.contains_key(header::TRANSFER_ENCODING) => self.chunks().await,
            None => Ok(Bytes::new()),
        }
    }

    async fn take(&mut self, length: usize) -> io::Result<Bytes> {
        while self.buffer.len() < length {
            self.must_fill().await?;
        }
        Ok(self.buffer.split_to(length).freeze())
    }

    async fn chunks(&mut self) -> io::Result<Bytes> {
        let mut body = BytesMut::new();
        loop {
            let size = self.chunk_size().await?;
            body.extend_from_slice(&self.take(size).await?);
            self.take(CRLF.len()).await?;
            if size == 0 {
                return Ok(body.freeze());
            }
        }
    }

    async fn chunk_size(&mut self) -> io::Result<usize> {
        loop {
            let parsed = httparse::parse_chunk_size(&self.buffer);
            match parsed.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))? {
                httparse::Status::Complete((line, size)) => {
                    self.buffer.advance(line);
                    return usize::try_from(size).map_err(io::Error::other);
                }
                httparse::Status::Partial => self.must_fill().await?,
            }
        }
    }
}

/// The head of a request and its length in bytes, if it has come whole.
fn head(bytes: &[u8]) -> io::Result<Option<(Request<()>, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    let httparse::Status::Complete(length) = parsed.parse(bytes).map_err(io::Error::other)? else {
        return Ok(None);
    };
    let mut request = Request::builder()
        .method(parsed.method.unwrap_or_default())
        .uri(parsed.path.unwrap_or_default());
    for field in parsed.headers.iter() {
        request = request.header(field.name, field.value);
    }
    request.body(()).map(|head| Some((head, length))).map_err(io::Error::other)
}

/// The bytes of an answer whose length is told.
pub(super) fn whole(response: &Response<Bytes>) -> Vec<u8> {
    let mut bytes = opening(response, Framing::Length(response.body().len()));
    bytes.extend_from_slice(response.body());
    bytes
}

/// The bytes of an answer's head.
pub(super) fn opening<B>(response: &Response<B>, framing: Framing) -> Vec<u8> {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).into_bytes();
    let framed = match framing {
        Framing::Length(length) => Some((header::CONTENT_LENGTH, HeaderValue::from(length))),
        Framing::Chunks => Some((header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
        Framing::End => Some((header::CONNECTION, HeaderValue::from_static("close"))),
    };
    let own = response.headers().iter().map(|(name, value)| (name.clone(), value.clone()));
    for (name, value) in own.chain(framed) {
        field(&mut bytes, &name, &value);
    }
    bytes.extend_from_slice(CRLF);
    bytes
}

fn field(bytes: &mut Vec<u8>, name: &HeaderName, value: &HeaderValue) {
    bytes.extend_from_slice(name.as_str().as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value.as_bytes());
    bytes.extend_from_slice(CRLF);
}
