//! Which models and adapters a server holds.
//!
//! Reports are late. What this host has learnt at first hand, that an order is done or that the
//! server refused for want of the model, goes before what is told within [`GUARD`] of it. An order
//! to drop a model is carried out only when its requests have ended, so it goes before reports for
//! [`ORDERED`]. Registrations come only when something changes, so what one lists meanwhile is kept
//! and counts after that time. It counts at once where the server has taken an order since: it can
//! hold again what it refused.
//!
//! Notices of other hosts may come late and in any order. Each says after how many orders of the server
//! it holds, and one that is older than what is known of the same model changes nothing.

use types::{prelude::*, routed};

use crate::route::Index;

/// How long first-hand knowledge goes before reports.
pub const GUARD: Duration = Duration::from_millis(500);

/// How long an order to drop something goes before reports.
pub const ORDERED: Duration = Duration::from_secs(3);

/// A model on a server.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Holding {
    model: Index,
    adapters: Vec<adapter::Id>,
}

/// What is known at first hand of a model on a server, or of an adapter on it.
#[derive(Clone, Debug)]
struct Learnt {
    model: Index,
    adapter: Option<adapter::Id>,
    fact: Fact,
    /// Orders that the server had accepted by then, if that is known.
    sequence: Option<routed::Sequence>,
    /// Until when reports change nothing.
    until: Moment,
}

/// What is known of it.
#[derive(Clone, Debug)]
enum Fact {
    /// It is there.
    Held,
    /// It is not there.
    Absent {
        why: Absence,
        /// What the latest news list in spite of it, with the model's adapters.
        listed: Option<Holding>,
    },
}

/// Why something is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// The server was ordered to drop it, by the last of so many orders.
    Ordered(routed::Sequence),
    /// The server refused a request for want of it.
    Refused,
}

/// What one server holds.
#[derive(Clone, Debug, Default)]
pub struct Held {
    holdings: Vec<Holding>,
    learnt: Vec<Learnt>,
    sequence: routed::Sequence,
}

impl Held {
    /// Whether it holds the model, and the adapter if one is named.
    pub fn holds(&self, model: Index, adapter: Option<&adapter::Id>) -> bool {
        let holding = self.holdings.iter().find(|h| h.model == model);
        holding.is_some_and(|h| adapter.is_none_or(|adapter| h.adapters.contains(adapter)))
    }

    /// Models that it holds.
    pub fn models(&self) -> impl Iterator<Item = Index> {
        self.holdings.iter().map(|h| h.model)
    }

    /// Whether something later is known of the model, or of the adapter on it, than after so many orders.
    pub fn is_later(
        &self,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
    ) -> bool {
        let is_about = |l: &&Learnt| {
            l.model == model && (l.adapter.is_none() || l.adapter.as_ref() == adapter)
        };
        let mut known = self.learnt.iter().filter(is_about).filter_map(|l| l.sequence);
        sequence < self.sequence || known.any(|known| sequence < known)
    }

    /// Takes in that the server holds a model, or an adapter on it, after so many orders.
    pub fn put(
        &mut self,
        model: Index,
        adapter: Option<&adapter::Id>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        self.unlearn(model, adapter);
        self.learnt.retain(|l| l.model != model || l.adapter.is_some() || l.is_held());
        self.learn(model, adapter, Fact::Held, Some(sequence), now + GUARD);
        self.add(model, adapter);
    }

    /// It loads this again, so reports that have it are news.
    pub fn expect(&mut self, model: Index) {
        self.learnt.retain(|learnt| learnt.model != model);
    }

    /// It holds this no more, whatever reports say for a while: the adapter if one is named, or
    /// else the model with its adapters.
    pub fn drop(&mut self, model: Index, adapter: Option<&adapter::Id>, why: Absence, now: Moment) {
        match adapter {
            Some(_) => self.unlearn(model, adapter),
            None => self.learnt.retain(|learnt| learnt.model != model),
        }
        let (time, sequence) = match why {
            Absence::Ordered(sequence) => (ORDERED, Some(sequence)),
            Absence::Refused => (GUARD, None),
        };
        self.learn(model, adapter, Fact::Absent { why, listed: None }, sequence, now + time);
        self.remove(model, adapter);
    }

