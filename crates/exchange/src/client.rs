//! Calls to other hosts.
//!
//! Each call has a connection of its own and a timeout: calls are rare, and a connection that is
//! kept open may stop carrying data without being reset.

use std::{
    net::SocketAddr,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use futures_util::{TryFutureExt, future::MapErr};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Http, ResponseFuture, connect::HttpConnector},
    rt::TokioExecutor,
};
use jsonrpsee::{
    core::{
        client,
        http_helpers::{Body, HttpError, Request, Response},
        middleware::layer::RpcLogger,
    },
    http_client::{HttpClient, HttpClientBuilder, RpcService, transport},
};
use policy::fleet::{Member, Revision};
use tower::{Service, ServiceBuilder, layer::layer_fn};
use types::routed::{Declaration, Version};

use crate::calls::{RpcClient, ServerListing};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u32 = 16 * 1024 * 1024;

/// Failure of a call, with the address of the called host.
#[derive(Debug, thiserror::Error)]
#[error("call to the host at {address} failed: {cause}")]
pub struct Error {
    address: SocketAddr,
    cause: client::Error,
}

type Peer = HttpClient<RpcLogger<RpcService<Transport>>>;

#[derive(Debug)]
pub(crate) struct Client {
    timeout: Duration,
    transport: Transport,
}

impl Client {
    /// Creates a client whose calls each have this timeout.
    pub(crate) fn new(timeout: Duration) -> Client {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        connector.set_tcp_user_timeout(Some(timeout));
        let http = Http::builder(TokioExecutor::new()).pool_max_idle_per_host(0).build(connector);
        Client { timeout, transport: Transport(http) }
    }

    pub(crate) async fn declaration(
        &self,
        address: SocketAddr,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, Error> {
        let peer = self.peer(address)?;
        self.with_timeout(address, peer.declaration(above)).await
    }

    pub(crate) async fn servers(
        &self,
        address: SocketAddr,
        above: Revision,
    ) -> Result<Option<ServerListing>, Error> {
        let peer = self.peer(address)?;
        self.with_timeout(address, peer.servers(above)).await
    }

    pub(crate) async fn follow(
        &self,
        address: SocketAddr,
        above: Revision,
    ) -> Result<Option<ServerListing>, Error> {
        let peer = self.peer(address)?;
        self.with_timeout(address, peer.follow(above)).await
    }

    pub(crate) async fn members(&self, address: SocketAddr) -> Result<Vec<Member>, Error> {
        let peer = self.peer(address)?;
        self.with_timeout(address, peer.members()).await
    }

    fn peer(&self, address: SocketAddr) -> Result<Peer, Error> {
        let transport = self.transport.clone();
        HttpClientBuilder::new()
            .max_response_size(MAX_RESPONSE_BYTES)
            .request_timeout(self.timeout)
            .set_http_middleware(ServiceBuilder::new().layer(layer_fn(move |_| transport.clone())))
            .build(format!("http://{address}"))
            .map_err(|cause| Error { address, cause })
    }

    async fn with_timeout<T>(
        &self,
        address: SocketAddr,
        call: impl Future<Output = Result<T, client::Error>>,
    ) -> Result<T, Error> {
        let answer = tokio::time::timeout(self.timeout, call).await;
        let answer = answer.unwrap_or(Err(client::Error::RequestTimeout));
        answer.map_err(|cause| Error { address, cause })
    }
}

/// Transport that opens a connection for each call.
#[derive(Clone, Debug)]
struct Transport(Http<HttpConnector, Body>);

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
