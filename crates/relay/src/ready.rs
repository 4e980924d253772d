//! The listener for the load balancer's readiness probe and for the metrics.

use std::{convert::Infallible, sync::Arc};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use observe::metrics::CONTENT_TYPE;
use tokio::{net::TcpListener, time::sleep};

use crate::{callers, connect, host::Shared};

const METRICS_PATH: &str = "/metrics";

/// Serves readiness probes and metrics until the process ends.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(callers::ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        connect::prepare(&stream);
        let shared = shared.clone();
        tokio::spawn(async move {
            let answer = service_fn(|request| {
                let response = answer(&shared, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new()
                .timer(TokioTimer::new())
                .serve_connection(TokioIo::new(stream), answer);
            let _ = served.await;
        });
    }
}

fn answer(shared: &Shared, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == METRICS_PATH {
        return metrics(shared);
    }
    let mut response = Response::new(Full::default());
    let is_probe = request.uri().path() == shared.dialect.ready_path();
    *response.status_mut() = match (is_probe, shared.is_ready()) {
        (true, true) => StatusCode::OK,
        (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        (false, _) => StatusCode::NOT_FOUND,
    };
    response
}

fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    shared.update_metrics();
    let Ok(text) = shared.metrics.text() else {
        let mut failed = Response::new(Full::default());
        *failed.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
        return failed;
    };
    let mut response = Response::new(Full::from(text));
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
    response
}
