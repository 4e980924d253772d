//! Servers that can run one kind of request, those of the host's own zone first.

use crate::route::Index;

/// Most servers that are looked at for one request, unless none of them has a place.
pub const MAX_SAMPLE: usize = 24;

/// Servers by number.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: Vec<Index>,
    same_zone: usize,
}

/// Which zone a server stands in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    /// The host's own.
    SameZone,
    /// Another.
    OtherZone,
}

impl ServerList {
    /// Adds a server that may be there.
    pub fn add(&mut self, server: Index, locality: Locality) {
        if self.servers.contains(&server) {
            return;
        }
        match locality {
            Locality::SameZone => {
                self.servers.insert(self.same_zone, server);
                self.same_zone += 1;
            }
            Locality::OtherZone => self.servers.push(server),
        }
    }

    /// Removes a server that may not be there.
    pub fn remove(&mut self, server: Index) {
        let Some(at) = self.servers.iter().position(|other| *other == server) else { return };
        self.servers.remove(at);
        if at < self.same_zone {
            self.same_zone -= 1;
        }
    }

    /// All of them.
    pub fn all(&self) -> &[Index] {
        &self.servers
    }

    /// A few of them by chance, half from the own zone if it has so many; all if they are few.
    pub fn sample(&self, seed: u64) -> impl Iterator<Item = Index> {
        let (same, other) = self.servers.split_at(self.same_zone);
        let from_same = same.len().min(MAX_SAMPLE - other.len().min(MAX_SAMPLE / 2));
        let from_other = other.len().min(MAX_SAMPLE - from_same);
        rotated(same, seed)
            .take(from_same)
            .chain(rotated(other, seed.rotate_left(32)).take(from_other))
    }
}

/// All of a slice, from a place by chance and round.
fn rotated(servers: &[Index], seed: u64) -> impl Iterator<Item = Index> {
    let start = (seed % servers.len().max(1) as u64) as usize;
    servers[start..].iter().chain(&servers[..start]).copied()
}
