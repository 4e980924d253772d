//! Merging of several hosts' records into one causal order.
//!
//! Stamps give the order wherever a message carried one from host to host. Data that a host reads
//! from the platform's object API carries no stamp. In these cases the records themselves determine
//! the order (an order before its acknowledgement and settlement, a patch before its number is in
//! force), and the merge puts the cause first even if the clocks disagree. Records without a causal
//! relation are ordered by stamp, then by host.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use types::{backend, config, host, model, order, request};

use crate::{
    clock::Stamp,
    event::{Event, Kind, Record},
};

/// Sorts records into one causal order and removes duplicates.
pub fn merge(records: impl IntoIterator<Item = Record>) -> Vec<Record> {
    let mut sorted: Vec<Record> = records.into_iter().collect();
    sorted.sort_by(|a, b| sort_key(a).cmp(&sort_key(b)));
    sorted.dedup_by(|a, b| sort_key(a) == sort_key(b));
    let edges = edges(&sorted);
    let order = topological(sorted.len(), &edges);
    let mut slots: Vec<Option<Record>> = sorted.into_iter().map(Some).collect();
    order.into_iter().filter_map(|index| slots[index].take()).collect()
}

/// Filter on records; the default matches all.
#[derive(Clone, Debug, Default)]
pub struct Filter {
    request: Option<request::Id>,
    model: Option<model::Id>,
    server: Option<backend::Id>,
    host: Option<host::Id>,
    from: Option<Stamp>,
    until: Option<Stamp>,
}

impl Filter {
    /// Restricts the filter to records of one request.
    #[must_use]
    pub fn request(mut self, id: request::Id) -> Filter {
        self.request = Some(id);
        self
    }

    /// Restricts the filter to records that concern one model.
    #[must_use]
    pub fn model(mut self, id: model::Id) -> Filter {
        self.model = Some(id);
        self
    }

    /// Restricts the filter to records that concern one backend server.
    #[must_use]
    pub fn server(mut self, id: backend::Id) -> Filter {
        self.server = Some(id);
        self
    }

    /// Restricts the filter to records of one host.
    #[must_use]
    pub fn host(mut self, id: host::Id) -> Filter {
        self.host = Some(id);
        self
    }

    /// Restricts the filter to records at or after this stamp.
    #[must_use]
    pub fn from(mut self, stamp: Stamp) -> Filter {
        self.from = Some(stamp);
        self
    }

    /// Restricts the filter to records before this stamp.
    #[must_use]
    pub fn until(mut self, stamp: Stamp) -> Filter {
        self.until = Some(stamp);
        self
    }

    /// Returns whether a record passes the filter.
    pub fn keeps(&self, record: &Record) -> bool {
        let event = &record.event;
        matches(&self.request, event.request.as_ref())
            && matches(&self.model, event.model.as_ref())
            && matches(&self.server, event.server.as_ref())
            && matches(&self.host, Some(&record.host))
            && self.from.is_none_or(|from| from <= record.at)
            && self.until.is_none_or(|until| record.at < until)
    }
}

/// Formats a record as one line of text: stamp, host, kind of event, and its fields.
pub fn line(record: &Record) -> String {
    let (name, details) = describe(&record.event);
    format!("{} {:<12} {name:<16}{details}", record.at, record.host)
}

/// Formats a record as one line of JSON, with the stamp as RFC 3339 text under `time`.
///
/// # Errors
///
/// The record can't be serialized.
pub fn json_line(record: &Record) -> Result<String, serde_json::Error> {
    let mut value = serde_json::to_value(record)?;
    if let Some(object) = value.as_object_mut() {
        object.insert("time".into(), record.at.to_string().into());
    }
    serde_json::to_string(&value)
}

/// Returns an event's kind, and its other fields as ` name=value`.
pub(crate) fn describe(event: &Event) -> (String, String) {
    let Ok(serde_json::Value::Object(fields)) = serde_json::to_value(event) else {
        return (String::new(), String::new());
    };
    let name = fields.get("kind").map(plain).unwrap_or_default();
    let details = fields
        .iter()
        .filter(|(field, _)| *field != "kind")
        .map(|(field, value)| format!(" {field}={}", plain(value)))
        .collect();
    (name, details)
}

