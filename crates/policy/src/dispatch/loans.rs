//! Which host is asked for a loan of retries, and when.

use types::prelude::*;

use super::{
    Dispatcher, Map,
    budget::loan::{Content, Message, PORTION, USABLE},
};
use crate::route::Index;

/// Time after which an ask counts as lost.
const UNANSWERED: Duration = Duration::from_millis(100);

/// Time between two asks.
const BETWEEN: Duration = Duration::from_millis(25);

/// Hosts that have nothing to lend, one after the other, after which none is asked for a while.
const DENIALS: u32 = 4;

/// How long none is asked then.
const PAUSE: Duration = Duration::from_secs(1);

/// Asks of this host for loans, and messages on their way.
#[derive(Clone, Debug, Default)]
pub(super) struct Borrowing {
    asks: Map<Index, Ask>,
    /// Hosts asked so far.
    turn: usize,
    outgoing: Vec<(host::Id, Message)>,
}

/// The last ask for one service.
#[derive(Clone, Debug, Default)]
struct Ask {
    /// When it was sent, while no answer has come.
    open: Option<Moment>,
    /// From when on another may be sent.
    next: Moment,
    /// Hosts in a row that had nothing to lend.
    denials: u32,
}

impl Ask {
    /// Whether another may be sent.
    fn is_due(&self, now: Moment) -> bool {
        let is_open = self.open.is_some_and(|sent| now < sent + UNANSWERED);
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
        let service = self.fleet.service(&message.service);
        match message.content {
            Content::Ask(wanted) => {
                let extra = self.sharers.extra();
                let budget = &mut self.fleet.services[service as usize].budget;
                let lent = budget.lend(wanted, extra, now);
                let answer = Message { content: Content::Grant(lent), ..message.clone() };
                self.loans.outgoing.push((from.clone(), answer));
            }
            Content::Grant(lent) => self.granted(service, lent, message.asked, now),
        }
    }

    fn granted(&mut self, service: Index, lent: u32, asked: Moment, now: Moment) {
        let Some(ask) = self.loans.asks.get_mut(&service) else { return };
        if ask.open != Some(asked) {
            return;
        }
        ask.open = None;
        ask.denials = if lent == 0 { ask.denials + 1 } else { 0 };
        if ask.denials == DENIALS {
            (ask.denials, ask.next) = (0, now + PAUSE);
        }
        self.fleet.services[service as usize].budget.borrow(lent, asked + USABLE, now);
    }

    /// Asks the next host for each service that is short of retries.
    pub(super) fn ask_for_loans(&mut self, now: Moment) {
        let extra = self.sharers.extra();
        let services = self.fleet.services.iter().enumerate();
        let short = services.filter(|(_, service)| service.budget.is_short(extra, now));
        let short: Vec<(Index, service::Id)> =
            short.map(|(index, service)| (index as Index, service.id.clone())).collect();
        for (index, service) in short {
            if !self.loans.asks.entry(index).or_default().is_due(now) {
                continue;
            }
            let Some(lender) = self.next_lender() else { return };
            let Borrowing { asks, outgoing, .. } = &mut self.loans;
            let ask = asks.entry(index).or_default();
            ask.open = Some(now);
            ask.next = now + BETWEEN;
            let content = Content::Ask(PORTION);
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
