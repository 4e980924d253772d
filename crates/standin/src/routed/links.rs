//! Links between hosts that can lose or delay traffic: a loopback relay before each host's listener
//! for peers.
//!
//! Each host advertises the address of its relay, so that everything that other hosts send it
//! passes through the relay. The relay identifies the sender of a datagram by its loopback address,
//! and forwards the datagram from the socket of the sender's relay, so that the receiver sees the
//! address at which it reaches the sender. Datagrams can be lost or delayed for each direction of
//! each pair of hosts. Connections to a host are held while the datagrams of all other hosts to it
//! are lost.

use std::{
    collections::BTreeMap,
    io,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    net::{TcpListener, UdpSocket},
    task::AbortHandle,
    time::sleep,
};

use super::{lock, network::Network};
use crate::fault::{self, Proxy};

/// How many ports are tried to find one that is free for both TCP and UDP.
const PORT_TRIES: usize = 16;

/// Size of the receive buffer; larger than any datagram of the hosts.
const BUFFER_BYTES: usize = 4_096;

/// How datagrams from one host to another are delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Datagrams are forwarded at once.
    #[default]
    Passes,
    /// Datagrams are dropped.
    Lost,
    /// Datagrams are forwarded after this time.
    Late(Duration),
}

/// The relays of a site's hosts. A host is identified by its index, in the order of the calls of
/// [`Links::open`].
#[derive(Debug)]
pub struct Links {
    network: Network,
    relays: Vec<Relay>,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    sockets: Vec<Arc<UdpSocket>>,
    /// Address at which each host listens; `None` until it is set.
    targets: Vec<Option<SocketAddr>>,
    /// Deliveries other than `Passes`, by sender and receiver.
    deliveries: BTreeMap<(usize, usize), Delivery>,
}

#[derive(Debug)]
struct Relay {
    address: SocketAddr,
    connections: Proxy,
    datagrams: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.datagrams.abort();
    }
}

impl Links {
    /// Creates links without relays. Each relay opened later gets the address of its host in
    /// `network`.
    pub fn new(network: Network) -> Links {
        Links { network, relays: Vec::new(), shared: Arc::default() }
    }

    /// Opens the relay of the next host, and returns the address that the host must advertise.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn open(&mut self) -> io::Result<SocketAddr> {
        let receiver = self.relays.len();
        let (listener, socket, address) = bind(self.network.host(receiver)).await?;
        let socket = Arc::new(socket);
        let mut shared = lock(&self.shared);
        shared.sockets.push(socket.clone());
        shared.targets.push(None);
        drop(shared);
        let unknown = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let connections = Proxy::on(listener, unknown)?;
        let datagrams = tokio::spawn(forward(socket, receiver, self.shared.clone())).abort_handle();
        self.relays.push(Relay { address, connections, datagrams });
        Ok(address)
    }

    /// The relays' addresses, by host.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(|relay| relay.address).collect()
    }

    /// Sets the address to which a host's relay forwards.
    ///
    /// # Panics
    ///
    /// If the host has no relay.
    pub fn set_target(&self, host: usize, address: SocketAddr) {
        lock(&self.shared).targets[host] = Some(address);
        self.relays[host].connections.retarget(address);
    }

    /// Sets how datagrams from one host to another are delivered. While all other hosts' datagrams
    /// to a host are lost, connections to it are held too.
    ///
    /// # Panics
    ///
    /// If the receiver has no relay.
    pub fn set_delivery(&self, from: usize, to: usize, delivery: Delivery) {
        let mut shared = lock(&self.shared);
        match delivery {
            Delivery::Passes => shared.deliveries.remove(&(from, to)),
            Delivery::Lost | Delivery::Late(_) => shared.deliveries.insert((from, to), delivery),
        };
        let others = (0..self.relays.len()).filter(|other| *other != to);
        let is_lost = |other| shared.deliveries.get(&(other, to)) == Some(&Delivery::Lost);
        let is_isolated = 1 < self.relays.len() && others.into_iter().all(is_lost);
        drop(shared);
        let fault = if is_isolated { fault::Fault::Hold } else { fault::Fault::Pass };
        self.relays[to].connections.set_both(fault);
    }
}

/// Binds one port for both TCP and UDP.
async fn bind(ip: IpAddr) -> io::Result<(TcpListener, UdpSocket, SocketAddr)> {
    let mut failure = io::ErrorKind::AddrInUse.into();
    for _ in 0..PORT_TRIES {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        match UdpSocket::bind(address).await {
            Ok(socket) => return Ok((listener, socket, address)),
            Err(error) => failure = error,
        }
    }
    Err(failure)
}

/// Forwards the datagrams that a host's relay receives.
async fn forward(socket: Arc<UdpSocket>, receiver: usize, shared: Arc<Mutex<Shared>>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(sender) = Network::host_index(from.ip()) else { continue };
        let (from, to, delivery) = {
            let shared = lock(&shared);
            let delivery = shared.deliveries.get(&(sender, receiver)).copied().unwrap_or_default();
            (shared.sockets.get(sender).cloned(), shared.targets[receiver], delivery)
        };
        let (Some(from), Some(to)) = (from, to) else { continue };
        let bytes = buffer[..length].to_vec();
        match delivery {
            // A datagram that can't be sent is lost, as on a real network.
            Delivery::Passes => drop(from.send_to(&bytes, to).await),
            Delivery::Lost => {}
            Delivery::Late(delay) => drop(tokio::spawn(async move {
                sleep(delay).await;
                let _ = from.send_to(&bytes, to).await;
            })),
        }
    }
}
