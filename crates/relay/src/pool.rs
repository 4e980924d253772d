//! Idle connections to servers, kept for the next request.
//!
//! The pool never sends anything by itself: a request that fails on a kept connection comes back
//! to whoever decides whether it may be sent again.

use std::{collections::HashMap, net::SocketAddr, sync::Mutex, time::Duration};

use types::prelude::*;

use crate::connect::Connection;

/// How long a server that names no time is taken to keep an idle connection. Times are named in
/// whole seconds, so one that names none may have less than one.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_millis(900);

/// Time before the server's own end of an idle connection at which it is given up.
const CLOSE_MARGIN: Duration = Duration::from_millis(400);

/// Most idle connections to one server.
const MAX_IDLE_PER_SERVER: usize = 64;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Moment,
}

/// Idle connections by the run of the server that they lead to.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: Mutex<HashMap<(backend::Id, SocketAddr), Vec<Idle>>>,
}

impl Pool {
    /// A connection that can take a request at `now`.
    pub(crate) fn take(
        &self,
        now: Moment,
        server: &backend::Id,
        address: SocketAddr,
    ) -> Option<Connection> {
        let mut idle = self.idle.lock().ok()?;
        let kept = idle.get_mut(&(server.clone(), address))?;
        while let Some(Idle { connection, until }) = kept.pop() {
            if now < until && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection whose answer has come whole.
    pub(crate) fn put(
        &self,
        now: Moment,
        server: &backend::Id,
        address: SocketAddr,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        let kept_for = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).saturating_sub(CLOSE_MARGIN);
        let Ok(mut idle) = self.idle.lock() else { return };
        let kept = idle.entry((server.clone(), address)).or_default();
        if kept.len() < MAX_IDLE_PER_SERVER {
            kept.push(Idle { connection, until: now + kept_for });
        }
    }

    /// Closes what has been idle too long, and what leads to servers that are gone.
    pub(crate) fn sweep(&self, now: Moment, is_known: impl Fn(&backend::Id) -> bool) {
        let Ok(mut idle) = self.idle.lock() else { return };
        idle.retain(|(server, _), kept| {
            kept.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
            !kept.is_empty() && is_known(server)
        });
    }
}
