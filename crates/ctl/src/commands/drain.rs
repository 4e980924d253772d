//! `drain`: starts a planned stop of a host.

use http::Method;
use serde_json::json;
use types::host::List;

use crate::{client::Client, error::Error, report::Report};

/// Tells the host of this name to drain, and doesn't wait: the host runs on until its requests in
/// flight have ended.
pub(crate) async fn run(client: &Client, host: &str) -> Result<Report, Error> {
    let list: List = client.get("/hosts").await?;
    let entry = list.hosts.iter().find(|entry| &*entry.host.id == host);
    let address = entry.ok_or_else(|| Error::UnknownHost(host.into()))?.host.operators;
    let response = client.call(address, Method::POST, "/drain", Default::default()).await;
    response.map_err(|cause| Error::NoHost(vec![cause]))?.require_success()?;
    Ok(Report::done(format!("{host} drains"), json!({"host": host, "draining": true})))
}
