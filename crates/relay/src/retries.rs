//! What is told of the retry budgets: metrics, and a line for each that was used or refused a retry.

use std::{collections::BTreeMap, sync::Arc};

use policy::dispatch::Account;
use tokio::time::sleep;
use types::prelude::*;

use crate::host::Shared;

/// Time between two lines on one service's budget.
const PAUSE: Duration = Duration::from_secs(5);

/// Tells of the budgets until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut refused: BTreeMap<service::Id, u64> = BTreeMap::new();
    loop {
        sleep(PAUSE).await;
        for (service, account) in shared.retry_budgets() {
            let before = refused.insert(service.clone(), account.refused).unwrap_or_default();
            if account.retries != 0 || before < account.refused {
                tell(&service, &account, account.refused - before);
            }
        }
    }
}

fn tell(service: &str, account: &Account, refused: u64) {
    log::info!(
        service, requests = account.requests, retries = account.retries, refused,
        left = account.left, hosts = account.hosts;
        "retry budget"
    );
}

impl Shared {
    /// Shows the retry budgets.
    pub(crate) fn measure_retries(&self) {
        for (service, account) in self.retry_budgets() {
            self.meters.budget(&service, account.left);
            self.meters.budget_spent(&service, account.retries);
            self.meters.budget_hosts(account.hosts);
        }
    }

    fn retry_budgets(&self) -> Vec<(service::Id, Account)> {
        self.dispatcher().retry_budgets(self.now())
    }
}
