//! A host's side of the exchange: sockets, calls and tasks that drive a [`policy::fleet::Fleet`].

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use policy::fleet::{
    Counts, Envelope, Fleet, Liveness, Load, Member, Notice, Publication, Recipients, Revision,
    Settings, Snapshot, State, Tier, Traffic, UnknownHost,
};
use tokio::{
    net::{TcpListener, TcpStream, UdpSocket},
    sync::{Semaphore, mpsc},
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use types::{
    availability, backend, host,
    routed::{Declaration, Version},
};

use crate::{
    calls::{Handler, RpcServer, ServerListing, Source},
    client::{self, Client},
    clock::{self, Clock},
    inbox::MAX_HANDED_OVER,
    listener,
    run::{self, Shared},
    tunnel::{self, Acceptor, MAX_TUNNELS},
};

/// Default timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of ports that are tried until one is free for both datagrams and calls.
const MAX_PORT_ATTEMPTS: usize = 16;

/// Number of times that the end of this host is announced, since a datagram may be lost.
const GOODBYE_COUNT: usize = 2;

/// Delay after each announcement of the end.
const GOODBYE_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum time to wait for calls in progress when the exchange ends.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Configuration of an exchange.
#[derive(Clone)]
pub struct Config {
    /// Id of this host.
    pub host: host::Id,
    /// Availability zone of this host.
    pub zone: availability::Id,
    /// Address of the listeners for datagrams and calls. If the port is 0, a free port is chosen.
    pub address: SocketAddr,
    /// Address at which other hosts reach this one, if it differs from `address`.
    pub advertised: Option<SocketAddr>,
    /// Identity of this run of the host. It must differ from that of every other run, and need not
    /// be larger than that of an earlier one.
    pub incarnation: host::Incarnation,
    /// Addresses at which other hosts may listen; contacted at the start.
    pub seeds: Vec<SocketAddr>,
    /// Intervals and sizes of the gossip protocol.
    pub settings: Settings,
    /// Timeout of a call to another host.
    pub call_timeout: Duration,
    /// Clock by which intervals and ages are measured.
    pub clock: Clock,
}

impl Config {
    /// Returns a configuration with default times, a monotonic clock and no seeds.
    pub fn new(
        host: host::Id,
        zone: availability::Id,
        address: SocketAddr,
        incarnation: host::Incarnation,
    ) -> Config {
        Config {
            host,
            zone,
            address,
            advertised: None,
            incarnation,
            seeds: Vec::new(),
            settings: Settings::default(),
            call_timeout: CALL_TIMEOUT,
            clock: clock::steady(),
        }
    }
}

/// Reason why an exchange can't start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen at {address}: {cause}")]
pub struct Error {
    address: SocketAddr,
    cause: io::Error,
}

/// A host's side of the exchange. It runs until [`Exchange::leave`] is called or the value is
/// dropped.
pub struct Exchange {
    shared: Arc<Shared>,
    client: Client,
    member: Member,
    bound: SocketAddr,
    notices: Mutex<Option<mpsc::Receiver<Envelope>>>,
    /// A permit for each further tunnel that this host may carry.
    tunnels: Arc<Semaphore>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Exchange {
    /// Starts the listeners and begins to contact the other hosts.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub async fn start(config: Config, source: Arc<dyn Source>) -> Result<Arc<Exchange>, Error> {
        let address = config.address;
        let sockets = bind(address).await.map_err(|cause| Error { address, cause })?;
        let (listener, socket, bound) = sockets;
        let member = Member {
            id: config.host,
            zone: config.zone,
            address: config.advertised.unwrap_or(bound),
            incarnation: config.incarnation,
        };
        let now = (config.clock)();
        let fleet = Fleet::new(now, config.settings, member.clone(), config.seeds);
        let shared = Arc::new(Shared::new(config.clock, fleet));
        let (sender, receiver) = mpsc::channel(MAX_HANDED_OVER);
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        tasks.spawn(run::run(shared.clone(), socket, sender, stop.clone()));
        let members = members(&shared, &member);
        let methods = Handler { source: source.clone(), members }.into_rpc();
        let tunnels = Arc::new(Semaphore::new(MAX_TUNNELS));
        let fleet = Arc::downgrade(&shared);
        let snapshot = move || fleet.upgrade().map(|shared| shared.snapshot()).unwrap_or_default();
        let acceptor = Acceptor::new(source, snapshot, tunnels.clone());
        tasks.spawn(listener::listen(listener, methods, acceptor, tasks.clone(), stop.clone()));
        Ok(Arc::new(Exchange {
            shared,
            client: Client::new(config.call_timeout),
            member,
            bound,
            notices: Mutex::new(Some(receiver)),
            tunnels,
            tasks,
            stop,
        }))
    }

    /// Returns this host with the address at which others reach it.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Returns the address that the listeners are bound to.
    pub fn bound(&self) -> SocketAddr {
        self.bound
    }

    /// Replaces one part of the state that this host publishes. The change is sent within
    /// [`Exchange::interval`].
    pub fn publish(&self, publication: Publication) {
        self.shared.with(|fleet, now| fleet.publish(now, publication));
    }

    /// Adds addresses at which other hosts may listen.
    pub fn introduce(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.shared.with(|fleet, now| fleet.introduce(now, addresses));
    }

    /// Sends a notice at once, and again until it is acknowledged, at most five times.
    ///
    /// # Errors
    ///
    /// Fails if the notice is for a single host and that host is not known.
    pub fn send(&self, to: Recipients, notice: Notice) -> Result<(), UnknownHost> {
        let result = self.shared.with(|fleet, now| fleet.send(now, to, notice));
        self.shared.wake.notify_one();
        result
    }

    /// Sends a notice to one host, without retransmission.
    ///
    /// # Errors
    ///
    /// Fails if the host is not known.
    pub fn send_once(&self, host: &host::Id, notice: Notice) -> Result<(), UnknownHost> {
        let result = self.shared.with(|fleet, _| fleet.send_once(host, notice));
        self.shared.wake.notify_one();
        result
    }

    /// Returns the receiver of notices from other hosts; `None` after the first call. Notices with a
    /// bound precede others that wait. Until the receiver reads or is dropped, notices are refused
    /// once 1,024 wait, those with a bound once 2,048 wait.
    pub fn notices(&self) -> Option<mpsc::Receiver<Envelope>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Returns what is known of the other hosts and what they have published.
    pub fn fleet(&self) -> Arc<Snapshot> {
        self.shared.snapshot()
    }

    /// Returns the work in flight of all other hosts, as last published; far cheaper than
    /// [`Exchange::fleet`].
    pub fn in_flight(&self) -> Vec<Load> {
        self.shared.with(|fleet, now| fleet.in_flight(now))
    }

    /// Returns whether there are so many hosts that they are grouped, and digests wait for a
    /// budget.
    pub fn is_grouped(&self) -> bool {
        self.shared.with(|fleet, _| fleet.is_grouped())
    }

    /// Records that a host did not respond to a call.
    pub fn report_unresponsive(&self, host: &host::Id) {
        self.shared.with(|fleet, now| fleet.report_unresponsive(now, host));
    }

    /// Returns this host's place in the gossip topology.
    pub fn tier(&self) -> Tier {
        self.shared.with(|fleet, _| fleet.tier())
    }

    /// Returns the relays of the other groups of hosts; none in a deployment that is not grouped.
    pub fn other_relays(&self) -> Vec<Member> {
        self.shared.with(|fleet, _| fleet.other_relays())
    }

    /// Returns the time between two digests. What other hosts have published does not change more
    /// often.
    pub fn interval(&self) -> Duration {
        self.shared.with(|fleet, _| fleet.interval())
    }

    /// Returns the counts of datagrams, bytes and losses since the start.
    pub fn counts(&self) -> Counts {
        self.shared.with(|fleet, _| fleet.counts())
    }

    /// Returns what this host has sent in datagrams since the start, by content.
    pub fn traffic(&self) -> Traffic {
        self.shared.with(|fleet, _| fleet.traffic().clone())
    }

    /// Returns the number of notices that were refused because the reader of [`Exchange::notices`]
    /// was too slow. They are not acknowledged; one that is sent again and refused again counts each
    /// time.
    pub fn dropped_notices(&self) -> u64 {
        self.shared.dropped_notices.load(Ordering::Relaxed)
    }

    /// Returns the number of panics of the task that receives and sends datagrams. Each is logged, and
    /// the task goes on.
    pub fn panics(&self) -> u64 {
        self.shared.panics.load(Ordering::Relaxed)
    }

    /// Fetches the declaration of another host; `None` if its version is not above `above`.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time.
    pub async fn fetch_declaration(
        &self,
        from: SocketAddr,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, client::Error> {
        self.client.declaration(from, above).await
    }

    /// Fetches the servers that another host knows; `None` if that host knows no later revision of
    /// the store than `above`.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time.
    pub async fn fetch_servers(
        &self,
        from: SocketAddr,
        above: Revision,
    ) -> Result<Option<ServerListing>, client::Error> {
        self.client.servers(from, above).await
    }

    /// Fetches the servers that another host knows, even if it knows no later revision of the store
    /// than `above`; `None` if it has not read the store's servers yet.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time.
    pub async fn follow(
        &self,
        from: SocketAddr,
        above: Revision,
    ) -> Result<Option<ServerListing>, client::Error> {
        self.client.follow(from, above).await
    }

    /// Fetches the hosts that another host knows and that are not silent, that host among them.
    ///
    /// # Errors
    ///
    /// Fails if no response arrives in time.
    pub async fn fetch_members(&self, from: SocketAddr) -> Result<Vec<Member>, client::Error> {
        self.client.members(from).await
    }

    /// Opens a connection to a server through the host at `gateway`. Waits as long as that host
    /// takes.
    ///
    /// # Errors
    ///
    /// Fails if that host can't be reached, refuses, or can't connect to the server.
    pub async fn tunnel(
        &self,
        gateway: SocketAddr,
        server: &backend::Id,
    ) -> Result<TcpStream, tunnel::Error> {
        let own = (&self.member.id, self.member.incarnation);
        tunnel::open(gateway, own, server).await
    }

    /// Returns the number of tunnels that this host carries for others.
    pub fn tunnels(&self) -> usize {
        MAX_TUNNELS - self.tunnels.available_permits()
    }

    /// Announces the end of this host, closes the listeners and waits for the calls in progress.
    pub async fn leave(&self) {
        self.publish(Publication::State(State::Leaving));
        for _ in 0..GOODBYE_COUNT {
            self.shared.with(|fleet, _| fleet.announce_exit());
            self.shared.wake.notify_one();
            tokio::time::sleep(GOODBYE_INTERVAL).await;
        }
        self.stop.cancel();
        self.tasks.close();
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, self.tasks.wait()).await.is_err() {
            log::debug!("the exchange ended with calls of other hosts in progress");
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Binds the listeners for datagrams and calls to the same port.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket, SocketAddr)> {
    let attempts = if address.port() == 0 { MAX_PORT_ATTEMPTS } else { 1 };
    let mut failure = None;
    for _ in 0..attempts {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket, bound)),
            Err(error) => failure = Some(error),
        }
    }
    Err(failure.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

/// Returns a function that lists the hosts that are not silent, this one among them.
fn members(shared: &Arc<Shared>, own: &Member) -> impl Fn() -> Vec<Member> + Send + Sync + use<> {
    let (shared, own) = (Arc::downgrade(shared), own.clone());
    move || {
        let snapshot = shared.upgrade().map(|shared| shared.snapshot()).unwrap_or_default();
        let reachable = snapshot.hosts.iter().filter(|peer| peer.liveness != Liveness::Silent);
        std::iter::once(own.clone()).chain(reachable.map(|peer| peer.member.clone())).collect()
    }
}
