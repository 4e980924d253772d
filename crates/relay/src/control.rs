//! Calls to model servers that are no requests: orders and reports.
//!
//! Each server has one kept connection for them. A call that runs out of time ends its connection
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
const REPORT: Duration = Duration::from_millis(500);

/// Largest answer taken, in bytes.
const LARGEST: usize = 1024 * 1024;

type Kept = Arc<Mutex<Option<Connection>>>;

/// Kept connections for orders and reports.
#[derive(Default)]
pub(crate) struct Control {
    kept: StdMutex<HashMap<backend::Id, Kept>>,
}

/// A connection that is held for one call.
pub(crate) struct Line<'a> {
    kept: MutexGuard<'a, Option<Connection>>,
    connection: Connection,
}

impl Control {
    /// Where a server's connection is kept.
    pub(crate) fn kept(&self, server: &Server) -> Kept {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.entry(server.id.clone()).or_default().clone()
    }

    /// Forgets servers that are gone.
    pub(crate) fn sweep(&self, is_known: impl Fn(&backend::Id) -> bool) {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.retain(|server, _| is_known(server));
    }

    /// A server's report.
    pub(crate) async fn report(&self, dialect: &dyn Dialect, server: &Server) -> Option<Report> {
        let kept = self.kept(server);
        let response = tokio::time::timeout(REPORT, async {
            let line = Line::open(server, &kept).await?;
            line.exchange(server, dialect.report_call()).await
        })
        .await
        .ok()
        .flatten()?;
        response.status().is_success().then(|| dialect.report(response.body())).flatten()
    }
}

impl<'a> Line<'a> {
    /// Takes a server's connection, a new one if none is kept.
    pub(crate) async fn open(server: &Server, kept: &'a Kept) -> Option<Line<'a>> {
        let mut kept = kept.lock().await;
        let ready = kept.take().filter(|connection| connection.sender.is_ready());
        let connection = match ready {
            Some(connection) => connection,
            None => connect::open_abrupt(server.address).await.ok()?,
        };
        Some(Line { kept, connection })
    }

    /// Gives an order, and waits so long for the answer.
    pub(crate) async fn order(
        self,
        dialect: &dyn Dialect,
        server: &Server,
        order: &Order,
        flight: Duration,
    ) -> OrderReply {
        let call = self.exchange(server, dialect.order_call(order));
        match tokio::time::timeout(flight, call).await {
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
        let body = Limited::new(body, LARGEST).collect().await.ok()?.to_bytes();
        *self.kept = Some(self.connection);
        Some(Response::from_parts(head, body))
    }
}
