//! A minimal HTTP/1.1 server that works on bytes, so that stand-ins can also violate the protocol.

use std::{io, net::SocketAddr, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
};

/// Greatest number of header fields in a request; one with more is an error.
const MAX_FIELDS: usize = 128;

/// Ends each header line and each chunk.
const CRLF: &[u8] = b"\r\n";

/// How often an address in use is tried again; an earlier owner may still be closing its listener.
const BIND_TRIES: u32 = 100;
/// Pause after a failed bind or accept.
const BIND_PAUSE: Duration = Duration::from_millis(20);

/// A TCP listener; when dropped, it ends with all its connections.
#[derive(Debug)]
pub(super) struct Listener {
    pub(super) address: SocketAddr,
    accepting: AbortHandle,
}

impl Listener {
    /// Listens at `address` and runs `serve` for each connection. If the address is still in use,
    /// retries for about 2 s.
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

    /// A handle that ends the listener at once, with all connections.
    pub(super) fn abort_handle(&self) -> AbortHandle {
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

/// Accepts connections until aborted. Their tasks belong to the set, so that aborting this task
/// ends them too.
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

/// An accepted connection.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
}

/// How the receiver recognises the end of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Framing {
    /// By a `Content-Length`.
    Length(usize),
    /// By chunked transfer encoding.
    Chunks,
    /// By the end of the connection (`Connection: close`).
    End,
    /// By the header fields that the answer has itself.
    Given,
}

impl Connection {
    /// Reads a complete request; `None` if the peer has closed the connection before its head was
    /// complete.
    pub(super) async fn read(&mut self) -> io::Result<Option<Request<Bytes>>> {
        let head = loop {
            if let Some((head, length)) = parse_head(&self.buffer)? {
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

    /// Writes a complete answer, framed by its length.
    pub(super) async fn write(&mut self, response: &Response<Bytes>) -> io::Result<()> {
        let bytes = encode(response);
        self.write_raw(&bytes).await
    }

    /// Writes bytes unchanged.
    pub(super) async fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes one chunk of a body in chunked transfer encoding.
    pub(super) async fn write_chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_raw(&encode_chunk(bytes)).await
    }

    /// Waits until the peer has closed; bytes received meanwhile are kept for the next read.
    pub(super) async fn closed(&mut self) {
        while let Ok(true) = self.fill().await {}
    }

    /// Closes the connection with a TCP reset.
    pub(super) fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Reads more bytes into the buffer; false at the end of the connection.
    async fn fill(&mut self) -> io::Result<bool> {
        Ok(self.stream.read_buf(&mut self.buffer).await? != 0)
    }

    /// As `fill`, with an error at the end of the connection.
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

/// The head of a request and its length in bytes; `None` if it is incomplete.
fn parse_head(bytes: &[u8]) -> io::Result<Option<(Request<()>, usize)>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
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

/// The bytes of a complete answer with a `Content-Length`.
pub(super) fn encode(response: &Response<Bytes>) -> Vec<u8> {
    let mut bytes = encode_head(response, Framing::Length(response.body().len()));
    bytes.extend_from_slice(response.body());
    bytes
}

/// The bytes of one chunk of a body in chunked transfer encoding.
pub(super) fn encode_chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(CRLF);
    chunk
}

/// The bytes of an answer's head, with the header fields of `framing` after its own.
pub(super) fn encode_head<B>(response: &Response<B>, framing: Framing) -> Vec<u8> {
    let status = response.status();
    let reason = status.canonical_reason().unwrap_or("Unknown");
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", status.as_u16()).into_bytes();
    let framing_field = match framing {
        Framing::Length(length) => Some((header::CONTENT_LENGTH, HeaderValue::from(length))),
        Framing::Chunks => Some((header::TRANSFER_ENCODING, HeaderValue::from_static("chunked"))),
        Framing::End => Some((header::CONNECTION, HeaderValue::from_static("close"))),
        Framing::Given => None,
    };
    let own = response.headers().iter().map(|(name, value)| (name.clone(), value.clone()));
    for (name, value) in own.chain(framing_field) {
        encode_field(&mut bytes, &name, &value);
    }
    bytes.extend_from_slice(CRLF);
    bytes
}

fn encode_field(bytes: &mut Vec<u8>, name: &HeaderName, value: &HeaderValue) {
    bytes.extend_from_slice(name.as_str().as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value.as_bytes());
    bytes.extend_from_slice(CRLF);
}
