//! Calls to model servers that are no requests: orders and reports.
//!
//! Each server has one slot connection for them. A call that runs out of time ends its connection
//! by a reset, so that nothing of it that is still held up on the way arrives later.

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
    connect::{self, Connection},
    edge::{Dialect, Order, OrderReply, OrderStatus},
};

/// Longest time for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer taken, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

type Slot = Arc<Mutex<Option<Connection>>>;

/// Slot connections for orders and reports.
#[derive(Default)]
pub(crate) struct Control {
    slots: StdMutex<HashMap<backend::Id, Slot>>,
}

/// A connection that is held for one call.
pub(crate) struct ControlConnection<'a> {
    slot: MutexGuard<'a, Option<Connection>>,
    connection: Connection,
}

impl Control {
    /// Where a server's connection is slot.
    pub(crate) fn slot(&self, server: &Server) -> Slot {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.entry(server.id.clone()).or_default().clone()
    }

    /// Forgets servers that are gone.
    pub(crate) fn sweep(&self, is_known: impl Fn(&backend::Id) -> bool) {
        let mut slots = self.slots.lock().unwrap_or_else(PoisonError::into_inner);
        slots.retain(|server, _| is_known(server));
    }

    /// A server's report.
    pub(crate) async fn report(&self, dialect: &dyn Dialect, server: &Server) -> Option<Report> {
        let slot = self.slot(server);
        let response = tokio::time::timeout(REPORT_TIMEOUT, async {
            let connection = ControlConnection::open(server, &slot).await?;
            connection.exchange(server, dialect.report_call()).await
        })
        .await
        .ok()
        .flatten()?;
        response.status().is_success().then(|| dialect.report(response.body())).flatten()
    }
}

impl<'a> ControlConnection<'a> {
    /// Takes a server's connection, a new one if none is slot.
    pub(crate) async fn open(server: &Server, slot: &'a Slot) -> Option<ControlConnection<'a>> {
        let mut slot = slot.lock().await;
        let ready = slot.take().filter(|connection| connection.sender.is_ready());
        let connection = match ready {
            Some(connection) => connection,
            None => connect::open_with_reset(server.address).await.ok()?,
        };
        Some(ControlConnection { slot, connection })
    }

    /// Gives an order, and waits so long for the answer.
    pub(crate) async fn order(
        self,
        dialect: &dyn Dialect,
        server: &Server,
        order: &Order,
        timeout: Duration,
    ) -> OrderReply {
        let call = self.exchange(server, dialect.order_call(order));
        match tokio::time::timeout(timeout, call).await {
            Ok(Some(response)) => dialect.order_reply(&response),
            Ok(None) | Err(_) => OrderReply { status: OrderStatus::Unknown, born: 0 },
        }
    }

    async fn exchange(
        mut self,
        server: &Server,
        request: Request<Bytes>,
    ) -> Option<Response<Bytes>> {
        let mut request = request.map(Full::new);
        let host = HeaderValue::from_str(&server.address.to_string()).ok()?;
        request.headers_mut().insert(header::HOST, host);
        let response = self.connection.sender.send_request(request).await.ok()?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await.ok()?.to_bytes();
        *self.slot = Some(self.connection);
        Some(Response::from_parts(head, body))
    }
}
