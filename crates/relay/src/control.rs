//! Control calls to model servers: orders and reports.
//!
//! One connection per server is kept open for these calls. A call that times out closes its
//! connection with a reset, so that no part of the call arrives later.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex as StdMutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full, Limited};
use tokio::sync::{Mutex, MutexGuard};
use types::{
    prelude::*,
    routed::{Report, Server},
};

use crate::{
    connect::{self, Connection, WriteGuard},
    edge::{Dialect, Order, OrderReply, OrderStatus},
};

/// Timeout of a request for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

type Slot = Arc<Mutex<Option<Connection>>>;

/// Idle connections for orders and reports, at most one per server.
#[derive(Default)]
pub(crate) struct Control {
    slots: StdMutex<HashMap<backend::Id, Slot>>,
}

/// A server's connection, locked for one call.
pub(crate) struct ControlConnection<'a> {
    slot: MutexGuard<'a, Option<Connection>>,
    connection: Connection,
}

impl Control {
    /// Returns the slot for a server's idle connection.
    pub(crate) fn slot(&self, server: &Server) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.entry(server.id.clone()).or_default().clone()
    }

    /// Closes the connections to servers that are no longer known.
    pub(crate) fn sweep(&self, is_known: impl Fn(&backend::Id) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|server, _| is_known(server));
    }

    /// Fetches a server's load report; `None` if no report arrives in time or it is malformed.
    pub(crate) async fn report(&self, dialect: &dyn Dialect, server: &Server) -> Option<Report> {
        let slot = self.slot(server);
        let response = tokio::time::timeout(REPORT_TIMEOUT, async {
            let connection = ControlConnection::open(server, &slot).await?;
            connection.exchange(server, dialect.report_call(), None).await
        })
        .await
        .ok()
        .flatten()?;
        response.status().is_success().then(|| dialect.report(response.body())).flatten()
    }
}

impl<'a> ControlConnection<'a> {
    /// Takes a server's idle connection, or opens a new one.
    pub(crate) async fn open(server: &Server, slot: &'a Slot) -> Option<ControlConnection<'a>> {
        let mut slot = slot.lock().await;
        let ready = slot.take().filter(|connection| connection.sender.is_ready());
        let connection = match ready {
            Some(connection) => connection,
            None => connect::open_with_reset(server.address).await.ok()?,
        };
        Some(ControlConnection { slot, connection })
    }

    /// Sends an order and waits for the response. The outcome is unknown if none arrives within
    /// `timeout`, also if `guard` refuses a write.
    pub(crate) async fn order(
        self,
        dialect: &dyn Dialect,
        server: &Server,
        order: &Order,
        guard: Arc<WriteGuard>,
        timeout: Duration,
    ) -> OrderReply {
        let call = self.exchange(server, dialect.order_call(order), Some(guard));
        match tokio::time::timeout(timeout, call).await {
            Ok(Some(response)) => dialect.order_reply(&response),
            Ok(None) | Err(_) => OrderReply { status: OrderStatus::Unknown, started_at: 0 },
        }
    }

    async fn exchange(
        mut self,
        server: &Server,
        request: Request<Bytes>,
        guard: Option<Arc<WriteGuard>>,
    ) -> Option<Response<Bytes>> {
        let mut request = request.map(Full::new);
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        self.connection.set_write_guard(guard);
        let response = self.connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
        *self.slot = Some(self.connection);
        Some(Response::from_parts(head, body))
    }
}
