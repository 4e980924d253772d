//! HTTP listener that can be killed with all its connections and started again on the same port.

use std::{
    convert::Infallible,
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use axum::{Router, body::Body, extract::Request, response::Response};
use hyper::service::service_fn;
use hyper_util::{
    rt::{TokioExecutor, TokioIo},
    server::conn::auto,
};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{AbortHandle, JoinSet},
};
use tower::ServiceExt;

const BIND_ATTEMPTS: u32 = 100;
const BIND_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Response extension that makes the listener close the connection instead of sending the response.
#[derive(Clone, Copy, Debug)]
pub struct LoseAnswer;

/// A running listener, which is killed when dropped.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    accepting: AbortHandle,
}

impl Listener {
    /// Serves `router` on a loopback port that the system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(router: Router) -> io::Result<Listener> {
        Listener::start_at((Ipv4Addr::LOCALHOST, 0).into(), router).await
    }

    /// Serves `router` at `address`. Retries for about 2 s while the address is still in use.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start_at(address: SocketAddr, router: Router) -> io::Result<Listener> {
        let listener = bind(address).await?;
        let address = listener.local_addr()?;
        let accepting = tokio::spawn(accept(listener, router)).abort_handle();
        Ok(Listener { address, accepting })
    }

    /// Address that it is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and closes all connections at once.
    pub fn kill(&self) {
        self.accepting.abort();
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    for _ in 0..BIND_ATTEMPTS {
        match TcpListener::bind(address).await {
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {
                tokio::time::sleep(BIND_RETRY_DELAY).await
            }
            result => return result,
        }
    }
    TcpListener::bind(address).await
}

/// Accepts connections until aborted. They belong to the `JoinSet`, so that aborting this task
/// closes them.
async fn accept(listener: TcpListener, router: Router) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    connections.spawn(serve(stream, router.clone()));
                }
                Err(_) => tokio::time::sleep(BIND_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, router: Router) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        answer(router.clone(), request.map(Body::new))
    });
    // A broken connection is not an error of the stand-in.
    let _ = auto::Builder::new(TokioExecutor::new())
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer(router: Router, request: Request) -> Result<Response, Arc<io::Error>> {
    let response = router.oneshot(request).await.unwrap_or_else(|never: Infallible| match never {});
    match response.extensions().get::<LoseAnswer>() {
        Some(LoseAnswer) => Err(Arc::new(io::Error::other("answer lost on purpose"))),
        None => Ok(response),
    }
}
