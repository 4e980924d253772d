//! Callers, which send requests with ids and deadlines over keep-alive connections.
//!
//! A caller never resends a request by itself.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode, header, response::Parts};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use platform::remote::caller as remote;
use relay::edge;
use tokio::{
    net::{TcpSocket, TcpStream},
    task::AbortHandle,
};

use super::{TIMEOUT, stream::Event};

/// Source of the request ids and prompt ids, each of which is unique within the process.
static NUMBER: AtomicU64 = AtomicU64::new(1);

fn next_id() -> Arc<str> {
    format!("r{:07}", NUMBER.fetch_add(1, Ordering::Relaxed)).into()
}

/// A description of a request, from which [`RequestSpec::request`] makes the HTTP request.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// What the request's head tells the system: id, target, model, prompt, deadline.
    pub info: edge::RequestInfo,
    method: Method,
    body: Bytes,
    headers: HeaderMap,
    has_reserved_headers: bool,
}

impl RequestSpec {
    /// A `GET` of `path` at the virtual host `host`, with a new id and a deadline of 20 s.
    pub fn to(host: &str, path: &str) -> RequestSpec {
        let info = edge::RequestInfo {
            id: next_id(),
            host: host.into(),
            path: path.into(),
            credential: edge::Credential::Missing,
            model: None,
            adapter: None,
            prompt: Vec::new(),
            tokens_in: 0,
            tokens_out: 0,
            length_hint: None,
            deadline: Some(Duration::from_secs(20)),
            resume: None,
            resumes: None,
        };
        RequestSpec {
            info,
            method: Method::GET,
            body: Bytes::new(),
            headers: HeaderMap::new(),
            has_reserved_headers: false,
        }
    }

    /// A copy with a new id.
    pub fn with_new_id(&self) -> RequestSpec {
        let mut copy = self.clone();
        copy.info.id = next_id();
        copy
    }

    /// The request id.
    pub fn id(&self) -> Arc<str> {
        self.info.id.clone()
    }

    /// Sets the request id.
    pub fn with_id(mut self, id: &str) -> RequestSpec {
        self.info.id = id.into();
        self
    }

    /// Appends `caller` and `number` to the path, before the query, so that no other request of the
    /// caller has the same path.
    pub fn with_number(mut self, caller: u64, number: u64) -> RequestSpec {
        let (path, query) = match self.info.path.split_once('?') {
            Some((path, query)) => (path, format!("?{query}")),
            None => (&*self.info.path, String::new()),
        };
        self.info.path = format!("{path}/{caller}-{number}{query}").into();
        self
    }

    /// Sets the method and the body.
    pub fn with_body(mut self, method: Method, body: impl Into<Bytes>) -> RequestSpec {
        (self.method, self.body) = (method, body.into());
        self
    }

    /// Makes it a `POST` with a prompt for `model`: 100 tokens in, 20 tokens out. All these prompts
    /// have the same prefix id, so that a server may have them cached.
    pub fn model(mut self, model: &str) -> RequestSpec {
        self.info.model = Some(model.into());
        (self.info.tokens_in, self.info.tokens_out) = (100, 20);
        self.info.prompt = vec![edge::Part { id: 0x5c1e, tokens: 100 }];
        self.with_body(Method::POST, "a prompt")
    }

    /// Sets the adapter of the model.
    pub fn adapter(mut self, adapter: &str) -> RequestSpec {
        self.info.adapter = Some(adapter.into());
        self
    }

    /// Replaces the deadline of 20 s; `None` sends no deadline.
    pub fn deadline(mut self, deadline: Option<Duration>) -> RequestSpec {
        self.info.deadline = deadline;
        self
    }

    /// A copy with a new id and a prompt that no server can have cached.
    pub fn with_new_prompt(&self) -> RequestSpec {
        let mut copy = self.with_new_id();
        let tokens = copy.info.tokens_in;
        let id = NUMBER.fetch_add(1, Ordering::Relaxed);
        copy.info.prompt = vec![edge::Part { id, tokens }];
        copy
    }

