//! `status`: shows every host.

use futures_util::future::join_all;
use http::Method;
use serde_json::json;
use types::{
    config::Number,
    host::{Entry, List, ListState},
    status::Status,
};

use crate::{
    client::Client,
    error::Error,
    report::{Report, table},
};

/// A host on the platform's list, and its response to `/status` or the cause why there is none.
pub(super) struct HostStatus {
    pub(super) entry: Entry,
    pub(super) response: Result<Status, String>,
}

/// Requests the status of every listed host; the result is sorted by name.
pub(super) async fn fetch(client: &Client) -> Result<Vec<HostStatus>, Error> {
    let mut list: List = client.get("/hosts").await?;
    list.hosts.sort_by(|one, other| one.host.id.cmp(&other.host.id));
    let hosts = list.hosts.into_iter().map(async |entry| {
        let address = entry.host.operators;
        let response = client.call(address, Method::GET, "/status", Default::default()).await;
        let response = response
            .and_then(|response| response.require_success().map_err(|error| error.to_string()))
            .and_then(|response| response.json::<Status>().map_err(|error| error.to_string()));
        HostStatus { entry, response }
    });
    Ok(join_all(hosts).await)
}

/// Describes each live host on which this or a later number is not yet in force: the number it has,
/// or why it does not respond.
pub(super) async fn lacking(client: &Client, number: Number) -> Result<Vec<String>, Error> {
    let lacks = |host: &HostStatus| match &host.response {
        Ok(status) if number <= status.configuration => None,
        Ok(status) => Some(format!("{}: number {}", host.entry.host.id, status.configuration)),
        Err(cause) => Some(format!("{}: no answer from {cause}", host.entry.host.id)),
    };
    let hosts = fetch(client).await?;
    let live = hosts.iter().filter(|host| host.entry.state == ListState::Live);
    Ok(live.filter_map(lacks).collect())
}

/// Reports a line for each host on the platform's list.
pub(crate) async fn run(client: &Client) -> Result<Report, Error> {
    let hosts = fetch(client).await?;
    let names = ["HOST", "ZONE", "LISTED", "STATE", "NUMBER", "HEARD", "REPORTING"];
    let text = table(names, hosts.iter().map(row));
    let json = hosts.iter().map(|host| match &host.response {
        Ok(status) => json!({"listed": host.entry.state, "status": status}),
        Err(cause) => {
            json!({"listed": host.entry.state, "host": host.entry.host, "no_answer": cause})
        }
    });
    Ok(Report::done(text, json!({"hosts": json.collect::<Vec<_>>()})))
}

fn row(host_status: &HostStatus) -> [String; 7] {
    let host = &host_status.entry.host;
    let listed = match host_status.entry.state {
        ListState::Live => "live",
        ListState::Leaving => "leaving",
    };
    let [state, number, heard, reporting] = match &host_status.response {
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
