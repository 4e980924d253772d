//! Shows the servers that hold a model.

use serde_json::json;
use types::{
    host::Listed,
    resident::{Resident, State, Unit},
    status::Server,
};

use crate::{
    client::Client,
    error::{Code, Error},
    report::{Report, table},
};

/// A line for each unit of the model on each server; fails when no server holds it.
pub(crate) async fn run(client: &Client, model: &str) -> Result<Report, Error> {
    let seen: Vec<Server> = client.get("/servers").await?;
    let held: Vec<(&Server, &Resident)> = seen
        .iter()
        .filter_map(|seen| Some((seen, seen.load.as_ref()?)))
        .flat_map(|(seen, load)| load.residents.iter().map(move |resident| (seen, resident)))
        .filter(|(_, resident)| &**resident.unit.model() == model)
        .collect();
    let json = held.iter().map(|(seen, resident)| {
        let server = &seen.entry.server;
        json!({
            "server": server.id, "group": server.group, "zone": server.zone,
            "leaving": is_leaving(seen), "resident": resident
        })
    });
    let json = json!({"model": model, "held": json.collect::<Vec<_>>()});
    if held.is_empty() {
        let text = format!("no server reports {model}");
        return Ok(Report::done(text, json).code(Code::Failed));
    }
    let names = ["SERVER", "GROUP", "ZONE", "UNIT", "VERSION", "STATE", "MIB"];
    Ok(Report::done(table(names, held.iter().map(|(seen, resident)| row(seen, resident))), json))
}

fn is_leaving(seen: &Server) -> bool {
    seen.entry.state == Listed::Leaving || seen.load.as_ref().is_some_and(|load| load.leaving)
}

fn row(seen: &Server, resident: &Resident) -> [String; 7] {
    let server = &seen.entry.server;
    let (unit, version) = match &resident.unit {
        Unit::Model { model, version } => (model.to_string(), version),
        Unit::Adapter { model, adapter, version } => (format!("{model}:{adapter}"), version),
    };
    let mut state = match resident.state {
        State::Loading => "loading",
        State::Ready => "ready",
        State::Unloading => "unloading",
    }
    .to_owned();
    if is_leaving(seen) {
        state.push_str(", leaving");
    }
    [
        server.id.to_string(),
        server.group.to_string(),
        server.zone.to_string(),
        unit,
        version.to_string(),
        state,
        resident.memory.to_string(),
    ]
}
