//! Client of the other hosts.
//!
//! One connection pool serves all peers. jsonrpsee offers no way to count the bytes of connections
//! that it opens itself, so its transport is replaced by one whose connections are metered.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::Duration,
};

use futures_util::{TryFutureExt, future::MapErr};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Http, ResponseFuture},
    rt::{TokioExecutor, TokioTimer},
};
use jsonrpsee::{
    core::{
        client,
        http_helpers::{Body, HttpError, Request, Response},
        middleware::layer::RpcLogger,
    },
    http_client::{HttpClient, HttpClientBuilder, RpcService, transport},
};
use meter::{Connector, Meter};
use policy::member::heartbeat::{Heartbeat, Topic};
use serde_json::value::RawValue;
use tower::{Service, ServiceBuilder, layer::layer_fn};
use types::host::{Host, List};

use crate::{
    api::{Content, Outcome, RpcClient},
    token::Token,
};

const DEFAULT_TIMEOUT: Duration = Duration::from_millis(300);
const CONTENT_TIMEOUT: Duration = Duration::from_secs(5);
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: u32 = 64 * 1024 * 1024;

/// Failure of a call to a peer.
#[derive(Debug, thiserror::Error)]
#[error("peer at {address}: {cause}")]
pub struct Error {
    address: SocketAddr,
    cause: client::Error,
}

/// Builds a [`Client`].
#[derive(Clone, Debug, Default)]
pub struct Builder {
    token: Token,
    timeout: Option<Duration>,
    meter: Meter,
}

impl Builder {
    /// Starts without a token and with a timeout of 300 ms.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets the token that is sent to peers.
    pub fn token(mut self, token: Token) -> Builder {
        self.token = token;
        self
    }

    /// Sets the timeout of connecting, a heartbeat and a ping. A probe has twice this time; calls
    /// that return content have 5 s.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = Some(timeout);
        self
    }

    /// Counts the bytes of the client's connections on `meter`.
    pub fn meter(mut self, meter: Meter) -> Builder {
        self.meter = meter;
        self
    }

    /// Creates the client, which connects on first use.
    pub fn build(self) -> Client {
        let timeout = self.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build(Connector::new(self.meter, timeout));
        Client { token: self.token, timeout, transport: Transport(http), peers: Mutex::default() }
    }
}

/// Client of the other hosts, with one connection pool for all of them.
#[derive(Debug)]
pub struct Client {
    token: Token,
    timeout: Duration,
    transport: Transport,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

type Peer = HttpClient<RpcLogger<RpcService<Transport>>>;

impl Client {
    /// Sends a heartbeat and returns the peer's.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives in time.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, Error> {
        let peer = self.peer(address)?;
        with_timeout(self.timeout, peer.heartbeat(heartbeat)).await.map_err(error_at(address))
    }

    /// Asks a host to probe another host. The timeout is doubled, since the host responds only
    /// after its own probe.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives in time.
    pub async fn probe(&self, address: SocketAddr, target: &Host) -> Result<Outcome, Error> {
        let peer = self.peer(address)?;
        with_timeout(self.timeout * 2, peer.probe(target.clone())).await.map_err(error_at(address))
    }

    /// Checks that a host answers.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives in time.
    pub async fn ping(&self, address: SocketAddr) -> Result<(), Error> {
        let peer = self.peer(address)?;
        with_timeout(self.timeout, peer.ping()).await.map_err(error_at(address))
    }

    /// Fetches the hosts and backend servers that a host knows.
    ///
    /// # Errors
    ///
    /// If the call fails or no response arrives in time.
    pub async fn members(&self, address: SocketAddr) -> Result<List, Error> {
        let peer = self.peer(address)?;
        with_timeout(CONTENT_TIMEOUT, peer.members()).await.map_err(error_at(address))
    }

    /// Fetches a host's content of a topic.
    ///
    /// # Errors
    ///
    /// If the host has no content with a number above `above`, the call fails, or no response
    /// arrives in time.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        topic: Topic,
        above: u64,
    ) -> Result<Content, Error> {
        let peer = self.peer(address)?;
        with_timeout(CONTENT_TIMEOUT, peer.fetch(topic, above)).await.map_err(error_at(address))
    }

    /// Fetches a part of the configuration, by its key.
    ///
    /// # Errors
    ///
    /// If the host does not have the part, the call fails, or no response arrives in time.
    pub async fn part(&self, address: SocketAddr, key: &str) -> Result<Box<RawValue>, Error> {
        let peer = self.peer(address)?;
        with_timeout(CONTENT_TIMEOUT, peer.part(key.to_owned())).await.map_err(error_at(address))
    }

    /// Drops the per-host clients of all addresses for which `is_known` returns false.
    pub fn retain(&self, is_known: impl Fn(&SocketAddr) -> bool) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        peers.retain(|address, _| is_known(address));
    }

    fn peer(&self, address: SocketAddr) -> Result<Arc<Peer>, Error> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&address) {
            return Ok(peer.clone());
        }
        let transport = self.transport.clone();
        let peer = HttpClientBuilder::new()
            .set_headers(self.token.headers())
            .max_response_size(MAX_RESPONSE_BYTES)
            .request_timeout(CONTENT_TIMEOUT)
            .set_http_middleware(ServiceBuilder::new().layer(layer_fn(move |_| transport.clone())))
            .build(format!("http://{address}"))
            .map_err(error_at(address))?;
        let peer = Arc::new(peer);
        peers.insert(address, peer.clone());
        Ok(peer)
    }
}

async fn with_timeout<T>(
    limit: Duration,
    call: impl Future<Output = Result<T, client::Error>>,
) -> Result<T, client::Error> {
    tokio::time::timeout(limit, call).await.unwrap_or(Err(client::Error::RequestTimeout))
}

fn error_at(address: SocketAddr) -> impl FnOnce(client::Error) -> Error {
    move |cause| Error { address, cause }
}

/// HTTP transport whose connections are metered.
#[derive(Clone, Debug)]
struct Transport(Http<Connector, Body>);

impl Service<Request> for Transport {
    type Response = Response<Incoming>;
    type Error = transport::Error;
    type Future = MapErr<ResponseFuture, fn(hyper_util::client::legacy::Error) -> transport::Error>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), transport::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: Request) -> Self::Future {
        self.0
            .request(request)
            .map_err(|error| transport::Error::Http(HttpError::Stream(error.into())))
    }
}
