//! The listener for callers.

mod socket;

use std::{convert::Infallible, sync::Arc, time::Duration};

use futures_util::FutureExt;
use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::sleep,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::socket::Socket;
use crate::{connect, host::Shared, path};

/// Maximum time for a request's head, counted from the end of the previous request. Callers'
/// connections must outlive the declared idle limit, which may change while they are open.
const HEAD_TIMEOUT: Duration = Duration::from_secs(300);

/// Delay after a connection could not be accepted.
pub(crate) const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Time after the stop for which connections are still read, so that requests which have arrived are
/// answered.
const LAST_READ_TIME: Duration = Duration::from_millis(50);

/// Maximum size of a head that is read, in bytes. The declared limit is checked afterwards.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Closes the connection on which a request arrived, with all that is in flight on it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Closer(CancellationToken);

impl Closer {
    /// Closes the connection.
    pub(crate) fn close(&self) {
        self.0.cancel();
    }
}

/// Serves callers until `stop` is cancelled, and returns once the last connection has ended.
pub(crate) async fn listen(shared: Arc<Shared>, listener: TcpListener, stop: CancellationToken) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        let Ok((stream, _)) = accepted else {
            // Without a pause, a lack of descriptors would take all of the processor.
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        connections.spawn(serve(shared.clone(), stream, stop.clone()));
    }
    // Connections that the kernel has accepted would be reset with the listener.
    if let Ok(listener) = listener.into_std() {
        while let Ok((stream, _)) = listener.accept() {
            let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
            if let Ok(stream) = stream {
                connections.spawn(serve(shared.clone(), stream, stop.clone()));
            }
        }
    }
    connections.close();
    connections.wait().await;
}

async fn serve(shared: Arc<Shared>, stream: TcpStream, stop: CancellationToken) {
    connect::prepare(&stream);
    let close = CancellationToken::new();
    let closer = Closer(close.clone());
    let (socket, delay) = Socket::new(stream, shared.clone());
    let service = service_fn(move |mut request| {
        let shared = shared.clone();
        request.extensions_mut().insert(closer.clone());
        let received = shared.now().saturating_sub(delay.take());
        async move { Ok::<_, Infallible>(path::answer(shared, request, received).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = stop.cancelled().then(|()| sleep(LAST_READ_TIME)) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let ended = tokio::select! {
        ended = serving => ended,
        () = close.cancelled() => return,
    };
    if let Err(error) = ended {
        log::debug!("a caller's connection failed: {error}");
    }
}
