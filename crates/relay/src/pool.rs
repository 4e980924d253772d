//! Pool of idle connections to servers.
//!
//! The pool sends nothing by itself. If a request fails on a pooled connection, the caller of the
//! pool decides whether the request may be sent again.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use policy::paths::Path;
use types::prelude::*;

use crate::connect::Connection;

/// Time for which a server is assumed to keep an idle connection open if it states no time. Times
/// are stated in whole seconds, so a server that states none may use less than one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(900);

/// Time before the server closes an idle connection at which the pool discards the connection.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);

const MAX_IDLE_PER_SERVER: usize = 64;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    expires_at: Moment,
}

/// Idle connections, by the id of the server's run and its address.
type Connections = HashMap<(backend::Id, SocketAddr), Vec<Idle>>;

/// The pool of a host.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<Connections>,
}

impl Pool {
    /// Takes a connection that can be used for a request at `now`, if `is_usable` says so of the host
    /// through which it leads.
    pub(crate) fn take(
        &self,
        now: Moment,
        server: &backend::Id,
        address: SocketAddr,
        is_usable: impl Fn(&host::Id) -> bool,
    ) -> Option<Connection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&(server.clone(), address))?;
        while let Some(Idle { connection, expires_at }) = connections.pop() {
            let is_usable = connection.gateway().is_none_or(&is_usable);
            if now < expires_at && is_usable && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response.
    pub(crate) fn put(
        &self,
        now: Moment,
        server: &backend::Id,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let kept_for = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(CLOSE_MARGIN);
        let mut idle = self.lock();
        let connections = idle.entry((server.clone(), address)).or_default();
        if connections.len() < MAX_IDLE_PER_SERVER {
            connections.push(Idle { connection, expires_at: now.saturating_add(kept_for) });
        }
    }

    /// Closes the direct connections to some servers.
    pub(crate) fn remove_direct(&self, is_affected: impl Fn(&backend::Id) -> bool) {
        let mut idle = self.lock();
        let affected = idle.iter_mut().filter(|((id, _), _)| is_affected(id));
        affected.for_each(|(_, connections)| {
            connections.retain(|idle| idle.connection.path() == Path::Relayed);
        });
    }

    /// Closes connections that have been idle for too long, lead to removed servers, or lead through
    /// hosts that are no longer usable.
    pub(crate) fn sweep(
        &self,
        now: Moment,
        is_known: impl Fn(&backend::Id) -> bool,
        is_usable: impl Fn(&host::Id) -> bool,
    ) {
        let mut idle = self.lock();
        idle.retain(|(server, _), connections| {
            connections.retain(|Idle { connection, expires_at }| {
                let is_usable = connection.gateway().is_none_or(&is_usable);
                now < *expires_at && is_usable && !connection.sender.is_closed()
            });
            !connections.is_empty() && is_known(server)
        });
    }
    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
