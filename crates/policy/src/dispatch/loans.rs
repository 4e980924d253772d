//! Requests for loans of retries: to which host they are sent, and when.

use types::prelude::*;

use super::{
    Dispatcher, Map,
    budget::loan::{Content, Message, PORTION, VALIDITY},
};
use crate::route::Index;

/// Time after which a request without an answer counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum time between two requests for one service.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Consecutive denials after which no loan is requested for [`DENIAL_PAUSE`].
const MAX_DENIALS: u32 = 4;

const DENIAL_PAUSE: Duration = Duration::from_secs(1);

/// Loan requests of this host, and messages to be sent.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrowing {
    requests: Map<Index, LoanRequests>,
    /// Number of requests sent so far, which selects the next lender.
    turn: usize,
    outgoing: Vec<(host::Id, Message)>,
}

/// Loan requests for one service.
#[derive(Clone, Debug, Default)]
struct LoanRequests {
    /// When the last request was sent; `None` once it is answered.
    pending_since: Option<Moment>,
    /// When the next request may be sent.
    next_at: Moment,
    /// Consecutive answers that lent nothing.
    denials: u32,
}

impl LoanRequests {
    /// Whether the next request may be sent.
    fn is_due(&self, now: Moment) -> bool {
        let is_pending = self.pending_since.is_some_and(|sent| now < sent + REQUEST_TIMEOUT);
        !is_pending && self.next_at <= now
    }
}

impl Dispatcher {
    /// Takes the messages on loans that are to be sent.
    pub fn loans_outgoing(&mut self) -> Vec<(host::Id, Message)> {
        std::mem::take(&mut self.loans.outgoing)
    }

    /// Applies another host's message on loans.
    pub fn loan_received(&mut self, from: &host::Id, message: &Message, now: Moment) {
        let service = self.registry.service(&message.service);
        match message.content {
            Content::Request(wanted) => {
                let extra = self.sharers.extra();
                let budget = &mut self.registry.services[service as usize].budget;
                let lent = budget.lend(wanted, extra, now);
                let answer = Message { content: Content::Grant(lent), ..message.clone() };
                self.loans.outgoing.push((from.clone(), answer));
            }
            Content::Grant(lent) => self.granted(service, lent, message.requested_at, now),
        }
    }

    fn granted(&mut self, service: Index, lent: u32, requested_at: Moment, now: Moment) {
        let Some(request) = self.loans.requests.get_mut(&service) else { return };
        if request.pending_since != Some(requested_at) {
            return;
        }
        request.pending_since = None;
        request.denials = if lent == 0 { request.denials + 1 } else { 0 };
        if request.denials == MAX_DENIALS {
            (request.denials, request.next_at) = (0, now + DENIAL_PAUSE);
        }
        self.registry.services[service as usize].budget.borrow(lent, requested_at + VALIDITY, now);
    }

    /// Requests a loan from the next host for each service that is short of retries.
    pub(super) fn ask_for_loans(&mut self, now: Moment) {
        let extra = self.sharers.extra();
        let services = self.registry.services.iter().enumerate();
        let short = services.filter(|(_, service)| service.budget.is_short(extra, now));
        let short: Vec<(Index, service::Id)> =
            short.map(|(index, service)| (index as Index, service.id.clone())).collect();
        for (index, service) in short {
            if !self.loans.requests.entry(index).or_default().is_due(now) {
                continue;
            }
            let Some(lender) = self.next_lender() else { return };
            let Borrowing { requests, outgoing, .. } = &mut self.loans;
            let request = requests.entry(index).or_default();
            request.pending_since = Some(now);
            request.next_at = now + REQUEST_INTERVAL;
            let content = Content::Request(PORTION);
            outgoing.push((lender, Message { service, requested_at: now, content }));
            self.loans.turn += 1;
        }
    }

    /// The live host whose turn it is.
    fn next_lender(&self) -> Option<host::Id> {
        let turn = self.loans.turn.checked_rem(self.quotas.others().count())?;
        self.quotas.others().nth(turn).cloned()
    }
}
