//! `where`: shows the servers that hold a model.

use serde_json::json;
use types::{
    host::ListState,
    resident::{Resident, State, Unit},
    status::Server,
};

use crate::{
    client::Client,
    error::{Code, Error},
    report::{Report, table},
};

/// Reports a line for each unit (the model or one of its adapters) on each server. If no server
/// holds a unit, the exit code is [`Code::Failed`].
pub(crate) async fn run(client: &Client, model: &str) -> Result<Report, Error> {
    let servers: Vec<Server> = client.get("/servers").await?;
    let held: Vec<(&Server, &Resident)> = servers
        .iter()
        .filter_map(|status| Some((status, status.load.as_ref()?)))
        .flat_map(|(status, load)| load.residents.iter().map(move |resident| (status, resident)))
        .filter(|(_, resident)| &**resident.unit.model() == model)
        .collect();
    let json = held.iter().map(|(status, resident)| {
        let server = &status.entry.server;
        json!({
            "server": server.id, "group": server.group, "zone": server.zone,
            "leaving": is_leaving(status), "resident": resident
        })
    });
    let json = json!({"model": model, "held": json.collect::<Vec<_>>()});
    if held.is_empty() {
        let text = format!("no server reports {model}");
        return Ok(Report::done(text, json).code(Code::Failed));
    }
    let names = ["SERVER", "GROUP", "ZONE", "UNIT", "VERSION", "STATE", "MIB"];
    Ok(Report::done(
        table(names, held.iter().map(|(status, resident)| row(status, resident))),
        json,
    ))
}

fn is_leaving(status: &Server) -> bool {
    status.entry.state == ListState::Leaving
        || status.load.as_ref().is_some_and(|load| load.leaving)
}

fn row(status: &Server, resident: &Resident) -> [String; 7] {
    let server = &status.entry.server;
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
    if is_leaving(status) {
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
