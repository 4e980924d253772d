//! Which host is asked for a loan of retries, and when.

use types::prelude::*;

use super::{
    Dispatcher, Map,
    budget::loan::{Content, Message, PORTION, USABLE},
};
use crate::route::Index;

/// Time after which an ask counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Time between two asks.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Hosts that have nothing to lend, one after the other, after which none is asked for a while.
const MAX_DENIALS: u32 = 4;

/// How long none is asked then.
const DENIAL_PAUSE: Duration = Duration::from_secs(1);

/// Asks of this host for loans, and messages on their way.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrowing {
    requests: Map<Index, LoanRequests>,
    /// Hosts asked so far.
    turn: usize,
    outgoing: Vec<(host::Id, Message)>,
}

/// The last ask for one service.
#[derive(Clone, Debug, Default)]
struct LoanRequests {
    /// When it was sent, while no answer has come.
    open: Option<Moment>,
    /// From when on another may be sent.
    next: Moment,
    /// Hosts in a row that had nothing to lend.
    denials: u32,
}

impl LoanRequests {
    /// Whether another may be sent.
    fn is_due(&self, now: Moment) -> bool {
        let is_open = self.open.is_some_and(|sent| now < sent + REQUEST_TIMEOUT);
        !is_open && self.next <= now
    }
}

impl Dispatcher {
    /// Takes the messages on loans that are to be sent.
    pub fn loans_outgoing(&mut self) -> Vec<(host::Id, Message)> {
        std::mem::take(&mut self.loans.outgoing)
    }

    /// Takes in another host's message on loans.
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
            Content::Grant(lent) => self.granted(service, lent, message.asked, now),
        }
    }

    fn granted(&mut self, service: Index, lent: u32, asked: Moment, now: Moment) {
        let Some(request) = self.loans.requests.get_mut(&service) else { return };
        if request.open != Some(asked) {
            return;
        }
        request.open = None;
        request.denials = if lent == 0 { request.denials + 1 } else { 0 };
        if request.denials == MAX_DENIALS {
            (request.denials, request.next) = (0, now + DENIAL_PAUSE);
        }
        self.registry.services[service as usize].budget.borrow(lent, asked + USABLE, now);
    }

    /// Asks the next host for each service that is short of retries.
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
            request.open = Some(now);
            request.next = now + REQUEST_INTERVAL;
            let content = Content::Request(PORTION);
            outgoing.push((lender, Message { service, asked: now, content }));
            self.loans.turn += 1;
        }
    }

    /// The live host whose turn it is.
    fn next_lender(&self) -> Option<host::Id> {
        let turn = self.loans.turn.checked_rem(self.quotas.others().count())?;
        self.quotas.others().nth(turn).cloned()
    }
}
