//! Client of the other hosts.
//!
//! One pool of connections serves all peers. jsonrpsee opens connections of its own that can't be
//! counted, so its transport is replaced by one whose connections are under a meter.

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

/// Why a call to a peer failed.
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
    /// Starts without a token.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets the token that is shown to peers.
    pub fn token(mut self, token: Token) -> Builder {
        self.token = token;
        self
    }

    /// Sets the time limit of a call; a fetch has a longer one.
    pub fn timeout(mut self, timeout: Duration) -> Builder {
        self.timeout = Some(timeout);
        self
    }

    /// Counts its bytes on this meter.
    pub fn meter(mut self, meter: Meter) -> Builder {
        self.meter = meter;
        self
    }

    /// Makes the client; it connects when first used.
    pub fn build(self) -> Client {
        let timeout = self.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let http = Http::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
            .build(Connector::new(self.meter, timeout));
        Client { token: self.token, timeout, transport: Transport(http), peers: Mutex::default() }
    }
}

/// Client of the other hosts.
#[derive(Debug)]
pub struct Client {
    token: Token,
    timeout: Duration,
    transport: Transport,
    peers: Mutex<HashMap<SocketAddr, Arc<Peer>>>,
}

type Peer = HttpClient<RpcLogger<RpcService<Transport>>>;

impl Client {
    /// Sends a heartbeat.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn heartbeat(
        &self,
        address: SocketAddr,
        heartbeat: Heartbeat,
    ) -> Result<Heartbeat, Error> {
        let peer = self.peer(address)?;
        with_timeout(self.timeout, peer.heartbeat(heartbeat)).await.map_err(error_at(address))
    }

    /// Asks a host to try another; it may take as long as that takes.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn probe(&self, address: SocketAddr, target: &Host) -> Result<Outcome, Error> {
        let peer = self.peer(address)?;
        with_timeout(self.timeout * 2, peer.probe(target.clone())).await.map_err(error_at(address))
    }

    /// Tries a host.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn ping(&self, address: SocketAddr) -> Result<(), Error> {
        let peer = self.peer(address)?;
        with_timeout(self.timeout, peer.ping()).await.map_err(error_at(address))
    }

    /// Asks for the hosts and backend servers that a host knows.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn members(&self, address: SocketAddr) -> Result<List, Error> {
        let peer = self.peer(address)?;
        with_timeout(CONTENT_TIMEOUT, peer.members()).await.map_err(error_at(address))
    }

    /// Fetches what a host holds on a topic.
    ///
    /// # Errors
    ///
    /// If it holds nothing above this number, or no answer comes in time.
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
    /// If the host does not hold it, or no answer comes in time.
    pub async fn part(&self, address: SocketAddr, key: &str) -> Result<Box<RawValue>, Error> {
        let peer = self.peer(address)?;
        with_timeout(CONTENT_TIMEOUT, peer.part(key.to_owned())).await.map_err(error_at(address))
    }

    /// Forgets hosts other than these.
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

/// HTTP connections under a meter.
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
