//! A proxy between two TCP ends that misbehaves on request.
//!
//! A test puts one on a link (host to platform, host to server, host to host, caller to host) and
//! changes it while it runs. Faults belong to one direction, so that loss may be one-way. TCP never
//! loses bytes within a stream, so loss is what the ends see of it: silence for as long as
//! the fault lasts ([`Fault::Hold`]), a connection that one end has left and the other hasn't
//! noticed ([`Fault::Discard`]), or a reset ([`Proxy::reset_connections`], [`Fault::ResetAfter`]). A [`Interceptor`] waits
//! for one request by its text and strikes just that one. Small writes come from `tokio-netem`;
//! delay doesn't, since its delay adds up over the writes of a stream where a long link's doesn't.

mod connection;
mod intercept;

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{AbortHandle, JoinSet},
};
use tokio_netem::slicer::DynamicSize;

use self::connection::Connection;
pub use self::intercept::{Interception, Interceptor};

/// Direction of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the end that connects to the target.
    ToTarget,
    /// From the target to the end that connected.
    ToClient,
}

impl Direction {
    /// Both directions.
    pub const BOTH: [Direction; 2] = [Direction::ToTarget, Direction::ToClient];
}

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// They pass.
    #[default]
    Pass,
    /// They pass this much later; the order and the rate stay.
    Delay(Duration),
    /// They wait, and so do closings, until another fault is set.
    Hold,
    /// They and closings are thrown away; a connection that lost any is reset as soon as another
    /// fault is set.
    Discard,
    /// So many more pass on each connection, then it is reset.
    ResetAfter(u64),
}

/// Whether new connections are let in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NewConnections {
    /// They are.
    #[default]
    Accept,
    /// They are reset at once, as by a machine without a listener.
    Reset,
}

/// A fault and the number of the change that set it.
#[derive(Clone, Copy, Debug, Default)]
struct Setting {
    fault: Fault,
    change: u64,
}

/// What the proxy and its connections share.
#[derive(Debug)]
struct Shared {
    target: watch::Sender<SocketAddr>,
    new_connections: watch::Sender<NewConnections>,
    to_target: watch::Sender<Setting>,
    to_client: watch::Sender<Setting>,
    resets: watch::Sender<u64>,
    max_write: Arc<DynamicSize>,
    interceptors: intercept::Interceptors,
    accepted: AtomicU64,
    refused: AtomicU64,
    bytes_to_target: AtomicU64,
    bytes_to_client: AtomicU64,
}

impl Shared {
    fn setting(&self, direction: Direction) -> &watch::Sender<Setting> {
        match direction {
            Direction::ToTarget => &self.to_target,
            Direction::ToClient => &self.to_client,
        }
    }

    fn bytes(&self, direction: Direction) -> &AtomicU64 {
        match direction {
            Direction::ToTarget => &self.bytes_to_target,
            Direction::ToClient => &self.bytes_to_client,
        }
    }
}

/// A running proxy; it ends, with all its connections, when dropped.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: AbortHandle,
}

impl Proxy {
    /// Starts a proxy to `target` on a loopback port that the system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Proxy> {
        Proxy::on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?, target)
    }

    /// Starts a proxy to `target` on a listener.
    ///
    /// # Errors
    ///
    /// If the listener's address can't be read.
    pub fn on(listener: TcpListener, target: SocketAddr) -> io::Result<Proxy> {
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            target: watch::Sender::new(target),
            new_connections: watch::Sender::default(),
            to_target: watch::Sender::default(),
            to_client: watch::Sender::default(),
            resets: watch::Sender::default(),
            max_write: DynamicSize::new(0),
            interceptors: intercept::Interceptors::default(),
            accepted: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            bytes_to_target: AtomicU64::new(0),
            bytes_to_client: AtomicU64::new(0),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared))).abort_handle();
        Ok(Proxy { address, shared, accepting })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to another target; those that stand stay.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Sets the fault of one direction, for connections that stand and for new ones.
    pub fn set(&self, direction: Direction, fault: Fault) {
        self.shared.setting(direction).send_modify(|setting| {
            setting.fault = fault;
            setting.change += 1;
        });
    }

    /// Sets the same fault in both directions.
    pub fn set_both(&self, fault: Fault) {
        Direction::BOTH.into_iter().for_each(|direction| self.set(direction, fault));
    }

    /// Opens or shuts the door to new connections.
    pub fn set_new_connections(&self, new: NewConnections) {
        self.shared.new_connections.send_replace(new);
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.shared.max_write.set(0);
        self.set_new_connections(NewConnections::Accept);
        self.set_both(Fault::Pass);
    }

    /// Resets every connection that stands.
    pub fn reset_connections(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }

    /// Writes at most this many bytes at a time; zero writes as they come.
    pub fn slice(&self, bytes: usize) {
        self.shared.max_write.set(bytes);
    }

    /// Lays a trap for the next request whose text holds `text`.
    ///
    /// The text is looked for in each piece as it was written, so it should stand in the request's
    /// first line or the start of its headers.
    pub fn intercept(&self, text: &str, interception: Interception) -> Interceptor {
        self.shared.interceptors.add(text, interception)
    }

    /// Connections let in so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Connections reset at the door so far.
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Bytes passed on so far in one direction.
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.shared.bytes(direction).load(Ordering::Relaxed)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Accepts for good; connections belong to the set, so that aborting this task ends them.
async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => admit(stream, &shared, &mut connections),
                Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

fn admit(stream: TcpStream, shared: &Arc<Shared>, connections: &mut JoinSet<()>) {
    if *shared.new_connections.borrow() == NewConnections::Reset {
        shared.refused.fetch_add(1, Ordering::Relaxed);
        reset(&stream);
        return;
    }
    shared.accepted.fetch_add(1, Ordering::Relaxed);
    connections.spawn(Connection::new(Arc::clone(shared)).run(stream));
}

/// Makes the coming close a reset. A socket that is gone already needs none.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
