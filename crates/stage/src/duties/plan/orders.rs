//! Sends orders, each at most once, and records their outcome.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use observe::{Event, event};
use policy::ledger::sender::Sender;
use types::order::Order;

use crate::context::Context;

/// Orders sent by this run of the host.
#[derive(Clone)]
pub(super) struct Orders {
    context: Arc<Context>,
    sender: Arc<Mutex<Sender>>,
}

impl Orders {
    pub(super) fn new(context: Arc<Context>) -> Orders {
        let host = context.host().id.clone();
        let linger = context.settings.planning.linger;
        let sender = Sender::new(host, context.incarnation, linger);
        Orders { context, sender: Arc::new(Mutex::new(sender)) }
    }

    /// Returns the state of this run's orders.
    pub(super) fn sender(&self) -> MutexGuard<'_, Sender> {
        self.sender.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends an order whose reservation is written; doesn't wait for the response.
    pub(super) fn send(&self, address: SocketAddr, order: Order) {
        self.sender().mark_sent(&order.id);
        let orders = self.clone();
        tokio::spawn(async move { orders.exchange(address, order).await });
    }

    async fn exchange(&self, address: SocketAddr, order: Order) {
        let sent = self.context.control.order(address, &order);
        // Dropping the exchange on timeout closes its connection.
        let answer = tokio::time::timeout(self.context.settings.planning.order, sent).await;
        let now = self.context.now();
        match answer {
            Ok(Ok(ack)) => {
                self.sender().mark_answered(now, &order.id, &ack);
                log::info!(order = &*order.id, server = &*order.server; "order answered: {ack:?}");
                let kind = event::Kind::Acknowledgement { order: order.id, ack };
                self.context.events.record(Event::new(kind).server(&order.server));
            }
            Ok(Err(error)) if error.is_unsent() => {
                log::warn!(order = &*order.id, server = &*order.server; "order not sent: {error}");
                self.sender().mark_not_sent(&order.id);
            }
            Ok(Err(error)) => {
                log::warn!(order = &*order.id, server = &*order.server; "order in doubt: {error}");
                self.sender().mark_unanswered(now, &order.id);
            }
            Err(_) => {
                log::warn!(
                    order = &*order.id, server = &*order.server;
                    "order in doubt: no response in time"
                );
                self.sender().mark_unanswered(now, &order.id);
            }
        }
    }
}
