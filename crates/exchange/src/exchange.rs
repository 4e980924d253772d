//! A host's side of the exchange.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError, atomic::Ordering},
    time::Duration,
};

use policy::fleet::{
    Counts, Fleet, FleetSnapshot, Liveness, Load, Member, Notice, Publication, ReceivedNotice,
    Recipients, Revision, Settings, State, Tier, UnknownHost,
};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::mpsc,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use types::{
    availability, host,
    routed::{Declaration, Version},
};

use crate::{
    calls::{Adapter, Registered, RpcServer, Source},
    client::{self, Client},
    clock::{self, Clock},
    listener,
    run::{self, Shared},
};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Notices that wait for their reader, at the most.
const MAX_PENDING_NOTICES: usize = 1_024;

/// Ports that are tried until one is free for datagrams and calls alike.
const MAX_PORT_TRIES: usize = 16;

/// Goodbyes, since one may be lost, and the pause between them.
const GOODBYES: usize = 2;
const GOODBYE_PAUSE: Duration = Duration::from_millis(30);

/// Longest wait for what is under way at the end.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// What an exchange starts with.
#[derive(Clone)]
pub struct Config {
    /// This host's name.
    pub host: host::Id,
    /// Its availability zone.
    pub zone: availability::Id,
    /// Where it listens, for datagrams and calls. Port 0 takes a free one.
    pub address: SocketAddr,
    /// Where others reach it, if not there.
    pub advertised: Option<SocketAddr>,
    /// Number of this run; no other run may have the same, in whatever order they are.
    pub incarnation: host::Incarnation,
    /// Where other hosts may be.
    pub seeds: Vec<SocketAddr>,
    /// Times and sizes.
    pub settings: Settings,
    /// Time limit of a call.
    pub call_limit: Duration,
    /// The clock to decide by.
    pub clock: Clock,
}

impl Config {
    /// The usual times, by the steady clock, and no seeds.
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
            call_limit: CALL_TIMEOUT,
            clock: clock::steady(),
        }
    }
}

/// Why an exchange did not start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen at {address}: {cause}")]
pub struct Error {
    address: SocketAddr,
    cause: io::Error,
}

/// A host's side of the exchange. It runs until [`Exchange::leave`], or until it is dropped.
pub struct Exchange {
    shared: Arc<Shared>,
    client: Client,
    member: Member,
    bound: SocketAddr,
    notices: Mutex<Option<mpsc::Receiver<ReceivedNotice>>>,
    tasks: TaskTracker,
    stop: CancellationToken,
}

