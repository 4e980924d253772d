//! Servers that can run one kind of request, those of the host's own zone first.

use crate::route::Index;

/// Largest number of servers examined for one request, unless none of these has a place.
pub const MAX_SAMPLE: usize = 24;

/// Servers by index; the first [`same_zone`](Self::same_zone) of them are in the host's own zone.
#[derive(Clone, Debug, Default)]
pub struct ServerList {
    servers: Vec<Index>,
    same_zone: usize,
}

/// Whether a server is in the host's own zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Locality {
    SameZone,
    OtherZone,
}

impl ServerList {
    /// Adds a server unless it is listed already.
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

    /// Removes a server if it is listed.
    pub fn remove(&mut self, server: Index) {
        let Some(at) = self.servers.iter().position(|other| *other == server) else { return };
        self.servers.remove(at);
        if at < self.same_zone {
            self.same_zone -= 1;
        }
    }

    pub fn all(&self) -> &[Index] {
        &self.servers
    }

    /// Returns up to [`MAX_SAMPLE`] servers, chosen by the seed: half of them from the host's own
    /// zone and half from others. If one side has fewer, the other side makes up for them.
    pub fn sample(&self, seed: u64) -> impl Iterator<Item = Index> {
        let (same, other) = self.servers.split_at(self.same_zone);
        let from_same = same.len().min(MAX_SAMPLE - other.len().min(MAX_SAMPLE / 2));
        let from_other = other.len().min(MAX_SAMPLE - from_same);
        rotated(same, seed)
            .take(from_same)
            .chain(rotated(other, seed.rotate_left(32)).take(from_other))
    }
}

/// Iterates over the whole slice, starting at a position given by the seed and wrapping around.
fn rotated(servers: &[Index], seed: u64) -> impl Iterator<Item = Index> {
    let start = (seed % servers.len().max(1) as u64) as usize;
    servers[start..].iter().chain(&servers[..start]).copied()
}
