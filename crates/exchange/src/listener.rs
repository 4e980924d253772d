//! The listener for calls that other hosts make to this one.

use std::{sync::Arc, time::Duration};

use jsonrpsee::server::{
    RpcModule, Server, ServerConfig, serve_with_graceful_shutdown, stop_channel,
};
use tokio::{net::TcpListener, sync::Semaphore};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

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

/// Serves calls until `stop` is cancelled.
pub(crate) async fn listen<T: Send + Sync + 'static>(
    listener: TcpListener,
    methods: RpcModule<T>,
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
        let service = builder.clone().build(methods.clone(), stopped.clone());
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