    /// Takes up the stream that the request `id` began, after the event with this number.
    pub fn take_up(mut self, id: &str, event: u64) -> RequestSpec {
        (self.info.resumes, self.info.resume) = (Some(id.into()), Some(event));
        self
    }

    /// Names the request that began a stream, but no event.
    pub fn resumes(mut self, id: &str) -> RequestSpec {
        self.info.resumes = Some(id.into());
        self
    }

    /// Resumes a stream after the event with this number.
    pub fn resume(mut self, event: u64) -> RequestSpec {
        self.info.resume = Some(event);
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: &'static str) -> RequestSpec {
        self.headers.insert(name, http::HeaderValue::from_static(value));
        self
    }

    /// Presents a customer's key.
    pub fn key(mut self, key: &str) -> RequestSpec {
        remote::set_key(&mut self.headers, key);
        self
    }

    /// Adds all headers that only the system may set, as an untrusted caller might.
    pub fn with_reserved_headers(mut self) -> RequestSpec {
        self.has_reserved_headers = true;
        self
    }

    /// The HTTP request that is sent.
    pub fn request(&self) -> Request<Bytes> {
        let mut request = remote::request(self.method.clone(), &self.info, self.body.clone());
        request.headers_mut().extend(self.headers.clone());
        if self.has_reserved_headers {
            remote::set_reserved(request.headers_mut());
        }
        request
    }
}

/// An answer, of which the body may be incomplete.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// All headers, as received.
    pub headers: HeaderMap,
    /// What the headers tell callers: request id, seal, retry delay.
    pub metadata: remote::Answer,
    /// The body, as far as it was received.
    pub body: Bytes,
    /// False if the connection ended before the body did.
    pub is_complete: bool,
}

impl Answer {
    /// A field of the JSON body; null if it is absent or the body isn't JSON.
    pub fn field(&self, name: &str) -> serde_json::Value {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body[name].clone()
    }

    /// Numbers of the complete events of a stream, in the order received.
    pub fn events(&self) -> Vec<u64> {
        events(&self.body)
    }

    /// The complete events of a stream, in the order received; `None` if one can't be parsed.
    pub fn stream(&self) -> Option<Vec<Event>> {
        Event::parse_all(&String::from_utf8_lossy(&self.body))
    }

    /// Whether the answer has `Connection: close`.
    pub fn closes(&self) -> bool {
        self.headers.get(header::CONNECTION).is_some_and(|value| value == "close")
    }
}

fn events(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let (complete, _) = text.rsplit_once("\n\n").unwrap_or_default();
    let numbers = complete.lines().filter_map(|line| line.strip_prefix("id: "));
    numbers.filter_map(|number| number.parse().ok()).collect()
}

/// Why a request got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection couldn't be opened.
    Connect,
    /// The connection ended before the head of an answer.
    Closed,
    /// Nothing was received within [`TIMEOUT`].
    Silence,
}

/// A caller with one keep-alive connection, which it opens anew when it is closed.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    /// The local address to bind; `None` lets the system choose.
    source: Option<IpAddr>,
    connection: Option<Connection>,
    connections: u32,
}

