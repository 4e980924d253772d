//! Explanation of one request, server, declaration or term, selected from all hosts' lines.
//!
//! The lines of all hosts are sorted by their stamps. The explanation consists of the lines about
//! the subject of the query and, for each decision among them, the lines with the beliefs that its
//! host held at that time: the declaration in force, the state and the limits of the server, the
//! last order to it and the lease that the order was sent under, and unavailable dependencies.
//! Readers thus see each decision and what it was based on.

use std::collections::{BTreeSet, HashMap, HashSet};

use serde::Serialize;
use types::{adapter, backend, host, model, order::Fence, request, routed::Version};

use super::{
    belief::{Belief, DependencyState, LeaseState, PoisonState},
    line::{Content, Line, Skipped, read},
    step::Step,
};
use crate::{clock::Stamp, event::Text};

/// Time after the last queried line of a run in which lines about dropped records are included,
/// since they are written at the end of a later batch. Stamps count seconds in their upper 32 bits.
const DROPPED_REPORT_DELAY: u64 = 2 << 32;

/// Time for which a planner's wish explains a refusal; a persisting wish is logged again sooner.
const WISH_VALIDITY: u64 = 3 << 32;

/// Subject of an explanation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Query {
    /// A request, by its id.
    Request(request::Id),
    /// A run of a server, by its id.
    Server(backend::Id),
    /// A declaration, by its number.
    Version(Version),
    /// A term of a lease, by its fencing number.
    Term(Fence),
}

/// Reason for which a line is part of an explanation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The line is about the subject of the query.
    #[serde(rename = "asked")]
    Queried,
    /// A decision was based on what the line states.
    #[serde(rename = "believed")]
    Context,
}

/// A line of an explanation.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Reason for which the line was selected.
    #[serde(rename = "part")]
    pub reason: Reason,
    /// The line as logged by its host.
    #[serde(flatten)]
    pub line: Line,
}

/// Builder of an explanation, which collects the lines that may be part of it.
#[derive(Debug)]
pub struct Explanation {
    query: Query,
    lines: Vec<Line>,
    seen_runs: HashSet<Run>,
    /// Number of lines that could not be parsed, for example because they are truncated.
    pub bad: u64,
    /// Number of lines that are JSON objects but no lines of a story, such as log messages.
    pub other: u64,
}

type Run = (host::Id, host::Incarnation);

impl Explanation {
    /// Returns an explanation without lines.
    pub fn of(query: Query) -> Explanation {
        Explanation { query, lines: Vec::new(), seen_runs: HashSet::new(), bad: 0, other: 0 }
    }

    /// Adds a line of a host's log. Lines may be added in any order.
    pub fn add(&mut self, text: &str) {
        if text.trim().is_empty() {
            return;
        }
        match read(text) {
            Ok(line) if self.is_relevant(&line) => self.lines.push(line),
            Ok(_) => {}
            Err(Skipped::Bad) => self.bad += 1,
            Err(Skipped::Other) => self.other += 1,
        }
    }

    /// Returns the selected lines in order, without duplicates.
    pub fn entries(mut self) -> Vec<Entry> {
        self.lines.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
        self.lines.dedup();
        let mut selection = Selection::default();
        self.lines
            .iter()
            .enumerate()
            .for_each(|(index, line)| selection.add(&self.query, index, line));
        selection.include_dropped(&self.lines);
        let Selection { queried, context, .. } = selection;
        let reason = |index| match (queried.contains(&index), context.contains(&index)) {
            (true, _) => Some(Reason::Queried),
            (false, true) => Some(Reason::Context),
            (false, false) => None,
        };
        let lines = self.lines.into_iter().enumerate();
        lines.filter_map(|(index, line)| Some(Entry { reason: reason(index)?, line })).collect()
    }

    /// Returns whether a line may become part of the explanation. All beliefs are kept, since they
    /// are few and any may be the context of a decision; of the many steps, only those queried are.
    fn is_relevant(&mut self, line: &Line) -> bool {
        let Content::Step(step) = &line.content else { return true };
        match &self.query {
            Query::Version(version) => {
                // One request per run suffices to show that the declaration was used there.
                step.version() == Some(*version)
                    && self.seen_runs.insert((line.host.clone(), line.run))
            }
            query => is_queried(query, line),
        }
    }
}

/// Key for the order of lines.
fn sort_key(line: &Line) -> (Stamp, &host::Id, host::Incarnation) {
    (line.time.at, &line.host, line.run)
}