    /// Takes in all that it told, after so many orders; what is older than known is left out.
    pub fn told(
        &mut self,
        models: impl Iterator<Item = (Index, Vec<adapter::Id>)>,
        sequence: routed::Sequence,
        now: Moment,
    ) {
        if sequence < self.sequence {
            return;
        }
        let has_ordered = self.sequence < sequence;
        self.sequence = sequence;
        self.learnt.retain(|l| now < l.until && !(has_ordered && l.is_refused()));
        self.holdings = models.map(|(model, adapters)| Holding { model, adapters }).collect();
        let mut learnt = std::mem::take(&mut self.learnt);
        for Learnt { model, adapter, fact, .. } in &mut learnt {
            match fact {
                Fact::Held => self.add(*model, adapter.as_ref()),
                Fact::Absent { listed, .. } => {
                    *listed = self.listed(*model, adapter.as_ref());
                    self.remove(*model, adapter.as_ref());
                }
            }
        }
        self.learnt = learnt;
    }

    /// When the next news that were put off count.
    pub fn next_news(&self) -> Option<Moment> {
        let put_off = self.learnt.iter().filter(|learnt| learnt.listed().is_some());
        put_off.map(|learnt| learnt.until).min()
    }

    /// News that were put off until now count.
    pub fn settle(&mut self, now: Moment) {
        let is_over = |learnt: &Learnt| learnt.until <= now && learnt.listed().is_some();
        let over: Vec<Learnt> = self.learnt.extract_if(.., |learnt| is_over(learnt)).collect();
        for Holding { model, adapters } in over.iter().filter_map(Learnt::listed) {
            self.add(*model, None);
            adapters.iter().for_each(|adapter| self.add(*model, Some(adapter)));
        }
        // What is known to be absent still is.
        let absent = self.learnt.iter().filter(|learnt| !learnt.is_held());
        let absent: Vec<_> = absent.map(|l| (l.model, l.adapter.clone())).collect();
        absent.iter().for_each(|(model, adapter)| self.remove(*model, adapter.as_ref()));
    }

    /// The part of a model's holding that an absence is about.
    fn listed(&self, model: Index, adapter: Option<&adapter::Id>) -> Option<Holding> {
        let holding = self.holdings.iter().find(|h| h.model == model)?;
        match adapter {
            None => Some(holding.clone()),
            Some(adapter) if holding.adapters.contains(adapter) => {
                Some(Holding { model, adapters: vec![adapter.clone()] })
            }
            Some(_) => None,
        }
    }

    fn learn(
        &mut self,
        model: Index,
        adapter: Option<&adapter::Id>,
        fact: Fact,
        sequence: Option<routed::Sequence>,
        until: Moment,
    ) {
        self.learnt.push(Learnt { model, adapter: adapter.cloned(), fact, sequence, until });
    }

    fn unlearn(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        self.learnt.retain(|l| l.model != model || l.adapter.as_ref() != adapter);
    }

    fn add(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        let at = self.holdings.iter().position(|h| h.model == model).unwrap_or_else(|| {
            self.holdings.push(Holding { model, adapters: Vec::new() });
            self.holdings.len() - 1
        });
        let adapters = &mut self.holdings[at].adapters;
        if let Some(adapter) = adapter
            && !adapters.contains(adapter)
        {
            adapters.push(adapter.clone());
        }
    }

    fn remove(&mut self, model: Index, adapter: Option<&adapter::Id>) {
        match adapter {
            None => self.holdings.retain(|h| h.model != model),
            Some(adapter) => {
                let of_model = self.holdings.iter_mut().filter(|h| h.model == model);
                of_model.for_each(|h| h.adapters.retain(|other| other != adapter));
            }
        }
    }
}

impl Learnt {
    fn is_held(&self) -> bool {
        matches!(self.fact, Fact::Held)
    }

    fn is_refused(&self) -> bool {
        matches!(self.fact, Fact::Absent { why: Absence::Refused, .. })
    }

    fn listed(&self) -> Option<&Holding> {
        match &self.fact {
            Fact::Absent { listed, .. } => listed.as_ref(),
            Fact::Held => None,
        }
    }
}
