//! One service as a plan sees it, with what the plan has decided so far.

use std::collections::BTreeMap;

use types::{
    prelude::*,
    routed::{Engine, Model},
};

use super::{
    Cause, Operation, Order, Rules,
    book::{Book, Current, Source, Standing},
    demand::Demand,
    heat::Level,
};

/// Work that a model has at the least while a request waits for it.
const WAITED: f64 = 0.05;

/// Chance that the busiest next is any of the models, whichever.
const CHANCE: f64 = 0.84;

/// Chance that the busiest next is one that was busy lately.
const RETURN: f64 = 0.3;

/// Work that the busiest model is taken to have at the least.
const TOP: f64 = 1.0;

/// A server that counts.
pub(super) struct Site<'a> {
    pub(super) id: &'a backend::Id,
    pub(super) book: &'a Book,
    /// Free memory; none if it isn't known.
    pub(super) room: Option<Mebibytes>,
    /// Whether an order may go there.
    pub(super) open: bool,
}

impl Site<'_> {
    /// Whether a model order may go there.
    pub(super) fn is_open(&self) -> bool {
        self.open && self.book.current.is_none()
    }
}

/// An order that the plan gives.
pub(super) struct Decision {
    pub(super) order: Order,
    pub(super) source: Source,
    /// Whether the weight store's bucket was charged for it.
    pub(super) paid: bool,
    /// What the room is made for.
    pub(super) claim: Option<model::Id>,
}

/// A service.
pub(super) struct Picture<'a> {
    pub(super) rules: &'a Rules,
    pub(super) engine: &'a Engine,
    pub(super) sizes: &'a BTreeMap<model::Id, Model>,
    pub(super) demand: &'a Demand,
    pub(super) now: Moment,
    pub(super) sites: Vec<Site<'a>>,
    /// For each declared model: the sites where it is ready or coming.
    pub(super) places: Vec<Vec<usize>>,
    /// For each declared model: the sites where it is ready and stays.
    pub(super) sure: Vec<Vec<usize>>,
    /// For each declared model: servers that it keeps fully used.
    pub(super) work: Vec<f64>,
    /// For each declared model: how likely it is to be the busiest next.
    pub(super) chances: Vec<f64>,
    /// Work of the busiest model.
    pub(super) top: f64,
    /// For each declared model: work that it still gets.
    pub(super) rest: Vec<f64>,
    /// How work lies on the sites as things are planned.
    pub(super) level: Level,
    pub(super) decisions: Vec<Decision>,
    indexes: BTreeMap<&'a model::Id, usize>,
}

impl<'a> Picture<'a> {
    pub(super) fn new(
        rules: &'a Rules,
        engine: &'a Engine,
        sizes: &'a BTreeMap<model::Id, Model>,
        demand: &'a Demand,
        servers: impl Iterator<Item = (&'a backend::Id, &'a Book)>,
        now: Moment,
    ) -> Picture<'a> {
        let here = servers.filter(|(_, book)| book.standing == Standing::Here);
        let sites: Vec<Site> = here
            .map(|(id, book)| Site {
                id,
                book,
                room: book.taken(sizes).map(|taken| engine.weights.saturating_sub(taken)),
                open: book.is_open(now),
            })
            .collect();
        let at = |fits: &dyn Fn(&Book, &model::Id) -> bool| -> Vec<Vec<usize>> {
            let of = |model: &Model| {
                let lit = (0..sites.len()).filter(|&s| !sites[s].book.is_unresponsive);
                lit.filter(|&s| fits(sites[s].book, &model.name)).collect()
            };
            engine.models.iter().map(of).collect()
        };
        let places = at(&|book, model| book.is_ready(model) || book.is_coming(model));
        let sure = at(&|book, model| book.is_sure(model, now));
        let work: Vec<f64> =
            engine.models.iter().map(|m| work(rules, demand, &m.name, now)).collect();
        let top = work.iter().copied().fold(TOP, f64::max);
        let mut picture = Picture {
            rules,
            engine,
            sizes,
            demand,
            now,
            sites,
            places,
            sure,
            work,
            chances: chances(demand, engine, now),
            top,
            rest: engine.models.iter().map(|m| demand.rest(rules, &m.name, now)).collect(),
            level: Level::default(),
            indexes: engine.models.iter().enumerate().map(|(n, m)| (&m.name, n)).collect(),
            decisions: Vec::new(),
        };
        picture.relevel();
        picture
    }

    /// Brings the heat up to date.
    pub(super) fn relevel(&mut self) {
        let cost = self.demand.cost(self.now);
        let missing = |site: &Site| site.book.limit.map_or(0.0, |limit| missing(limit, cost));
        let grounds = self.sites.iter().map(missing).collect();
        self.level = Level::new(&self.work, &self.places, grounds);
    }

    /// Heat of a site.
    pub(super) fn heat(&self, site: usize) -> f64 {
        self.level.heat[site]
    }

    /// Index of a declared model.
    pub(super) fn index(&self, model: &model::Id) -> Option<usize> {
        self.indexes.get(model).copied()
    }

    /// Gives an order; nothing else goes to that site in this plan.
    pub(super) fn decide(
        &mut self,
        site: usize,
        operation: Operation,
        model: &model::Id,
        adapter: Option<&adapter::Id>,
        cause: Cause,
    ) -> &mut Decision {
        let at = &mut self.sites[site];
        at.open = false;
        let source = match (operation, adapter) {
            (Operation::Load, None) => at.book.source(model),
            _ => Source::Memory,
        };
        let order = Order {
            server: at.id.clone(),
            operation,
            model: model.clone(),
            adapter: adapter.cloned(),
            expected: at.book.sequence,
            cause,
        };
        self.decisions.push(Decision { order, source, paid: false, claim: None });
        self.decisions.last_mut().expect("just pushed")
    }
}

/// Part of a server that its limit takes away, where each request keeps it fully used for so long.
fn missing(limit: f64, cost: f64) -> f64 {
    if cost == 0.0 { 0.0 } else { (1.0 - limit * cost).max(0.0) }
}

/// Servers that a model keeps fully used.
fn work(rules: &Rules, demand: &Demand, model: &model::Id, now: Moment) -> f64 {
    let waited = if demand.is_waited_for(model, now) { WAITED } else { 0.0 };
    demand.work(rules, model, now).max(waited)
}

/// How likely each model is to be the busiest next: those that were busy lately more than others.
fn chances(demand: &Demand, engine: &Engine, now: Moment) -> Vec<f64> {
    let earlier: Vec<f64> = engine.models.iter().map(|m| demand.earlier(&m.name, now)).collect();
    let sum: f64 = earlier.iter().sum();
    let share = |&amount: &f64| if 0.0 < sum { amount / sum } else { 0.0 };
    let any = CHANCE / engine.models.len().max(1) as f64;
    earlier.iter().map(|amount| any + RETURN * share(amount)).collect()
}

/// Loads from the weight store under way or asked for.
pub(super) fn store_loads<'a>(books: impl Iterator<Item = &'a Book>) -> usize {
    books
        .filter(|book| {
            let current =
                matches!(&book.current, Some(Current::Load { source: Source::Store, .. }));
            current || book.asked.as_ref().is_some_and(|sent| sent.source == Source::Store)
        })
        .count()
}