fn is_queried(query: &Query, line: &Line) -> bool {
    match (query, &line.content) {
        (Query::Request(id), _) => line.request.as_ref() == Some(id),
        (Query::Server(id), Content::Step(step)) => step.mentions(id),
        (Query::Server(id), Content::Belief(belief)) => belief.server() == Some(id),
        (Query::Version(version), Content::Step(step)) => step.version() == Some(*version),
        (
            Query::Version(version),
            Content::Belief(Belief::Declaration { version: declared, .. }),
        ) => version == declared,
        (Query::Term(fence), Content::Belief(belief)) => belief.fence() == Some(*fence),
        (Query::Version(_), Content::Belief(_)) | (Query::Term(_), Content::Step(_)) => false,
    }
}

/// Subject of a belief; a later line with the same key replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Key {
    Start(Run),
    Declaration(Run),
    Server(Run, backend::Id),
    Limit(Run, backend::Id),
    Path(Run, backend::Id),
    Dependency(Run, Text),
    Poison(Run, Text),
    Placement(backend::Id, model::Id),
    Order(backend::Id),
    Lease(Fence),
    Wish(model::Id, Option<adapter::Id>),
}

#[derive(Debug, Default)]
struct Selection {
    queried: BTreeSet<usize>,
    context: BTreeSet<usize>,
    last: HashMap<Key, usize>,
    /// Fencing numbers of orders, by the index of the order's line.
    fences: HashMap<usize, Fence>,
    /// Dependencies that are unavailable and fingerprints under suspicion, by run.
    unavailable: HashSet<Key>,
    /// Servers with a limit, by run.
    limited: HashSet<Key>,
    /// Servers that the request has been sent to.
    in_use: HashSet<backend::Id>,
    /// The run that holds the queried term.
    holder: Option<Run>,
    /// Stamp of the latest line about each wish.
    wishes: HashMap<Key, Stamp>,
    /// The wish for the model and adapter that the request needs.
    wanted_wish: Option<Key>,
}

impl Selection {
    fn add(&mut self, query: &Query, index: usize, line: &Line) {
        let run = (line.host.clone(), line.run);
        if is_queried(query, line) {
            self.queried.insert(index);
        }
        match &line.content {
            Content::Step(step) => {
                self.include_basis(&run, step);
                self.update_wish(step, line.time.at);
            }
            Content::Belief(belief) => {
                if let Belief::Wish { model, adapter, .. } = belief {
                    let key = Key::Wish(model.clone(), adapter.clone());
                    self.wishes.insert(key, line.time.at);
                }
                self.apply_belief(query, index, run, belief);
            }
        }
    }

    /// Includes the lines that a selected decision was based on.
    fn include_basis(&mut self, run: &Run, step: &Step) {
        self.include(&Key::Start(run.clone()));
        self.include(&Key::Declaration(run.clone()));
        match step {
            Step::Attempt(attempt) => self.include_server(run, &attempt.server),
            Step::Relayed { server, .. } => self.include(&Key::Path(run.clone(), server.clone())),
            Step::Resumed { server, .. } => self.include_server(run, server),
            Step::Queued { .. } | Step::Refused { .. } | Step::GivenUp { .. } => {
                self.include_obstacles(run)
            }
            Step::Ended(_) => self.in_use.clear(),
            Step::Arrived(_)
            | Step::Unresponsive { .. }
            | Step::AttemptEnded { .. }
            | Step::StreamVersion { .. } => {}
        }
    }

    fn include_server(&mut self, run: &Run, server: &backend::Id) {
        self.include(&Key::Server(run.clone(), server.clone()));
        self.include(&Key::Limit(run.clone(), server.clone()));
        self.include(&Key::Order(server.clone()));
        self.in_use.insert(server.clone());
    }

    fn include_obstacles(&mut self, run: &Run) {
        let of_run = |key: &&Key| match key {
            Key::Dependency(of, _) | Key::Poison(of, _) | Key::Limit(of, _) => of == run,
            _ => false,
        };
        let reasons = self.unavailable.iter().chain(&self.limited);
        let keys: Vec<Key> = reasons.filter(of_run).cloned().collect();
        keys.iter().for_each(|key| self.include(key));
    }

    /// Includes the planner's wish for the model if the request was queued or refused, whichever
    /// host the planner ran on.
    fn update_wish(&mut self, step: &Step, at: Stamp) {
        match step {
            Step::Arrived(arrival) => {
                let adapter = arrival.adapter.clone();
                self.wanted_wish = arrival.model.clone().map(|model| Key::Wish(model, adapter));
            }
            Step::Queued { .. } | Step::Refused { .. } => {
                let Some(key) = self.wanted_wish.clone() else { return };
                let is_fresh = self
                    .wishes
                    .get(&key)
                    .is_some_and(|logged_at| at.0 <= logged_at.0 + WISH_VALIDITY);
                if is_fresh {
                    self.include(&key);
                }
            }
            _ => {}
        }
    }

