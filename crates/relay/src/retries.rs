//! Retry budgets: loans between hosts, metrics, and a log message for each budget that was used or
//! refused a retry.

use std::{collections::BTreeMap, sync::Arc};

use exchange::{
    Exchange,
    fleet::{Notice, Snapshot},
};
use policy::dispatch::{RetryBudgetStatus, loan::Message};
use tokio::time::sleep;
use types::prelude::*;

use crate::host::Shared;

/// Interval at which the budgets that are in use are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// Logs the budgets that are in use until the process ends.
pub(crate) async fn run(shared: Arc<Shared>, exchange: Arc<Exchange>) {
    let mut refused: BTreeMap<service::Id, u64> = BTreeMap::new();
    loop {
        sleep(LOG_INTERVAL).await;
        let others = exchange.fleet();
        for (service, budget) in shared.retry_budgets() {
            let before = refused.insert(service.clone(), budget.refused).unwrap_or_default();
            if budget.retries != 0 || before < budget.refused {
                log_budget(&service, &budget, budget.refused - before, &others);
            }
        }
    }
}

fn log_budget(service: &str, budget: &RetryBudgetStatus, refused: u64, others: &Snapshot) {
    let count = |counts: &BTreeMap<service::Id, u64>| counts.get(service).copied().unwrap_or(0);
    log::info!(
        service, requests = budget.requests, retries = budget.retries, open = budget.open, refused,
        left = budget.left, hosts = budget.hosts,
        others_requests = count(&others.arrivals), others_retries = count(&others.retries);
        "retry budget"
    );
}

impl Shared {
    /// Applies another host's request for a loan, or its loan.
    pub(crate) fn loan_received(&self, from: &host::Id, message: &Message) {
        let (mut dispatcher, now) = (self.dispatcher(), self.now());
        dispatcher.loan_received(from, message, now);
        let answers = dispatcher.loans_outgoing();
        drop(dispatcher);
        self.send_loans(answers);
        self.dispatch_wakeup.notify_one();
    }

    /// Sends requests for loans, and loans.
    pub(crate) fn send_loans(&self, messages: Vec<(host::Id, Message)>) {
        self.send_once(messages.into_iter().map(|(to, message)| (to, Notice::Loan(message))));
    }

    /// Updates the metrics of the retry budgets.
    pub(crate) fn update_retry_metrics(&self) {
        for (service, budget) in self.retry_budgets() {
            self.meters.budget(&service, budget.left);
            self.meters.budget_spent(&service, budget.retries);
            self.meters.budget_hosts(budget.hosts);
        }
    }

    fn retry_budgets(&self) -> Vec<(service::Id, RetryBudgetStatus)> {
        self.dispatcher().retry_budgets(self.now())
    }
}
