//! Connections to servers and to the store.

mod wire;

use std::{io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};

use self::wire::{PendingWrite, ResetOnClose, Wire};

/// Longest time for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which unacknowledged bytes end a connection that has gone silent.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection, and the task that drives it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    pending_write: PendingWrite,
    reset_on_close: ResetOnClose,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Whether all that was sent so far has left this process.
    pub(crate) fn is_flushed(&self) -> bool {
        !self.pending_write.is_pending()
    }

    /// Whether the connection ends with a reset from now on: a request that is given up must not arrive later.
    pub(crate) fn set_reset_on_close(&self, is_reset: bool) {
        self.reset_on_close.set(is_reset);
    }

    /// Closes the socket, and returns when it is closed.
    pub(crate) async fn close(mut self) {
        self.driver.abort();
        let _ = (&mut self.driver).await;
    }
}

impl Drop for Connection {
    /// Closes the socket at once, whatever is under way on it.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection.
///
/// # Errors
///
/// It is refused, or does not stand in time.
pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
    drive(connect(address).await?).await
}

async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream);
    Ok(stream)
}

async fn drive(stream: TcpStream) -> io::Result<Connection> {
    let (wire, pending_write, reset_on_close) = Wire::new(stream);
    let (sender, connection) =
        http1::Builder::new().handshake(TokioIo::new(wire)).await.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The request's side hears of the error.
        let _ = connection.await;
    });
    Ok(Connection { sender, pending_write, reset_on_close, driver })
}

/// Opens a connection whose end is a reset: what is still held up on the way is lost with it.
///
/// # Errors
///
/// It is refused, or does not stand in time.
pub(crate) async fn open_with_reset(address: SocketAddr) -> io::Result<Connection> {
    let stream = connect(address).await?;
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drive(stream).await
}

/// Sets what every connection needs; one that can't take an option works without it.
pub(crate) fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
