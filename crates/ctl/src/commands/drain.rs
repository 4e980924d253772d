//! Asks a host for a planned stop.

use http::Method;
use serde_json::json;
use types::host::List;

use crate::{client::Client, error::Error, report::Report};

/// Asks the host of this name; it goes on until what is in flight has ended.
pub(crate) async fn run(client: &Client, host: &str) -> Result<Report, Error> {
    let list: List = client.get("/hosts").await?;
    let entry = list.hosts.iter().find(|entry| &*entry.host.id == host);
    let address = entry.ok_or_else(|| Error::UnknownHost(host.into()))?.host.operators;
    let response = client.call(address, Method::POST, "/drain", Default::default()).await;
    response.map_err(|cause| Error::NoHost(vec![cause]))?.success()?;
    Ok(Report::done(format!("{host} drains"), json!({"host": host, "draining": true})))
}
