//! The listener for other hosts.

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

/// Largest request; the largest is a heartbeat.
const MAX_REQUEST_BYTES: u32 = 64 * 1024;

/// Largest answer; the largest is a whole configuration.
const MAX_RESPONSE_BYTES: u32 = 64 * 1024 * 1024;

/// Pause after a failure to accept, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What other hosts see of this one.
#[derive(Clone, Debug)]
pub struct Listener {
    /// The token that they must show.
    pub token: Token,
    /// Counts their bytes.
    pub meter: Meter,
    /// Counts calls with a wrong token or none.
    pub refused: Arc<AtomicU64>,
}

/// Serves other hosts until told to stop.
pub async fn listen<A: Api>(
    listener: TcpListener,
    settings: Listener,
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
                log::warn!("peers' listener: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // An error says that it was stopped before.
    let _ = handle.stop();
}

fn connect<S>(stream: TcpStream, from: SocketAddr, settings: &Listener, rpc: S, stopped: StopHandle)
where
    S: Service<Request<Incoming>, Response = Response<HttpBody>> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: std::fmt::Display + Send,
{
    // Without it an answer may wait for the peer's acknowledgement.
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
            log::debug!("peer's connection: {error}");
        }
    });
}

async fn answer<S>(
    request: Request<Incoming>,
    from: SocketAddr,
    settings: &Listener,
    rpc: S,
) -> Response<HttpBody>
where
    S: Service<Request<Incoming>, Response = Response<HttpBody>>,
    S::Error: std::fmt::Display,
{
    if !settings.token.authorizes(request.headers()) {
        settings.refused.fetch_add(1, Ordering::Relaxed);
        log::warn!(from:% = from; "peer without the right token");
        return empty(StatusCode::UNAUTHORIZED);
    }
    match rpc.oneshot(request).await {
        Ok(response) => response,
        Err(error) => {
            log::warn!(from:% = from; "peer's call: {error}");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<HttpBody> {
    let mut response = Response::new(HttpBody::empty());
    *response.status_mut() = status;
    response
}
