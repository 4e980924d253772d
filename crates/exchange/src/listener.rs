//! The listener for calls that other hosts make to this one, and for the tunnels that they open.

use std::{io, sync::Arc, time::Duration};

use futures_util::{FutureExt, TryFutureExt, future::BoxFuture};
use http::{Method, Request};
use hyper::body::Incoming;
use jsonrpsee::server::{
    HttpBody, HttpResponse, RpcModule, Server, ServerConfig, serve_with_graceful_shutdown,
    stop_channel,
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use tower::{Service, service_fn};

use crate::tunnel::Acceptor;

/// Maximum size of a request, in bytes. A request has at most one number as its parameter.
const MAX_REQUEST_BYTES: u32 = 4 * 1024;

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: u32 = 16 * 1024 * 1024;

/// Maximum number of connections served at once; further ones wait to be accepted.
const MAX_CONNECTIONS: usize = 64;

/// Maximum lifetime of a connection. Hosts open a connection for each call.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failure to accept a connection, such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

type Answer = BoxFuture<'static, io::Result<HttpResponse>>;

/// Serves calls and opens tunnels until `stop` is cancelled.
pub(crate) async fn listen<T: Send + Sync + 'static>(
    listener: TcpListener,
    methods: RpcModule<T>,
    tunnels: Acceptor,
    tasks: TaskTracker,
    stop: CancellationToken,
) {
    let (stopped, handle) = stop_channel();
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(MAX_REQUEST_BYTES)
        .max_response_body_size(MAX_RESPONSE_BYTES)
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let next = async {
            let permit = permits.clone().acquire_owned().await;
            (permit, listener.accept().await)
        };
        let (permit, accepted) = tokio::select! {
            next = next => next,
            () = stop.cancelled() => break,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("can't accept a connection of another host: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // With Nagle's algorithm, a response may wait for the caller's acknowledgement.
        let _ = stream.set_nodelay(true);
        let calls = builder.clone().build(methods.clone(), stopped.clone());
        let tunnels = tunnels.clone();
        let service = service_fn(move |request: Request<Incoming>| -> Answer {
            let tunnels = tunnels.clone();
            match *request.method() {
                Method::CONNECT => async move { Ok(tunnels.accept(request).await) }.boxed(),
                _ => {
                    let answer = calls.clone().call(request.map(HttpBody::new));
                    answer.map_err(io::Error::other).boxed()
                }
            }
        });
        let served = serve_with_graceful_shutdown(stream, service, stopped.clone().shutdown());
        tasks.spawn(async move {
            let _permit = permit;
            if let Ok(Err(error)) = tokio::time::timeout(CONNECTION_TIMEOUT, served).await {
                log::debug!("the connection of another host failed: {error}");
            }
        });
    }
    // An error means that the server was stopped before.
    let _ = handle.stop();
}
