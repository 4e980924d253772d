//! Shows every host.

use futures_util::future::join_all;
use http::Method;
use serde_json::json;
use types::{
    config::Number,
    host::{Entry, List, Listed},
    status::Status,
};

use crate::{
    client::Client,
    error::Error,
    report::{Report, table},
};

/// A host on the platform's list, and what it says of itself.
pub(super) struct Asked {
    pub(super) entry: Entry,
    pub(super) answer: Result<Status, String>,
}

/// Asks every listed host for its status; in the order of their names.
pub(super) async fn ask(client: &Client) -> Result<Vec<Asked>, Error> {
    let mut list: List = client.get("/hosts").await?;
    list.hosts.sort_by(|one, other| one.host.id.cmp(&other.host.id));
    let asked = list.hosts.into_iter().map(async |entry| {
        let address = entry.host.operators;
        let answer = client.call(address, Method::GET, "/status", Default::default()).await;
        let answer = answer
            .and_then(|answer| answer.success().map_err(|error| error.to_string()))
            .and_then(|answer| answer.json::<Status>().map_err(|error| error.to_string()));
        Asked { entry, answer }
    });
    Ok(join_all(asked).await)
}

/// Live hosts that don't have a number in force yet, with what they have.
pub(super) async fn lacking(client: &Client, number: Number) -> Result<Vec<String>, Error> {
    let lacks = |asked: &Asked| match &asked.answer {
        Ok(status) if number <= status.configuration => None,
        Ok(status) => Some(format!("{}: number {}", asked.entry.host.id, status.configuration)),
        Err(cause) => Some(format!("{}: no answer from {cause}", asked.entry.host.id)),
    };
    let asked = ask(client).await?;
    let live = asked.iter().filter(|asked| asked.entry.state == Listed::Live);
    Ok(live.filter_map(lacks).collect())
}

/// A line for each host on the platform's list.
pub(crate) async fn run(client: &Client) -> Result<Report, Error> {
    let asked = ask(client).await?;
    let names = ["HOST", "ZONE", "LISTED", "STATE", "NUMBER", "HEARD", "REPORTING"];
    let text = table(names, asked.iter().map(row));
    let json = asked.iter().map(|asked| match &asked.answer {
        Ok(status) => json!({"listed": asked.entry.state, "status": status}),
        Err(cause) => {
            json!({"listed": asked.entry.state, "host": asked.entry.host, "no_answer": cause})
        }
    });
    Ok(Report::done(text, json!({"hosts": json.collect::<Vec<_>>()})))
}

fn row(asked: &Asked) -> [String; 7] {
    let host = &asked.entry.host;
    let listed = match asked.entry.state {
        Listed::Live => "live",
        Listed::Leaving => "leaving",
    };
    let [state, number, heard, reporting] = match &asked.answer {
        Ok(status) => [
            state(status).to_owned(),
            status.configuration.to_string(),
            status.newest_number.to_string(),
            format!("{}/{}", status.reporting, status.servers),
        ],
        Err(_) => ["no answer", "", "", ""].map(String::from),
    };
    [host.id.to_string(), host.zone.to_string(), listed.into(), state, number, heard, reporting]
}

fn state(status: &Status) -> &'static str {
    match (status.draining, status.ready) {
        (true, _) => "draining",
        (_, true) => "ready",
        _ => "not ready",
    }
}
