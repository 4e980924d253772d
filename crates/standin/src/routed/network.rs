//! Loopback networks, of which each site has its own.
//!
//! Sites run in parallel, also in several processes, and a port that one site frees is soon reused
//! by another. Sites share no address, except as [`Network::unused`] says, so that no host or
//! server of a site is mistaken for one of another site.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU32, Ordering},
};

/// How many networks a process can use before they overlap with those of the next process id.
const NETWORKS_PER_PROCESS: u32 = 251;

/// How many values the second and the third byte of an address take; the second is neither 0 nor
/// 255.
const SECOND_BYTES: u32 = 254;
const THIRD_BYTES: u32 = 256;

/// Last bytes of the addresses of a site's store, of its servers and of its first host.
const STORE_BYTE: u8 = 1;
const SERVERS_BYTE: u8 = 2;
const FIRST_HOST_BYTE: usize = 10;

/// The network 127.a.b.0/24, represented by the bytes a and b.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network([u8; 2]);

impl Network {
    /// A network that no other site of this process uses; those of other processes differ unless
    /// their numbers, derived from the process id, wrap around to the same one.
    pub fn unused() -> Network {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(NETWORKS_PER_PROCESS);
        let number = offset.wrapping_add(number) % (SECOND_BYTES * THIRD_BYTES);
        let byte = |value: u32| u8::try_from(value).unwrap_or(u8::MAX);
        Network([byte(1 + number / THIRD_BYTES), byte(number % THIRD_BYTES)])
    }

    /// The network that contains a loopback address.
    ///
    /// # Panics
    ///
    /// If the address isn't IPv4.
    pub fn of(address: IpAddr) -> Network {
        let IpAddr::V4(address) = address else { panic!("{address} is not an IPv4 address") };
        let [_, second, third, _] = address.octets();
        Network([second, third])
    }

    /// The address for the store's endpoints.
    pub fn store(self) -> IpAddr {
        self.address(STORE_BYTE)
    }

    /// The address that all servers share.
    pub fn servers(self) -> IpAddr {
        self.address(SERVERS_BYTE)
    }

    /// The address of the host with this index.
    pub fn host(self, index: usize) -> IpAddr {
        self.address(u8::try_from(FIRST_HOST_BYTE + index).unwrap_or(u8::MAX))
    }

    /// The index of the host with this address, in any network; `None` if it isn't a host's.
    pub fn host_index(address: IpAddr) -> Option<usize> {
        let IpAddr::V4(address) = address else { return None };
        usize::from(address.octets()[3]).checked_sub(FIRST_HOST_BYTE)
    }

    fn address(self, last: u8) -> IpAddr {
        let Network([second, third]) = self;
        Ipv4Addr::new(127, second, third, last).into()
    }
}
