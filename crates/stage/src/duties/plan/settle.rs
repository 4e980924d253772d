//! Gathers evidence on open orders, and writes the ledgers whose orders it settles.

use observe::{Event, event};
use policy::ledger::{
    Ledger,
    sender::TimedReport,
    settle::{Evidence, Outcome},
};
use types::{prelude::*, report::Load};

use super::{
    Duty,
    ledgers::{StoredLedger, WriteOutcome},
};
use crate::moves::evidence_label;

impl Duty {
    /// Settles all orders that can be settled, on every engine.
    pub(super) async fn settle_all(&mut self) {
        self.detect_gone_senders().await;
        for entry in self.engines() {
            self.settle(&entry.server).await;
        }
    }

    /// Settles the orders of this host, including those of its earlier runs: this host is the first
    /// to know that those runs have ended.
    pub(super) async fn settle_own(&mut self) -> Result<(), objects::Error> {
        let now = self.context.now();
        let has_open = self.orders.sender().has_orders()
            || self.ledgers.iter().any(|ledger| self.is_sender(ledger));
        if !has_open && (self.earlier_runs_settled || !self.is_list_due(now)) {
            return Ok(());
        }
        self.ledgers.list().await?;
        self.orders.sender().retain_in(self.ledgers.iter());
        self.gone_senders.observe_run(now, &self.context.host().id, self.context.incarnation);
        let mut is_settled = true;
        for entry in self.engines() {
            let ledger = self.ledgers.get(&entry.server.id).map(|stored| &stored.ledger);
            if ledger.is_some_and(|ledger| self.is_sender(ledger)) {
                is_settled = false;
                self.settle(&entry.server).await;
            }
        }
        // Writes of an earlier run may still arrive during the linger time.
        self.earlier_runs_settled = is_settled && self.context.settings.planning.linger < now;
        Ok(())
    }

    /// Whether any run of this host has an order in the ledger.
    fn is_sender(&self, ledger: &Ledger) -> bool {
        let host = &self.context.host().id;
        ledger.orders.iter().any(|entry| entry.order.sender == *host)
    }

    async fn settle(&mut self, server: &backend::Server) {
        let report = self.last_report(&server.id);
        let Some(StoredLedger { version, ledger }) = self.ledgers.get(&server.id).cloned() else {
            return self.create_ledger(report).await;
        };
        let fresh = self.fresh_report(server, &ledger).await;
        let mut known: Vec<Evidence<'_>> = report.iter().map(Evidence::Report).collect();
        known.extend(self.orders.sender().evidence(&ledger, fresh.as_ref()));
        if let Some(fresh) = &fresh {
            known.push(Evidence::Report(&fresh.load));
            known.extend(self.gone_senders.evidence(&ledger, fresh));
        }
        let outcome = ledger.settle(&known);
        let affects_planning = outcome.affects_planning(&ledger);
        if !affects_planning {
            self.ledgers.set_unwritten(version, outcome.ledger);
            return;
        }
        // If another host wrote first, the next round settles again.
        if self.ledgers.settle(version, &outcome.ledger).await == WriteOutcome::Applied {
            self.record(outcome);
        }
    }

    /// Creates the ledger of a server that has none, from its load report.
    async fn create_ledger(&mut self, report: Option<Load>) {
        let Some(load) = report else { return };
        let ledger = Ledger::new(&load);
        self.ledgers.create(&ledger).await;
    }

    /// Returns the last load report that this host read, under the server's name on the list.
    fn last_report(&self, server: &backend::Id) -> Option<Load> {
        let reading = self.context.fleet.reading(server)?;
        Some(Load { server: server.clone(), ..reading.load.clone() })
    }

    /// Requests a load report now, if evidence depends on one.
    async fn fresh_report(&self, server: &backend::Server, ledger: &Ledger) -> Option<TimedReport> {
        let requested_at = self.context.now();
        let is_wanted = self.orders.sender().wants_report(requested_at, ledger)
            || self.gone_senders.wants_report(requested_at, ledger);
        if !is_wanted {
            return None;
        }
        let report = self.context.control.load(server.address);
        match tokio::time::timeout(self.context.settings.planning.order, report).await {
            Ok(Ok(load)) => {
                Some(TimedReport { requested_at, load: Load { server: server.id.clone(), ..load } })
            }
            Ok(Err(error)) => {
                log::debug!(server = &*server.id; "fresh load report not read: {error}");
                None
            }
            Err(_) => None,
        }
    }

    /// Checks whether senders of open orders are gone permanently.
    async fn detect_gone_senders(&mut self) {
        let now = self.context.now();
        let host = self.context.host().id.clone();
        self.gone_senders.observe_run(now, &host, self.context.incarnation);
        let orders = self.ledgers.iter().flat_map(|ledger| &ledger.orders);
        let senders: Vec<(host::Id, host::Incarnation)> =
            orders.map(|entry| (entry.order.sender.clone(), entry.order.incarnation)).collect();
        for (sender, incarnation) in &senders {
            self.gone_senders.observe_run(now, sender, *incarnation);
        }
        let list = self.context.fleet.list();
        let is_listed = |id: &host::Id| list.hosts.iter().any(|entry| entry.host.id == *id);
        let all_listed = senders.iter().all(|(sender, _)| is_listed(sender));
        if all_listed && !self.gone_senders.is_watching() {
            return;
        }
        // The shared list may be as old as the current outage, so absence is judged by a new read.
        match self.context.store.hosts().await {
            Ok(list) => {
                self.gone_senders.observe_list(now, &list, senders.iter().map(|(sender, _)| sender))
            }
            Err(error) => {
                log::debug!("host list not read; can't tell whether senders are gone: {error}")
            }
        }
    }

    fn record(&self, outcome: Outcome) {
        for settled in &outcome.settled {
            let order = &settled.entry.order;
            self.orders.sender().forget(&order.id);
            let evidence = evidence_label(settled.settlement);
            log::info!(order = &*order.id, server = &*order.server; "order settled: {evidence}");
            let kind =
                event::Kind::Settlement { order: order.id.clone(), evidence: evidence.into() };
            self.context.events.record(Event::new(kind).server(&order.server));
        }
        self.context.moves.record_settled(self.context.now(), outcome.settled);
    }
}