    fn include(&mut self, key: &Key) {
        let Some(&index) = self.last.get(key) else { return };
        self.context.insert(index);
        if let Some(&fence) = self.fences.get(&index) {
            self.include(&Key::Lease(fence));
        }
    }

    fn apply_belief(&mut self, query: &Query, index: usize, run: Run, belief: &Belief) {
        if belief.server().is_some_and(|server| self.in_use.contains(server)) {
            // A change of a server's state while the request was at that server.
            self.context.insert(index);
        }
        match belief {
            Belief::Start { .. } => self.set(Key::Start(run), index),
            Belief::Declaration { .. } => self.set(Key::Declaration(run), index),
            Belief::Server { server, .. } => self.set(Key::Server(run, server.clone()), index),
            Belief::Limit { server, now, .. } => {
                let key = Key::Limit(run, server.clone());
                match now {
                    Some(_) => self.limited.insert(key.clone()),
                    None => self.limited.remove(&key),
                };
                self.set(key, index);
            }
            Belief::Dependency { name, state, .. } => {
                let key = Key::Dependency(run, name.clone());
                match state {
                    DependencyState::Lost => self.unavailable.insert(key.clone()),
                    DependencyState::Regained => self.unavailable.remove(&key),
                };
                self.set(key, index);
            }
            Belief::Poison { fingerprint, state, .. } => {
                let key = Key::Poison(run, fingerprint.clone());
                match state {
                    PoisonState::Suspected | PoisonState::Confirmed => {
                        self.unavailable.insert(key.clone())
                    }
                    PoisonState::Cleared => self.unavailable.remove(&key),
                };
                self.set(key, index);
            }
            Belief::Placement { server, model, .. } => {
                if self.holder.as_ref() == Some(&run) {
                    self.queried.insert(index);
                }
                self.set(Key::Placement(server.clone(), model.clone()), index);
            }
            Belief::Wish { model, adapter, .. } => {
                if self.holder.as_ref() == Some(&run) {
                    self.queried.insert(index);
                }
                self.set(Key::Wish(model.clone(), adapter.clone()), index);
            }
            Belief::Order { server, model, fence, .. } => {
                self.fences.insert(index, *fence);
                if self.queried.contains(&index) {
                    self.include(&Key::Placement(server.clone(), model.clone()));
                    self.include(&Key::Lease(*fence));
                }
                self.set(Key::Order(server.clone()), index);
            }
            Belief::Lease { state, fence, .. } => {
                self.update_holder(query, run, *state, *fence);
                self.set(Key::Lease(*fence), index);
            }
            Belief::Path { server, .. } => self.set(Key::Path(run, server.clone()), index),
            Belief::Reload { .. }
            | Belief::Customers { .. }
            | Belief::ServerSource { .. }
            | Belief::Tolerance { .. }
            | Belief::Speeds { .. }
            | Belief::Stop { .. }
            | Belief::Peer { .. }
            | Belief::Dropped { .. } => {}
        }
    }

    fn update_holder(&mut self, query: &Query, run: Run, state: LeaseState, fence: Fence) {
        if *query != Query::Term(fence) {
            return;
        }
        self.holder = match state {
            LeaseState::Gained | LeaseState::RenewedLate => Some(run),
            LeaseState::Lost | LeaseState::Released => None,
        };
    }

    fn set(&mut self, key: Key, index: usize) {
        self.last.insert(key, index);
    }

    /// Includes the lines about dropped records, which show that the explanation may be incomplete.
    fn include_dropped(&mut self, lines: &[Line]) {
        let mut spans: HashMap<Run, (u64, u64)> = HashMap::new();
        for line in self.queried.iter().map(|&index| &lines[index]) {
            let at = line.time.at.0;
            let run = (line.host.clone(), line.run);
            spans.entry(run).or_insert((at, at)).1 = at;
        }
        for (index, line) in lines.iter().enumerate() {
            if !matches!(line.content, Content::Belief(Belief::Dropped { .. })) {
                continue;
            }
            let span = spans.get(&(line.host.clone(), line.run));
            let (Some((from, to)), at) = (span, line.time.at.0) else { continue };
            if (*from..=to.saturating_add(DROPPED_REPORT_DELAY)).contains(&at) {
                self.context.insert(index);
            }
        }
    }
}
