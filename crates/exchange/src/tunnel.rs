//! Tunnels: connections to servers that one host opens on behalf of another, by HTTP `CONNECT`.
//!
//! A host that can't reach a server connects to the listener for other hosts' calls and names the
//! server's run. The other host connects to the server by its own list of servers, and then
//! forwards bytes in both directions without looking at them. Every decision about a request stays
//! with the host that received it.
//!
//! Ends of connections are forwarded too: an orderly close as an orderly close, anything else as a
//! reset, also if a process dies. An answer that ends with its connection is therefore not taken
//! for complete if the tunnel breaks, and a request that is abandoned is abandoned at the server.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri};
use hyper::{client::conn::http1, upgrade::Upgraded};
use hyper_util::{rt::TokioIo, server::conn::auto::upgrade};
use jsonrpsee::server::HttpBody;
use policy::fleet::{Liveness, Snapshot};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
};
use types::{backend, host};

use crate::calls::Source;

/// Maximum number of tunnels that a host carries for others.
pub(crate) const MAX_TUNNELS: usize = 512;

/// Size of the buffer for each direction of a tunnel.
const BUFFER_BYTES: usize = 4 * 1024;

/// Time after which a tunnel whose other end sends and acknowledges nothing is closed.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time without data after which the other end of a tunnel is probed, and between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

const HOST_HEADER: &str = "host-id";
const INCARNATION_HEADER: &str = "host-run";
const SERVER_HEADER: &str = "server-id";

/// Why a host does not open a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// The request does not come from a known host of the deployment.
    #[error("the request does not come from a known host")]
    Forbidden,
    /// The host doesn't know the server, can't reach it itself, is stopping, or carries too many
    /// tunnels.
    #[error("the host does not connect to the server for others")]
    Declined,
    /// The host could not connect to the server.
    #[error("the host could not connect to the server")]
    Unreachable,
}

impl Refusal {
    fn status(self) -> StatusCode {
        match self {
            Refusal::Forbidden => StatusCode::FORBIDDEN,
            Refusal::Declined => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::Unreachable => StatusCode::BAD_GATEWAY,
        }
    }

    fn of(status: StatusCode) -> Refusal {
        match status {
            StatusCode::FORBIDDEN => Refusal::Forbidden,
            StatusCode::BAD_GATEWAY => Refusal::Unreachable,
            _ => Refusal::Declined,
        }
    }
}

/// Why a tunnel can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The other host can't be reached or its answer can't be read.
    #[error("tunnel through the host at {address}: {cause}")]
    Connection {
        /// Address of the other host.
        address: SocketAddr,
        /// The failure.
        cause: io::Error,
    },
    /// The other host refused.
    #[error("tunnel through the host at {address}: {refusal}")]
    Refused {
        /// Address of the other host.
        address: SocketAddr,
        /// The other host's reason.
        refusal: Refusal,
    },
}

