//! Loopback addresses of a site's own.
//!
//! Sites run side by side, in several processes too, and a port that one gives up is soon given to another. With
//! addresses of its own no host or server of a site is ever taken for one of another site.

use std::{
    net::{IpAddr, Ipv4Addr},
    sync::atomic::{AtomicU32, Ordering},
};

/// Networks that one process uses before it comes upon those of the next one.
const OF_A_PROCESS: u32 = 251;

/// Values of the second and the third byte of an address; the second is neither 0 nor 255.
const SECONDS: u32 = 254;
const THIRDS: u32 = 256;

/// Last bytes of the addresses of a site's store, its servers, and its first host.
const STORE: u8 = 1;
const SERVERS: u8 = 2;
const HOSTS: usize = 10;

/// A network of loopback addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Network([u8; 2]);

impl Network {
    /// A network that no other site has.
    pub fn unused() -> Network {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let first = std::process::id().wrapping_mul(OF_A_PROCESS);
        let number = first.wrapping_add(number) % (SECONDS * THIRDS);
        let byte = |value: u32| u8::try_from(value).unwrap_or(u8::MAX);
        Network([byte(1 + number / THIRDS), byte(number % THIRDS)])
    }

    /// The network of an address.
    ///
    /// # Panics
    ///
    /// If it isn't of version 4.
    pub fn of(address: IpAddr) -> Network {
        let IpAddr::V4(address) = address else { panic!("{address} is not on a loopback network") };
        let [_, second, third, _] = address.octets();
        Network([second, third])
    }

    /// Where its store listens.
    pub fn store(self) -> IpAddr {
        self.address(STORE)
    }

    /// Where its servers listen.
    pub fn servers(self) -> IpAddr {
        self.address(SERVERS)
    }

    /// Where a host listens.
    pub fn host(self, place: usize) -> IpAddr {
        self.address(u8::try_from(HOSTS + place).unwrap_or(u8::MAX))
    }

    /// The place of the host that listens at an address.
    pub fn place(address: IpAddr) -> Option<usize> {
        let IpAddr::V4(address) = address else { return None };
        usize::from(address.octets()[3]).checked_sub(HOSTS)
    }

    fn address(self, last: u8) -> IpAddr {
        let Network([second, third]) = self;
        Ipv4Addr::new(127, second, third, last).into()
    }
}