/// An HTTP/1.1 connection and the task that drives it.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    /// Closes the socket at once, also during a request.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Caller {
    /// A caller of `address`; it connects at its first request.
    pub fn new(address: SocketAddr) -> Caller {
        Caller { address, source: None, connection: None, connections: 0 }
    }

    /// Binds its connections to the local address `source`.
    #[must_use]
    pub fn from(self, source: IpAddr) -> Caller {
        Caller { source: Some(source), ..self }
    }

    /// How many connections it has opened so far.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Sends a request and waits for the end of the answer.
    ///
    /// # Errors
    ///
    /// If no head is received, or the body pauses for longer than [`TIMEOUT`]. A body that is cut
    /// off is no error: see [`Answer::is_complete`].
    pub async fn fetch(&mut self, spec: &RequestSpec) -> Result<Answer, Failure> {
        self.open(spec).await?.finish().await
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// If no head is received.
    pub async fn open(&mut self, spec: &RequestSpec) -> Result<OpenAnswer, Failure> {
        self.send(spec.request()).await
    }

    /// Sends an HTTP request unchanged and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// If no head is received.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<OpenAnswer, Failure> {
        let sending = self.try_send(request.map(Full::new));
        tokio::time::timeout(TIMEOUT, sending).await.map_err(|_| Failure::Silence)?
    }

    async fn try_send(&mut self, request: Request<Full<Bytes>>) -> Result<OpenAnswer, Failure> {
        if self.connection.as_ref().is_none_or(|open| open.sender.is_closed()) {
            self.connection =
                Some(connect(self.source, self.address).await.ok_or(Failure::Connect)?);
            self.connections += 1;
        }
        let Some(Connection { sender, .. }) = &mut self.connection else {
            return Err(Failure::Connect);
        };
        sender.ready().await.map_err(|_| Failure::Closed)?;
        let response = sender.send_request(request).await.map_err(|_| Failure::Closed)?;
        let (head, body) = response.into_parts();
        Ok(OpenAnswer { head, body, received: BytesMut::new() })
    }

    /// Closes the connection at once, also during a request.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> Option<Connection> {
    let stream = match source {
        None => TcpStream::connect(address).await.ok()?,
        Some(source) => {
            let socket = TcpSocket::new_v4().ok()?;
            socket.bind(SocketAddr::new(source, 0)).ok()?;
            socket.connect(address).await.ok()?
        }
    };
    let _ = stream.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let driver = tokio::spawn(async move {
        // The sender reports the error to its caller.
        let _ = connection.await;
    });
    Some(Connection { sender, driver: driver.abort_handle() })
}

/// An answer whose head has been received. Dropping its [`Caller`] closes the connection.
#[derive(Debug)]
pub struct OpenAnswer {
    /// The status line and headers.
    pub head: Parts,
    body: Incoming,
    received: BytesMut,
}

impl OpenAnswer {
    /// Waits for the event with this number; false if the stream ends or fails before it.
    pub async fn event(&mut self, number: u64) -> bool {
        while !events(&self.received).contains(&number) {
            if !matches!(self.frame().await, Ok(Some(()))) {
                return false;
            }
        }
        true
    }

    /// Waits for the end of the body.
    ///
    /// # Errors
    ///
    /// If nothing is received for [`TIMEOUT`].
    pub async fn finish(mut self) -> Result<Answer, Failure> {
        let is_complete = loop {
            match self.frame().await {
                Ok(Some(())) => {}
                Ok(None) => break true,
                Err(Failure::Silence) => return Err(Failure::Silence),
                Err(_) => break false,
            }
        };
        Ok(self.into_answer(is_complete))
    }

    /// Waits until the event with this number is received or the body ends, whichever is first.
    ///
    /// # Errors
    ///
    /// If nothing is received for [`TIMEOUT`].
    pub async fn finish_at(mut self, number: u64) -> Result<Answer, Failure> {
        while !events(&self.received).contains(&number) {
            match self.frame().await {
                Ok(Some(())) => {}
                Ok(None) => return Ok(self.into_answer(true)),
                Err(Failure::Silence) => return Err(Failure::Silence),
                Err(_) => break,
            }
        }
        Ok(self.into_answer(false))
    }

    fn into_answer(self, is_complete: bool) -> Answer {
        let metadata = remote::answer(&self.head.headers);
        let (status, headers) = (self.head.status, self.head.headers);
        Answer { status, headers, metadata, body: self.received.freeze(), is_complete }
    }

    async fn frame(&mut self) -> Result<Option<()>, Failure> {
        let frame = tokio::time::timeout(TIMEOUT, self.body.frame()).await;
        match frame.map_err(|_| Failure::Silence)? {
            None => Ok(None),
            Some(Err(_)) => Err(Failure::Closed),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.received.extend_from_slice(&data);
                }
                Ok(Some(()))
            }
        }
    }
}