/// Opens a tunnel to a server through the host at `address`, in the name of a run of this host.
pub(crate) async fn open(
    address: SocketAddr,
    (host, incarnation): (&host::Id, host::Incarnation),
    server: &backend::Id,
) -> Result<TcpStream, Error> {
    let failed = |cause| Error::Connection { address, cause };
    let stream = TcpStream::connect(address).await.map_err(failed)?;
    prepare(&stream);
    let request = request(address, host, incarnation, server).map_err(io::Error::other);
    let handshake = http1::handshake::<_, HttpBody>(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(io::Error::other).map_err(failed)?;
    tokio::spawn(connection.with_upgrades());
    let response = sender.send_request(request.map_err(failed)?).await;
    let response = response.map_err(io::Error::other).map_err(failed)?;
    if response.status() != StatusCode::OK {
        return Err(Error::Refused { address, refusal: Refusal::of(response.status()) });
    }
    let upgraded = hyper::upgrade::on(response).await.map_err(io::Error::other).map_err(failed)?;
    let parts = upgraded.downcast::<TokioIo<TcpStream>>();
    let parts = parts.map_err(|_| failed(io::ErrorKind::Unsupported.into()))?;
    // The server speaks only after a request.
    if !parts.read_buf.is_empty() {
        return Err(failed(io::ErrorKind::InvalidData.into()));
    }
    Ok(parts.io.into_inner())
}

fn request(
    address: SocketAddr,
    host: &host::Id,
    incarnation: host::Incarnation,
    server: &backend::Id,
) -> Result<Request<HttpBody>, http::Error> {
    Request::builder()
        .method(Method::CONNECT)
        .uri(Uri::builder().authority(address.to_string()).build()?)
        .header(HOST_HEADER, &**host)
        .header(INCARNATION_HEADER, HeaderValue::from(incarnation))
        .header(SERVER_HEADER, &**server)
        .body(HttpBody::empty())
}

/// Opens the tunnels that other hosts ask for.
#[derive(Clone)]
pub(crate) struct Acceptor {
    source: Arc<dyn Source>,
    snapshot: Arc<dyn Fn() -> Arc<Snapshot> + Send + Sync>,
    permits: Arc<Semaphore>,
}

impl Acceptor {
    pub(crate) fn new(
        source: Arc<dyn Source>,
        snapshot: impl Fn() -> Arc<Snapshot> + Send + Sync + 'static,
        permits: Arc<Semaphore>,
    ) -> Acceptor {
        Acceptor { source, snapshot: Arc::new(snapshot), permits }
    }

    /// Answers a `CONNECT` request, and forwards bytes once the answer is sent.
    pub(crate) async fn accept<B: Send + 'static>(
        &self,
        mut request: Request<B>,
    ) -> Response<HttpBody> {
        let mut response = Response::new(HttpBody::empty());
        match self.connect(request.headers()).await {
            Ok((server, permit)) => {
                let upgrade = hyper::upgrade::on(&mut request);
                tokio::spawn(async move {
                    if let Ok(peer) = upgrade.await {
                        forward(peer, server, permit).await;
                    }
                });
            }
            Err(refusal) => *response.status_mut() = refusal.status(),
        }
        response
    }

    async fn connect(
        &self,
        headers: &HeaderMap,
    ) -> Result<(TcpStream, OwnedSemaphorePermit), Refusal> {
        let server = self.authorize(headers).ok_or(Refusal::Forbidden)?;
        let permit = self.permits.clone().try_acquire_owned().map_err(|_| Refusal::Declined)?;
        Ok((self.source.dial(server).await?, permit))
    }

    /// Returns the requested server, if the request names the current run of another host. Runs have
    /// random numbers, which only hosts of the deployment receive.
    fn authorize(&self, headers: &HeaderMap) -> Option<backend::Id> {
        let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
        let (host, server) = (text(HOST_HEADER)?, text(SERVER_HEADER)?);
        let incarnation: host::Incarnation = text(INCARNATION_HEADER)?.parse().ok()?;
        let snapshot = (self.snapshot)();
        let is_known = snapshot.hosts.iter().any(|status| {
            *status.member.id == *host
                && status.member.incarnation == incarnation
                && status.liveness != Liveness::Silent
        });
        is_known.then(|| server.into())
    }
}

async fn forward(peer: Upgraded, server: TcpStream, _permit: OwnedSemaphorePermit) {
    let Ok(parts) = upgrade::downcast::<TokioIo<TcpStream>>(peer) else { return };
    let (mut peer, mut server) = (parts.io.into_inner(), server);
    for stream in [&peer, &server] {
        prepare(stream);
        // Until both directions have ended in order, the end of this process resets both.
        let _ = stream.set_zero_linger();
    }
    let ended = {
        let (peer_read, peer_write) = peer.split();
        let (server_read, mut server_write) = server.split();
        let to_server = async {
            server_write.write_all(&parts.read_buf).await?;
            copy(peer_read, server_write).await
        };
        tokio::try_join!(to_server, copy(server_read, peer_write))
    };
    if ended.is_ok() {
        let _ = SockRef::from(&peer).set_linger(None);
        let _ = SockRef::from(&server).set_linger(None);
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
) -> io::Result<()> {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buffer[..length]).await?;
    }
}

/// Sets the socket options of a tunnel's connections. Failures are ignored: the connection works
/// without them.
fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let keepalive =
        TcpKeepalive::new().with_time(KEEPALIVE_INTERVAL).with_interval(KEEPALIVE_INTERVAL);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let _ = socket.set_tcp_user_timeout(Some(DEAD_PEER_TIMEOUT));
}
