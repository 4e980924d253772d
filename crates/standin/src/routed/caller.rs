//! Callers: requests with ids and deadlines over kept connections, never sent twice.

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

use super::TIMEOUT;

static NUMBER: AtomicU64 = AtomicU64::new(1);

fn next_id() -> Arc<str> {
    format!("r{:07}", NUMBER.fetch_add(1, Ordering::Relaxed)).into()
}

/// A request under construction.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// What the system needs to know of it.
    pub info: edge::RequestInfo,
    method: Method,
    body: Bytes,
    headers: HeaderMap,
    is_forged: bool,
}

impl RequestSpec {
    /// A `GET` of a path at a host, with an id of its own.
    pub fn to(host: &str, path: &str) -> RequestSpec {
        let info = edge::RequestInfo {
            id: next_id(),
            host: host.into(),
            path: path.into(),
            model: None,
            adapter: None,
            prompt: Vec::new(),
            tokens_in: 0,
            tokens_out: 0,
            length_hint: None,
            deadline: Some(Duration::from_secs(20)),
            resume: None,
        };
        RequestSpec {
            info,
            method: Method::GET,
            body: Bytes::new(),
            headers: HeaderMap::new(),
            is_forged: false,
        }
    }

    /// The same request again, under an id of its own.
    pub fn with_new_id(&self) -> RequestSpec {
        let mut again = self.clone();
        again.info.id = next_id();
        again
    }

    /// The id.
    pub fn id(&self) -> Arc<str> {
        self.info.id.clone()
    }

    /// Under another id.
    pub fn with_id(mut self, id: &str) -> RequestSpec {
        self.info.id = id.into();
        self
    }

    /// With a path that no other request of the same caller has.
    pub fn with_number(mut self, caller: u64, number: u64) -> RequestSpec {
        let (path, query) = match self.info.path.split_once('?') {
            Some((path, query)) => (path, format!("?{query}")),
            None => (&*self.info.path, String::new()),
        };
        self.info.path = format!("{path}/{caller}-{number}{query}").into();
        self
    }

    /// With a method and a body.
    pub fn with_body(mut self, method: Method, body: impl Into<Bytes>) -> RequestSpec {
        (self.method, self.body) = (method, body.into());
        self
    }

    /// For a model.
    pub fn model(mut self, model: &str) -> RequestSpec {
        self.info.model = Some(model.into());
        (self.info.tokens_in, self.info.tokens_out) = (100, 20);
        self.info.prompt = vec![edge::Part { id: 0x5c1e, tokens: 100 }];
        self.with_body(Method::POST, "a prompt")
    }

    /// For an adapter of the model.
    pub fn adapter(mut self, adapter: &str) -> RequestSpec {
        self.info.adapter = Some(adapter.into());
        self
    }

    /// With another deadline, or none.
    pub fn deadline(mut self, deadline: Option<Duration>) -> RequestSpec {
        self.info.deadline = deadline;
        self
    }

    /// The same with a prompt that no server has read, under another id.
    pub fn with_new_prompt(&self) -> RequestSpec {
        let mut again = self.with_new_id();
        let tokens = again.info.tokens_in;
        let id = NUMBER.fetch_add(1, Ordering::Relaxed);
        again.info.prompt = vec![edge::Part { id, tokens }];
        again
    }

    /// Going on after an event.
    pub fn resume(mut self, event: u64) -> RequestSpec {
        self.info.resume = Some(event);
        self
    }

    /// With a header of the caller's own.
    pub fn header(mut self, name: &'static str, value: &'static str) -> RequestSpec {
        self.headers.insert(name, http::HeaderValue::from_static(value));
        self
    }

    /// With all headers that only the system may set.
    pub fn with_reserved_headers(mut self) -> RequestSpec {
        self.is_forged = true;
        self
    }

    /// The request as it is sent.
    pub fn request(&self) -> Request<Bytes> {
        let mut request = remote::request(self.method.clone(), &self.info, self.body.clone());
        request.headers_mut().extend(self.headers.clone());
        if self.is_forged {
            remote::set_reserved(request.headers_mut());
        }
        request
    }
}

/// An answer, as far as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// What its head says to callers.
    pub metadata: remote::Answer,
    /// Its body.
    pub body: Bytes,
    /// Whether it came whole.
    pub is_complete: bool,
}

impl Answer {
    /// A field of a body in JSON.
    pub fn field(&self, name: &str) -> serde_json::Value {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        body[name].clone()
    }

    /// Numbers of the whole events of a stream.
    pub fn events(&self) -> Vec<u64> {
        events(&self.body)
    }

