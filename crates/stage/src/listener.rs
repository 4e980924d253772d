//! The callers' listener: limits on heads and idle time, and a graceful shutdown.

use std::{convert::Infallible, time::Duration};

use axum::{Router, body::Body, extract::Request};
use hyper::{body::Incoming, service::service_fn};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
};
use settings::process::Bounds;
use tokio::net::{TcpListener, TcpStream};
use tokio_io_timeout::TimeoutStream;
use tokio_util::sync::CancellationToken;
use tower::ServiceExt;

/// Delay after a failed accept, for example with too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// After the stop, connections in the system's backlog are still accepted until none arrives for
/// this long.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(20);

/// Minimum read buffer that hyper accepts for an HTTP/1 connection.
const MIN_HEAD_BUFFER_BYTES: usize = 8 * 1024;

/// Serves until stopped, and then until every request in flight has ended.
pub(crate) async fn serve(
    listener: TcpListener,
    router: Router,
    bounds: Bounds,
    stop: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => connect(stream, &router, &bounds, &graceful),
            Err(error) => {
                log::warn!("can't accept a caller's connection: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while let Ok(Ok((stream, _))) = tokio::time::timeout(BACKLOG_TIMEOUT, listener.accept()).await {
        connect(stream, &router, &bounds, &graceful);
    }
    drop(listener);
    graceful.shutdown().await;
}

fn connect(stream: TcpStream, router: &Router, bounds: &Bounds, graceful: &GracefulShutdown) {
    // With Nagle's algorithm, the last bytes of each token would wait for the caller's ACK.
    let _ = stream.set_nodelay(true);
    let mut stream = TimeoutStream::new(stream);
    stream.set_write_timeout(Some(bounds.idle));
    let router = router.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let router = router.clone();
        async move {
            let response = router.oneshot(request.map(Body::new)).await;
            response.map_err(|never: Infallible| match never {})
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.idle)
        .max_buf_size(bounds.head_bytes.max(MIN_HEAD_BUFFER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(bounds.head_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(Some(bounds.idle));
    let connection = builder.serve_connection(TokioIo::new(Box::pin(stream)), service).into_owned();
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("a caller's connection ended: {error}");
        }
    });
}
