//! TCP proxy that injects faults on request.
//!
//! A test puts a proxy on a link (host to platform, host to server, host to host, caller to host)
//! and changes its faults while it runs. Faults apply to one direction, so that loss may be
//! one-way. TCP loses no bytes within a stream, so loss is simulated by what the ends observe:
//! silence for as long as the fault lasts ([`Fault::Hold`]), a connection that one end has closed
//! while the other has not noticed ([`Fault::Discard`]), or a reset ([`Proxy::reset_connections`],
//! [`Fault::ResetAfter`]). An [`Interceptor`] affects a single request, which it finds by its text.
//!
//! Small writes are implemented by `tokio-netem`. Delay is not, because the delay of `tokio-netem`
//! adds up over the writes of a stream, while that of a long link does not.

mod connection;
mod entrance;
mod intercept;

use std::{
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
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

pub use self::intercept::{Interception, Interceptor};
use self::{connection::Connection, entrance::Entrance};

/// Direction in which bytes flow through the proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Direction {
    /// From the connecting client to the target.
    ToTarget,
    /// From the target to the connecting client.
    ToClient,
}

impl Direction {
    /// Both directions.
    pub const BOTH: [Direction; 2] = [Direction::ToTarget, Direction::ToClient];
}

/// What happens to the bytes of one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Bytes pass.
    #[default]
    Pass,
    /// Bytes pass later by this time, in the same order and at the same rate.
    Delay(Duration),
    /// Bytes and closings are held until another fault is set.
    Hold,
    /// Like [`Fault::Hold`], except that the bytes of a connection that its sender has reset are lost,
    /// as on a partitioned network.
    Partition,
    /// Bytes and closings are discarded. A connection that lost any is reset as soon as another
    /// fault is set.
    Discard,
    /// This many more bytes pass on each connection, which is then reset.
    ResetAfter(u64),
}

/// What the proxy does with new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NewConnections {
    /// Forwards them to the target.
    #[default]
    Accept,
    /// Accepts them and resets them at once.
    Reset,
    /// Refuses them, as a machine without a listener does.
    Refuse,
    /// Ignores them, as an unreachable machine does, so that connecting hangs.
    Ignore,
}

/// The fault of one direction, and the number of changes so far, which identifies the last one.
#[derive(Clone, Copy, Debug, Default)]
struct Setting {
    fault: Fault,
    change: u64,
}

/// State that the proxy shares with its connections.
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

/// A running proxy, which ends with all its connections when dropped.
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
        Proxy::start_at(Ipv4Addr::LOCALHOST.into(), target).await
    }

    /// Starts a proxy to `target` on a port of a loopback address that the system picks.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start_at(ip: IpAddr, target: SocketAddr) -> io::Result<Proxy> {
        Proxy::on(bind(ip).await?, target)
    }

    /// Starts a proxy to `target` on a listener that was bound to a port of the caller's choice, if
    /// [`NewConnections::Refuse`] is to be used.
    ///
    /// # Errors
    ///
    /// If the listener's address can't be read.
    pub fn on(listener: TcpListener, target: SocketAddr) -> io::Result<Proxy> {
        let address = listener.local_addr()?;
        let entrance = Entrance::new(listener)?;
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
        let accepting = tokio::spawn(accept(entrance, Arc::clone(&shared))).abort_handle();
        Ok(Proxy { address, shared, accepting })
    }

    /// Address that clients connect to in place of the target.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends new connections to another target. Existing connections keep theirs.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Sets the fault of one direction, for existing and new connections.
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

    /// Sets what happens to new connections. Existing connections are not affected.
    pub fn set_new_connections(&self, new: NewConnections) {
        self.shared.new_connections.send_replace(new);
    }

    /// Removes all faults and the limit of writes, and accepts new connections. Interceptors stay.
    pub fn heal(&self) {
        self.shared.max_write.set(0);
        self.set_new_connections(NewConnections::Accept);
        self.set_both(Fault::Pass);
    }

    /// Resets all existing connections.
    pub fn reset_connections(&self) {
        self.shared.resets.send_modify(|resets| *resets += 1);
    }

    /// Limits each write to this many bytes; 0 removes the limit.
    pub fn slice(&self, bytes: usize) {
        self.shared.max_write.set(bytes);
    }

    /// Intercepts the next request that contains `text`.
    ///
    /// Each chunk is searched on its own, so the text should be in the request's first line or at
    /// the start of its headers, where it is unlikely to be split.
    ///
    /// # Panics
    ///
    /// If `text` is empty.
    pub fn intercept(&self, text: &str, interception: Interception) -> Interceptor {
        self.shared.interceptors.add(text, interception)
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.shared.accepted.load(Ordering::Relaxed)
    }

    /// Number of new connections reset so far because of [`NewConnections::Reset`].
    pub fn refused(&self) -> u64 {
        self.shared.refused.load(Ordering::Relaxed)
    }

    /// Number of bytes forwarded so far in one direction.
    pub fn bytes(&self, direction: Direction) -> u64 {
        self.shared.bytes(direction).load(Ordering::Relaxed)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Binds a port that stays bound when the socket stops listening, unlike one that the system picks.
async fn bind(ip: IpAddr) -> io::Result<TcpListener> {
    const MAX_ATTEMPTS: usize = 16;
    let mut failure = io::ErrorKind::AddrInUse.into();
    for _ in 0..MAX_ATTEMPTS {
        let free = TcpListener::bind((ip, 0)).await?.local_addr()?;
        // Another socket may have been given the port meanwhile.
        match TcpListener::bind(free).await {
            Ok(listener) => return Ok(listener),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Accepts connections until aborted. They belong to the `JoinSet`, so that aborting this task
/// closes them.
async fn accept(mut entrance: Entrance, shared: Arc<Shared>) {
    const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
    let mut new_connections = shared.new_connections.subscribe();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            Ok(()) = new_connections.changed() => {
                let new = *new_connections.borrow_and_update();
                if entrance.set(new).await.is_err() {
                    return;
                }
            }
            accepted = entrance.accept() => match accepted {
                Ok(stream) => admit(stream, &shared, &mut connections),
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

/// Makes the next close of the socket a reset. An error means that the socket is closed already.
fn reset(stream: &TcpStream) {
    let _ = stream.set_zero_linger();
}