fn plain(value: &serde_json::Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn matches<T: PartialEq>(wanted: &Option<T>, found: Option<&T>) -> bool {
    wanted.as_ref().is_none_or(|wanted| found == Some(wanted))
}

/// Key for the order by stamp; unique for each record.
fn sort_key(record: &Record) -> (Stamp, &host::Id, host::Incarnation, u64) {
    (record.at, &record.host, record.incarnation, record.sequence)
}

/// Returns the pairs of (cause, effect), as indexes into `records`.
fn edges(records: &[Record]) -> Vec<(usize, usize)> {
    let mut edges = program_order(records);
    edges.extend(orders(records));
    edges.extend(configurations(records));
    edges
}

/// Returns an edge from each record to the next one of the same run.
fn program_order(records: &[Record]) -> Vec<(usize, usize)> {
    let mut runs: BTreeMap<(&host::Id, host::Incarnation), Vec<(u64, usize)>> = BTreeMap::new();
    for (index, record) in records.iter().enumerate() {
        let run = runs.entry((&record.host, record.incarnation)).or_default();
        run.push((record.sequence, index));
    }
    runs.into_values()
        .flat_map(|mut run| {
            run.sort_unstable();
            run.windows(2).map(|pair| (pair[0].1, pair[1].1)).collect::<Vec<_>>()
        })
        .collect()
}

/// Returns the edges from each order to its acknowledgements and its settlement.
fn orders(records: &[Record]) -> Vec<(usize, usize)> {
    let mut sent: HashMap<&order::Id, usize> = HashMap::new();
    for (index, record) in records.iter().enumerate() {
        if let Kind::Order { order, .. } = &record.event.kind {
            // If an order is sent repeatedly, the first time is the cause.
            sent.entry(order).or_insert(index);
        }
    }
    records
        .iter()
        .enumerate()
        .filter_map(|(index, record)| match &record.event.kind {
            Kind::Acknowledgement { order, .. } | Kind::Settlement { order, .. } => {
                sent.get(order).map(|&cause| (cause, index))
            }
            _ => None,
        })
        .collect()
}

/// Verdict of a patch that creates a new configuration number.
pub const ACCEPTED: &str = "accepted";

/// Returns the edges from each accepted patch to the records of its number coming into force.
fn configurations(records: &[Record]) -> Vec<(usize, usize)> {
    let mut accepted: HashMap<config::Number, usize> = HashMap::new();
    for (index, record) in records.iter().enumerate() {
        if let Kind::Patch { number, verdict, .. } = &record.event.kind
            && verdict == ACCEPTED
        {
            accepted.entry(*number).or_insert(index);
        }
    }
    records
        .iter()
        .enumerate()
        .filter_map(|(index, record)| match &record.event.kind {
            Kind::Configuration { number } => accepted.get(number).map(|&cause| (cause, index)),
            _ => None,
        })
        .collect()
}

/// Returns a topological order of `0..count` that prefers the lowest index available at each step.
///
/// Records on a cycle of edges, which only a faulty host can produce, are appended in ascending
/// order rather than lost.
fn topological(count: usize, edges: &[(usize, usize)]) -> Vec<usize> {
    let mut pending_causes = vec![0_usize; count];
    let mut effects: Vec<Vec<usize>> = vec![Vec::new(); count];
    for &(cause, effect) in edges {
        pending_causes[effect] += 1;
        effects[cause].push(effect);
    }
    let mut ready: BinaryHeap<Reverse<usize>> =
        (0..count).filter(|&index| pending_causes[index] == 0).map(Reverse).collect();
    let mut order = Vec::with_capacity(count);
    let mut placed = vec![false; count];
    while let Some(Reverse(index)) = ready.pop() {
        order.push(index);
        placed[index] = true;
        for &effect in &effects[index] {
            pending_causes[effect] -= 1;
            if pending_causes[effect] == 0 {
                ready.push(Reverse(effect));
            }
        }
    }
    order.extend((0..count).filter(|&index| !placed[index]));
    order
}
