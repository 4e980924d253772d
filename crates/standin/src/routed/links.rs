//! The links between hosts: a loopback relay in front of each host's listener for peers.
//!
//! A host is told to advertise its relay's address, so that all that others send it passes there. A
//! datagram goes on from the relay of its sender, whose loopback address tells who that is, and so
//! comes from where the sender is reached. Each direction of each pair may lose or delay datagrams;
//! connections to a host are held while all others' datagrams to it are lost.

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

/// Ports that are tried until one is free for datagrams and connections alike.
const PORT_TRIES: usize = 16;

/// Room for a datagram, with some to spare.
const BUFFER_BYTES: usize = 4_096;

/// What becomes of datagrams from one host to another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Datagrams pass.
    #[default]
    Passes,
    /// Datagrams are lost.
    Lost,
    /// Datagrams pass so much later.
    Late(Duration),
}

/// The links between all hosts.
#[derive(Debug)]
pub struct Links {
    network: Network,
    relays: Vec<Relay>,
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    sockets: Vec<Arc<UdpSocket>>,
    /// Where each host listens now.
    targets: Vec<Option<SocketAddr>>,
    /// Ways that don't simply pass, by sender and receiver.
    deliveries: BTreeMap<(usize, usize), Delivery>,
}

#[derive(Debug)]
struct Relay {
    address: SocketAddr,
    calls: Proxy,
    datagrams: AbortHandle,
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.datagrams.abort();
    }
}

impl Links {
    /// Links between hosts of a network.
    pub fn new(network: Network) -> Links {
        Links { network, relays: Vec::new(), shared: Arc::default() }
    }

    /// Opens the relay of the next host, which is to advertise the address.
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
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let calls = Proxy::on(listener, nowhere)?;
        let datagrams = tokio::spawn(carry(socket, receiver, self.shared.clone())).abort_handle();
        self.relays.push(Relay { address, calls, datagrams });
        Ok(address)
    }

    /// The relays' addresses.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.relays.iter().map(|relay| relay.address).collect()
    }

    /// Sets where a host listens.
    pub fn set_target(&self, place: usize, listens: SocketAddr) {
        lock(&self.shared).targets[place] = Some(listens);
        self.relays[place].calls.retarget(listens);
    }

    /// Sets what becomes of datagrams from one host to another.
    pub fn set_delivery(&self, from: usize, to: usize, delivery: Delivery) {
        let mut shared = lock(&self.shared);
        match delivery {
            Delivery::Passes => shared.deliveries.remove(&(from, to)),
            Delivery::Lost | Delivery::Late(_) => shared.deliveries.insert((from, to), delivery),
        };
        let others = (0..self.relays.len()).filter(|other| *other != to);
        let is_cut = |other| shared.deliveries.get(&(other, to)) == Some(&Delivery::Lost);
        let is_deaf = 1 < self.relays.len() && others.into_iter().all(is_cut);
        drop(shared);
        let fault = if is_deaf { fault::Fault::Hold } else { fault::Fault::Pass };
        self.relays[to].calls.set_both(fault);
    }
}

/// Takes one port for connections and datagrams.
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

/// Carries the datagrams that come to a host's relay.
async fn carry(socket: Arc<UdpSocket>, receiver: usize, shared: Arc<Mutex<Shared>>) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Some(sender) = Network::place(from.ip()) else { continue };
        let (from, to, delivery) = {
            let shared = lock(&shared);
            let delivery = shared.deliveries.get(&(sender, receiver)).copied().unwrap_or_default();
            (shared.sockets.get(sender).cloned(), shared.targets[receiver], delivery)
        };
        let (Some(from), Some(to)) = (from, to) else { continue };
        let bytes = buffer[..length].to_vec();
        match delivery {
            // A datagram that can't be sent is lost, as on any link.
            Delivery::Passes => drop(from.send_to(&bytes, to).await),
            Delivery::Lost => {}
            Delivery::Late(late) => drop(tokio::spawn(async move {
                sleep(late).await;
                let _ = from.send_to(&bytes, to).await;
            })),
        }
    }
}