impl Exchange {
    /// Listens, and begins to look for the other hosts.
    ///
    /// # Errors
    ///
    /// If the address can't be listened at.
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
        let (sender, receiver) = mpsc::channel(MAX_PENDING_NOTICES);
        let (tasks, stop) = (TaskTracker::new(), CancellationToken::new());
        tasks.spawn(run::run(shared.clone(), socket, sender, stop.clone()));
        let members = members(&shared, &member);
        let methods = Adapter { source, members }.into_rpc();
        tasks.spawn(listener::listen(listener, methods, tasks.clone(), stop.clone()));
        Ok(Arc::new(Exchange {
            shared,
            client: Client::new(config.call_limit),
            member,
            bound,
            notices: Mutex::new(Some(receiver)),
            tasks,
            stop,
        }))
    }

    /// This host, at the address at which others reach it.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// The address that it listens at.
    pub fn bound(&self) -> SocketAddr {
        self.bound
    }

    /// Replaces a part of what this host tells; it goes out within an interval.
    pub fn publish(&self, publication: Publication) {
        self.shared.with(|fleet, now| fleet.publish(now, publication));
    }

    /// Names further addresses at which hosts may be.
    pub fn introduce(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.shared.with(|fleet, now| fleet.introduce(now, addresses));
    }

    /// Sends a notice at once, and again until it is acknowledged, five times at the most.
    ///
    /// # Errors
    ///
    /// If it is for one host and that host is not known.
    pub fn send(&self, to: Recipients, notice: Notice) -> Result<(), UnknownHost> {
        let result = self.shared.with(|fleet, now| fleet.send(now, to, notice));
        self.shared.wake.notify_one();
        result
    }

    /// Sends a notice to one host, once.
    ///
    /// # Errors
    ///
    /// If that host is not known.
    pub fn send_once(&self, host: &host::Id, notice: Notice) -> Result<(), UnknownHost> {
        let result = self.shared.with(|fleet, _| fleet.send_once(host, notice));
        self.shared.wake.notify_one();
        result
    }

    /// Notices from other hosts; to be had once.
    pub fn notices(&self) -> Option<mpsc::Receiver<ReceivedNotice>> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// What is known of the other hosts and what they told.
    pub fn fleet(&self) -> Arc<FleetSnapshot> {
        self.shared.snapshot()
    }

    /// Work in flight from all others, as they last told; far cheaper than [`Exchange::fleet`].
    pub fn in_flight(&self) -> Vec<Load> {
        self.shared.with(|fleet, now| fleet.in_flight(now))
    }

    /// Whether there are so many hosts that digests wait for a budget.
    pub fn is_grouped(&self) -> bool {
        self.shared.with(|fleet, _| fleet.is_grouped())
    }

    /// This host's place among those that tell each other.
    pub fn tier(&self) -> Tier {
        self.shared.with(|fleet, _| fleet.tier())
    }

    /// Time between two digests: what others told does not change more often.
    pub fn interval(&self) -> Duration {
        self.shared.with(|fleet, _| fleet.interval())
    }

    /// Datagrams, bytes and losses so far.
    pub fn counts(&self) -> Counts {
        self.shared.with(|fleet, _| fleet.counts())
    }

    /// Notices that came and that the reader was too slow for.
    pub fn overflow(&self) -> u64 {
        self.shared.overflow.load(Ordering::Relaxed)
    }

    /// A host's declaration, if its version is above this one.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn fetch_declaration(
        &self,
        from: SocketAddr,
        above: Version,
    ) -> Result<Option<Arc<Declaration>>, client::Error> {
        self.client.declaration(from, above).await
    }

    /// The servers that a host knows, if they are of a later revision of the store.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn fetch_servers(
        &self,
        from: SocketAddr,
        above: Revision,
    ) -> Result<Option<Registered>, client::Error> {
        self.client.servers(from, above).await
    }

    /// The servers that a host knows; none if it knows none as of any revision.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn follow(
        &self,
        from: SocketAddr,
        above: Revision,
    ) -> Result<Option<Registered>, client::Error> {
        self.client.follow(from, above).await
    }

    /// The hosts that a host hears, itself among them.
    ///
    /// # Errors
    ///
    /// If no answer comes in time.
    pub async fn fetch_members(&self, from: SocketAddr) -> Result<Vec<Member>, client::Error> {
        self.client.members(from).await
    }

    /// Says goodbye, finishes the calls under way and stops listening.
    pub async fn leave(&self) {
        self.publish(Publication::State(State::Leaving));
        for _ in 0..GOODBYES {
            self.shared.with(|fleet, _| fleet.bye());
            self.shared.wake.notify_one();
            tokio::time::sleep(GOODBYE_PAUSE).await;
        }
        self.stop.cancel();
        self.tasks.close();
        if tokio::time::timeout(SHUTDOWN_TIMEOUT, self.tasks.wait()).await.is_err() {
            log::debug!("calls of other hosts were still under way at the end");
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

/// Listens for datagrams and calls at one port.
async fn bind(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket, SocketAddr)> {
    let tries = if address.port() == 0 { MAX_PORT_TRIES } else { 1 };
    let mut failure = None;
    for _ in 0..tries {
        let listener = TcpListener::bind(address).await?;
        let bound = listener.local_addr()?;
        match UdpSocket::bind(bound).await {
            Ok(socket) => return Ok((listener, socket, bound)),
            Err(error) => failure = Some(error),
        }
    }
    Err(failure.unwrap_or_else(|| io::ErrorKind::AddrInUse.into()))
}

/// Reads which hosts are heard, this one among them.
fn members(shared: &Arc<Shared>, own: &Member) -> impl Fn() -> Vec<Member> + Send + Sync + use<> {
    let (shared, own) = (Arc::downgrade(shared), own.clone());
    move || {
        let snapshot = shared.upgrade().map(|shared| shared.snapshot()).unwrap_or_default();
        let heard = snapshot.hosts.iter().filter(|peer| peer.liveness != Liveness::Silent);
        std::iter::once(own.clone()).chain(heard.map(|peer| peer.member.clone())).collect()
    }
}
