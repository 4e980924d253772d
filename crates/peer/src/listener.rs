//! Listener for the calls of other hosts.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use http::{Response, StatusCode};
use hyper::{Request, body::Incoming};
use jsonrpsee::server::{
    HttpBody, Server, ServerConfig, StopHandle, serve_with_graceful_shutdown, stop_channel,
};
use meter::Meter;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tower::{Service, ServiceExt, service_fn};

use crate::{
    api::{Adapter, Api, RpcServer},
    token::Token,
};

/// Size limit of a request; heartbeats are the largest.
const MAX_REQUEST_BYTES: u32 = 64 * 1024;

/// Size limit of a response; a complete configuration is the largest.
const MAX_RESPONSE_BYTES: u32 = 64 * 1024 * 1024;

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Settings of the listener, and the counters that it updates.
#[derive(Clone, Debug)]
pub struct ListenerSettings {
    /// Token that callers must send.
    pub token: Token,
    /// Meter that counts the bytes of accepted connections.
    pub meter: Meter,
    /// Number of calls that were refused because of a wrong or missing token.
    pub refused: Arc<AtomicU64>,
}

/// Serves other hosts until `stop` is cancelled.
pub async fn listen<A: Api>(
    listener: TcpListener,
    settings: ListenerSettings,
    api: A,
    stop: CancellationToken,
) {
    let (stopped, handle) = stop_channel();
    let methods = Adapter(api).into_rpc();
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, from)) => {
                let rpc = builder.clone().build(methods.clone(), stopped.clone());
                connect(stream, from, &settings, rpc, stopped.clone());
            }
            Err(error) => {
                log::warn!("can't accept a connection of a peer: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Fails only if the server was stopped already.
    let _ = handle.stop();
}

fn connect<S>(
    stream: TcpStream,
    from: SocketAddr,
    settings: &ListenerSettings,
    rpc: S,
    stopped: StopHandle,
) where
    S: Service<Request<Incoming>, Response = Response<HttpBody>> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    // Otherwise a response may wait for the peer's TCP acknowledgement (Nagle's algorithm).
    let _ = stream.set_nodelay(true);
    let stream = settings.meter.wrap(stream);
    let settings = settings.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (settings, rpc) = (settings.clone(), rpc.clone());
        async move { Ok::<_, Infallible>(answer(request, from, &settings, rpc).await) }
    });
    tokio::spawn(async move {
        let served = serve_with_graceful_shutdown(stream, service, stopped.shutdown()).await;
        if let Err(error) = served {
            log::debug!("connection of a peer failed: {error}");
        }
    });
}

async fn answer<S>(
    request: Request<Incoming>,
    from: SocketAddr,
    settings: &ListenerSettings,
    rpc: S,
) -> Response<HttpBody>
where
    S: Service<Request<Incoming>, Response = Response<HttpBody>>,
    S::Error: std::fmt::Display,
{
    if !settings.token.authorizes(request.headers()) {
        settings.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!(from:% = from; "call of a peer refused: wrong or missing token");
        return empty(StatusCode::UNAUTHORIZED);
    }
    match rpc.oneshot(request).await {
        Ok(response) => response,
        Err(error) => {
            log::warn!(from:% = from; "call of a peer failed: {error}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = status;
    response
}
