//! `moves`: shows loads and unloads, open and settled, with their causes and the servers' memory.
//!
//! Open moves are in the ledgers, which every host can read. A settled move is known only to the
//! host that settled it, so all hosts are queried.

use std::{collections::BTreeMap, time::Duration};

use futures_util::future::join_all;
use http::Method;
use serde::{Deserialize, Serialize};
use serde_json::json;
use types::{backend, host::List, memory::Mebibytes, order, resident::Unit, time::millis};

use crate::{
    client::Client,
    error::Error,
    report::{Report, table},
};

/// A host's response to `/status/moves`.
#[derive(Debug, Deserialize)]
struct Moves {
    /// Whether the host could read the object API; if not, `open` is as last known.
    current: bool,
    open: Vec<OpenMove>,
    settled: Vec<SettledMove>,
    memory: Vec<Memory>,
}

/// An order whose outcome is not yet known.
#[derive(Debug, Serialize, Deserialize)]
struct OpenMove {
    order: order::Id,
    server: backend::Id,
    action: order::Action,
    cause: String,
    memory: Mebibytes,
    why: String,
    settled_by: Vec<String>,
    #[serde(rename = "known_for_ms", with = "millis")]
    known_for: Duration,
}

/// An order whose outcome is known, with the evidence for it.
#[derive(Debug, Serialize, Deserialize)]
struct SettledMove {
    order: order::Id,
    server: backend::Id,
    action: order::Action,
    cause: String,
    evidence: String,
    #[serde(rename = "ago_ms", with = "millis")]
    ago: Duration,
}

/// Accelerator memory of a server, in MiB.
#[derive(Debug, Serialize, Deserialize)]
struct Memory {
    server: backend::Id,
    capacity: Mebibytes,
    promised: Mebibytes,
    in_doubt: Mebibytes,
    free: Mebibytes,
}

/// Reports tables of open moves, settled moves and memory.
pub(crate) async fn run(client: &Client) -> Result<Report, Error> {
    let moves: Moves = client.get("/status/moves").await?;
    let settled = fetch_settled(client).await?;
    let text = text(&moves, &settled);
    let Moves { current, open, memory, .. } = moves;
    let json = json!({"current": current, "open": open, "settled": settled, "memory": memory});
    Ok(Report::done(text, json))
}

/// Collects the orders that the listed hosts have settled: each order once, the latest last. Hosts
/// that do not respond are left out.
async fn fetch_settled(client: &Client) -> Result<Vec<SettledMove>, Error> {
    let list: List = client.get("/hosts").await?;
    let responses = list.hosts.iter().map(async |entry| {
        let address = entry.host.operators;
        let path = "/status/moves";
        let response = client.call(address, Method::GET, path, Default::default()).await.ok()?;
        response.require_success().ok()?.json::<Moves>().ok()
    });
    let all_moves = join_all(responses).await.into_iter().flatten();
    let by_order: BTreeMap<order::Id, SettledMove> = all_moves
        .flat_map(|moves| moves.settled)
        .map(|settled| (settled.order.clone(), settled))
        .collect();
    let mut settled: Vec<SettledMove> = by_order.into_values().collect();
    settled.sort_by_key(|settled| std::cmp::Reverse(settled.ago));
    Ok(settled)
}

fn text(moves: &Moves, settled: &[SettledMove]) -> String {
    let mut text = String::new();
    if !moves.current {
        text.push_str("the object API does not answer: open moves are as last known\n\n");
    }
    text.push_str(&open_text(&moves.open));
    text.push('\n');
    if settled.is_empty() {
        text.push_str("no settled moves\n");
    } else {
        let names = ["SETTLED", "SERVER", "MOVE", "CAUSE", "EVIDENCE", "AGO"];
        text.push_str(&table(names, settled.iter().map(settled_row)));
    }
    text.push('\n');
    let names = ["MEMORY MIB", "CAPACITY", "PROMISED", "IN DOUBT", "FREE"];
    text + &table(names, moves.memory.iter().map(memory_row))
}

fn open_text(moves: &[OpenMove]) -> String {
    if moves.is_empty() {
        return "no open moves\n".into();
    }
    let names = ["OPEN", "SERVER", "MOVE", "CAUSE", "MIB", "KNOWN FOR", "WHY"];
    let mut text = table(names, moves.iter().map(open_row));
    for open in moves {
        text.push_str(&format!("\n{} is settled when\n", open.order));
        open.settled_by.iter().for_each(|condition| text.push_str(&format!("  {condition}\n")));
    }
    text
}

fn open_row(open: &OpenMove) -> [String; 7] {
    [
        open.order.to_string(),
        open.server.to_string(),
        action(&open.action),
        open.cause.clone(),
        open.memory.to_string(),
        time(open.known_for),
        open.why.clone(),
    ]
}

fn settled_row(settled: &SettledMove) -> [String; 6] {
    [
        settled.order.to_string(),
        settled.server.to_string(),
        action(&settled.action),
        settled.cause.clone(),
        settled.evidence.clone(),
        time(settled.ago),
    ]
}

fn memory_row(memory: &Memory) -> [String; 5] {
    [
        memory.server.to_string(),
        memory.capacity.to_string(),
        memory.promised.to_string(),
        memory.in_doubt.to_string(),
        memory.free.to_string(),
    ]
}

fn action(action: &order::Action) -> String {
    match action {
        order::Action::Load { unit, .. } => format!("load {}", name(unit)),
        order::Action::Unload { unit } => format!("unload {}", name(unit)),
        order::Action::Role { role } => format!("role {role:?}").to_lowercase(),
    }
}

fn name(unit: &Unit) -> String {
    match unit {
        Unit::Model { model, version } => format!("{model} {version}"),
        Unit::Adapter { model, adapter, version } => format!("{model}:{adapter} {version}"),
    }
}

/// Formats a time as seconds with one decimal.
fn time(time: Duration) -> String {
    format!("{:.1} s", time.as_secs_f64())
}
