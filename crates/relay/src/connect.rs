//! Connections to servers and to the store.

mod guard;
mod wire;

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::Incoming,
    client::conn::{TrySendError, http1},
};
use hyper_util::rt::TokioIo;
use policy::paths::Path;
use socket2::SockRef;
use tokio::{net::TcpStream, task::JoinHandle};
use types::host;

pub(crate) use self::guard::WriteGuard;
use self::wire::{Controls, MAX_HEAD_BYTES, Wire};
use crate::paths::Relayed;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time after which a connection is closed if sent bytes are not acknowledged, as when the peer has
/// become unreachable.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// An HTTP/1.1 connection and the task that drives it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: http1::SendRequest<Full<Bytes>>,
    controls: Controls,
    /// `None` for a direct connection.
    relayed: Option<Box<Relayed>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Returns the host through which the connection leads; `None` if it is direct.
    pub(crate) fn gateway(&self) -> Option<&host::Id> {
        self.relayed.as_deref().map(Relayed::gateway)
    }

    /// Returns the path that the connection takes.
    pub(crate) fn path(&self) -> Path {
        if self.relayed.is_some() { Path::Relayed } else { Path::Direct }
    }

    /// Returns whether all bytes sent so far have been handed to the kernel.
    pub(crate) fn is_flushed(&self) -> bool {
        !self.controls.pending_write.is_pending()
    }

    /// Sets whether the socket is closed with a reset, which drops the bytes that are still in
    /// transit. An abandoned request must not arrive later.
    pub(crate) fn set_reset_on_close(&self, is_reset: bool) {
        self.controls.reset_on_close.set(is_reset);
    }

    /// Sets the guard of all writes from now on; `None` permits them all.
    pub(crate) fn set_write_guard(&self, guard: Option<Arc<WriteGuard>>) {
        self.controls.guard.set(guard);
    }

    /// Sends a request and waits for the head of the response, which is bounded in size and time.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.controls.awaited_head.start();
        let response = self.sender.try_send_request(request).await;
        self.controls.awaited_head.end();
        response
    }

    /// Returns whether the last response's head exceeded its bounds.
    pub(crate) fn is_head_endless(&self) -> bool {
        self.controls.awaited_head.is_endless()
    }
}

impl Drop for Connection {
    /// Closes the socket at once, even while a request is in progress.
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Opens a connection that is closed without a reset, until [`Connection::set_reset_on_close`].
///
/// # Errors
///
/// The connection is refused or not established in time.
pub(crate) async fn open(address: SocketAddr) -> io::Result<Connection> {
    drive(connect(address).await?, None).await
}

/// Establishes a TCP connection.
///
/// # Errors
///
/// The connection is refused or not established in time.
pub(crate) async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream);
    Ok(stream)
}

/// Starts HTTP/1.1 on an established connection, which leads through another host if `relayed` is
/// set.
///
/// # Errors
///
/// The handshake fails.
pub(crate) async fn drive(
    stream: TcpStream,
    relayed: Option<Box<Relayed>>,
) -> io::Result<Connection> {
    let (wire, controls) = Wire::new(stream);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let handshake = builder.handshake(TokioIo::new(wire)).await;
    let (sender, connection) = handshake.map_err(io::Error::other)?;
    let driver = tokio::spawn(async move {
        // The error is also reported to the sender of the request.
        let _ = connection.await;
    });
    Ok(Connection { sender, controls, relayed, driver })
}

/// Opens a connection that is always closed with a reset, which drops the bytes that are still in
/// transit.
///
/// # Errors
///
/// The connection is refused or not established in time.
pub(crate) async fn open_with_reset(address: SocketAddr) -> io::Result<Connection> {
    let stream = connect(address).await?;
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
    drive(stream, None).await
}

/// Sets the socket options that every connection needs. Failures are ignored: the connection works
/// without them.
pub(crate) fn prepare(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT));
}