    /// Whether the system closes the connection after it.
    pub fn closes(&self) -> bool {
        self.headers.get(header::CONNECTION).is_some_and(|value| value == "close")
    }
}

fn events(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    let (whole, _) = text.rsplit_once("\n\n").unwrap_or_default();
    let numbers = whole.lines().filter_map(|line| line.strip_prefix("id: "));
    numbers.filter_map(|number| number.parse().ok()).collect()
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection stands.
    Connect,
    /// The connection ended without the head of an answer.
    Closed,
    /// Nothing came for longer than any test waits.
    Silence,
}

/// A caller with one kept connection.
#[derive(Debug)]
pub struct Caller {
    address: SocketAddr,
    /// Where it calls from, if it matters.
    source: Option<IpAddr>,
    kept: Option<Connection>,
    connections: u32,
}

/// A connection, and the task that drives it.
#[derive(Debug)]
struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    /// Closes the socket at once, whatever is under way on it.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Caller {
    /// A caller of a host; it connects when it first asks.
    pub fn new(address: SocketAddr) -> Caller {
        Caller { address, source: None, kept: None, connections: 0 }
    }

    /// Lets it call from an address of its machine.
    #[must_use]
    pub fn from(self, source: IpAddr) -> Caller {
        Caller { source: Some(source), ..self }
    }

    /// Connections opened so far.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Asks and waits for the answer's end.
    ///
    /// # Errors
    ///
    /// If no answer begins.
    pub async fn fetch(&mut self, ask: &RequestSpec) -> Result<Answer, Failure> {
        self.open(ask).await?.finish().await
    }

    /// Asks and waits for the answer's head.
    ///
    /// # Errors
    ///
    /// If no answer begins.
    pub async fn open(&mut self, ask: &RequestSpec) -> Result<OpenAnswer, Failure> {
        self.send(ask.request()).await
    }

    /// Sends a request as it is.
    ///
    /// # Errors
    ///
    /// If no answer begins.
    pub async fn send(&mut self, request: Request<Bytes>) -> Result<OpenAnswer, Failure> {
        let sending = self.try_send(request.map(Full::new));
        tokio::time::timeout(TIMEOUT, sending).await.map_err(|_| Failure::Silence)?
    }

    async fn try_send(&mut self, request: Request<Full<Bytes>>) -> Result<OpenAnswer, Failure> {
        if self.kept.as_ref().is_none_or(|kept| kept.sender.is_closed()) {
            self.kept = Some(connect(self.source, self.address).await.ok_or(Failure::Connect)?);
            self.connections += 1;
        }
        let Some(Connection { sender, .. }) = &mut self.kept else { return Err(Failure::Connect) };
        sender.ready().await.map_err(|_| Failure::Closed)?;
        let response = sender.send_request(request).await.map_err(|_| Failure::Closed)?;
        let (head, body) = response.into_parts();
        Ok(OpenAnswer { head, body, text: BytesMut::new() })
    }

    /// Closes the connection, whatever is under way on it.
    pub fn disconnect(&mut self) {
        self.kept = None;
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
        // The asking side hears of the error.
        let _ = connection.await;
    });
    Some(Connection { sender, driver: driver.abort_handle() })
}

/// An answer whose head has come. It needs its caller: dropping that is to leave.
#[derive(Debug)]
pub struct OpenAnswer {
    /// Its head.
    pub head: Parts,
    body: Incoming,
    text: BytesMut,
}

impl OpenAnswer {
    /// Waits for an event; false if the stream ends before it.
    pub async fn event(&mut self, number: u64) -> bool {
        while !events(&self.text).contains(&number) {
            if !matches!(self.frame().await, Ok(Some(()))) {
                return false;
            }
        }
        true
    }

    /// Waits for the end.
    ///
    /// # Errors
    ///
    /// If it never comes.
    pub async fn finish(mut self) -> Result<Answer, Failure> {
        let is_complete = loop {
            match self.frame().await {
                Ok(Some(())) => {}
                Ok(None) => break true,
                Err(Failure::Silence) => return Err(Failure::Silence),
                Err(_) => break false,
            }
        };
        let metadata = remote::answer(&self.head.headers);
        let (status, headers) = (self.head.status, self.head.headers);
        Ok(Answer { status, headers, metadata, body: self.text.freeze(), is_complete })
    }

    async fn frame(&mut self) -> Result<Option<()>, Failure> {
        let frame = tokio::time::timeout(TIMEOUT, self.body.frame()).await;
        match frame.map_err(|_| Failure::Silence)? {
            None => Ok(None),
            Some(Err(_)) => Err(Failure::Closed),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    self.text.extend_from_slice(&data);
                }
                Ok(Some(()))
            }
        }
    }
}
