//! The listening socket of a proxy, which can refuse or ignore new connections while its port stays
//! bound.

use std::{
    future::pending,
    io,
    net::{Shutdown, SocketAddr},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time::timeout,
};

use super::NewConnections;

/// Length of the queue of connections to be accepted.
const BACKLOG: i32 = 1024;

/// Number of connections that are left unaccepted to fill a queue of length 0, which takes one.
const FILLERS: usize = 2;

/// Time limit for a filler's connection, which hangs once the queue is full.
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);

/// A bound socket, and the listener that accepts its connections.
#[derive(Debug)]
pub(super) struct Entrance {
    address: SocketAddr,
    socket: std::net::TcpListener,
    /// `None` while connections are refused or ignored.
    listener: Option<TcpListener>,
    /// Unaccepted connections that fill the queue while connections are ignored.
    fillers: Vec<TcpStream>,
}

impl Entrance {
    pub(super) fn new(listener: TcpListener) -> io::Result<Entrance> {
        let address = listener.local_addr()?;
        let socket = listener.into_std()?;
        let listener = Some(TcpListener::from_std(socket.try_clone()?)?);
        Ok(Entrance { address, socket, listener, fillers: Vec::new() })
    }

    /// Accepts a connection; waits forever while connections are refused or ignored.
    pub(super) async fn accept(&self) -> io::Result<TcpStream> {
        match &self.listener {
            Some(listener) => Ok(listener.accept().await?.0),
            None => pending().await,
        }
    }

    pub(super) async fn set(&mut self, new: NewConnections) -> io::Result<()> {
        // A tokio listener does not recover from the end of its socket's listening.
        self.listener = None;
        self.fillers.clear();
        match new {
            NewConnections::Accept | NewConnections::Reset => {
                SockRef::from(&self.socket).listen(BACKLOG)?;
                self.listener = Some(TcpListener::from_std(self.socket.try_clone()?)?);
            }
            NewConnections::Refuse => SockRef::from(&self.socket).shutdown(Shutdown::Read)?,
            NewConnections::Ignore => {
                SockRef::from(&self.socket).listen(0)?;
                for _ in 0..FILLERS {
                    let filler = timeout(FILLER_TIMEOUT, TcpStream::connect(self.address)).await;
                    self.fillers.extend(filler.into_iter().flatten());
                }
            }
        }
        Ok(())
    }
}
