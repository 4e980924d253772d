//! HTTP client of backend servers.
//!
//! The client never retries a request. Its connection pool may move a request of which no byte was
//! written to a new connection, which is safe for every request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::body::Incoming;
use hyper_util::{client::legacy::Client as Http, rt::TokioExecutor};
use meter::{Connector, Meter};
use serde::{Serialize, de::DeserializeOwned};
use types::{
    error::chain,
    order::{Ack, Order},
    report::Load,
};

use crate::{error::Error, wire};

/// Error from the source of a request body that is forwarded as a stream.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A request body, complete in memory or streamed.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// A response whose body has not been read yet.
pub type StreamingResponse = Response<Incoming>;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_DETAIL_BYTES: usize = 300;

/// HTTP client of backend servers with a connection pool, which clones share.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<Connector, Body>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Creates a client, which connects on first use.
    pub fn new() -> Client {
        Client::with_meter(Meter::default())
    }

    /// Creates a client that counts the bytes of its connections on `meter`.
    pub fn with_meter(meter: Meter) -> Client {
        let connector = Connector::new(meter, CONNECT_TIMEOUT);
        let http = Http::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .build(connector);
        Client { http }
    }

    /// Sends a request whose URI is a path. A response of any status is `Ok`.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] if no byte can have been sent, otherwise [`Error::Broken`];
    /// [`Error::Malformed`] if the path gives no valid URI.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Body>,
    ) -> Result<StreamingResponse, Error> {
        let path = request.uri().path_and_query().map_or("/", |p| p.as_str());
        let uri = format!("http://{address}{path}")
            .parse()
            .map_err(|e: http::uri::InvalidUri| malformed(address, &e))?;
        *request.uri_mut() = uri;
        self.http.request(request).await.map_err(|e| match e.is_connect() {
            true => Error::Unreachable { address, cause: chain(&e) },
            false => Error::Broken { address, cause: chain(&e) },
        })
    }

    /// Fetches a complete load report, with the list of residents; [`reports::Reader`] caches it.
    ///
    /// [`reports::Reader`]: crate::reports::Reader
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and for a response that is not a report.
    pub async fn load(&self, address: SocketAddr) -> Result<Load, Error> {
        self.fetch(address, Request::get("/load").body(empty_body())).await
    }

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and for a response that is not an acknowledgement. Unless
    /// [`Error::is_unsent`], the server may have accepted the order or may still accept it.
    pub async fn order(&self, address: SocketAddr, order: &Order) -> Result<Ack, Error> {
        self.post(address, "/orders", order).await
    }

    /// Fetches the events of an engine's prefix cache, from sequence number `from` on. Events
    /// arrive late, and some are lost.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and for a response that is not a list of events.
    pub async fn cache_events(
        &self,
        address: SocketAddr,
        from: u64,
    ) -> Result<Vec<wire::CacheEvent>, Error> {
        let path = format!("/cache-events?from={from}");
        self.fetch(address, Request::get(path).body(empty_body())).await
    }

    /// Asks an engine to export the KV cache of a prompt, and returns it as opaque bytes.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::Status`], with 404 if no part of the prompt is cached.
    pub async fn export(&self, address: SocketAddr, cache: &wire::Cache) -> Result<Bytes, Error> {
        let request = self.json(address, "/kv/export", cache)?;
        let response = self.send(address, request).await?;
        let (status, body) = read(address, response).await?;
        require_success(address, status, body)
    }

    /// Asks an engine to import a KV cache that another engine exported.
    ///
    /// # Errors
    ///
    /// As [`Client::send`], and [`Error::Status`] if the engine refuses the import.
    pub async fn import(&self, address: SocketAddr, cache: Bytes) -> Result<(), Error> {
        let request = Request::post("/kv/import").body(full_body(cache));
        let request = request.map_err(|e| malformed(address, &e))?;
        let response = self.send(address, request).await?;
        let (status, body) = read(address, response).await?;
        require_success(address, status, body).map(|_| ())
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
        content: &Q,
    ) -> Result<A, Error> {
        let request = self.json(address, path, content)?;
        self.fetch(address, Ok(request)).await
    }

    fn json<Q: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        content: &Q,
    ) -> Result<Request<Body>, Error> {
        let body = serde_json::to_vec(content).map_err(|e| malformed(address, &e))?;
        Request::post(path)
            .header(header::CONTENT_TYPE, "application/json")
            .body(full_body(Bytes::from(body)))
            .map_err(|e| malformed(address, &e))
    }

    async fn fetch<A: DeserializeOwned>(
        &self,
        address: SocketAddr,
        request: http::Result<Request<Body>>,
    ) -> Result<A, Error> {
        let request = request.map_err(|e| malformed(address, &e))?;
        let response = self.send(address, request).await?;
        let (status, body) = read(address, response).await?;
        let body = require_success(address, status, body)?;
        serde_json::from_slice(&body).map_err(|e| malformed(address, &e))
    }
}

/// Returns an empty body.
pub fn empty_body() -> Body {
    full_body(Bytes::new())
}

/// Returns a body that is complete in memory.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

pub(crate) async fn read(
    address: SocketAddr,
    response: StreamingResponse,
) -> Result<(StatusCode, Bytes), Error> {
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(|e| Error::Broken { address, cause: chain(&e) })?;
    Ok((status, body.to_bytes()))
}

pub(crate) fn require_success(
    address: SocketAddr,
    status: StatusCode,
    body: Bytes,
) -> Result<Bytes, Error> {
    if status.is_success() {
        return Ok(body);
    }
    let start = &body[..body.len().min(MAX_DETAIL_BYTES)];
    let detail = String::from_utf8_lossy(start).into_owned();
    Err(Error::Status { address, status, detail })
}

pub(crate) fn malformed(address: SocketAddr, cause: &dyn std::error::Error) -> Error {
    Error::Malformed { address, cause: chain(cause) }
}
