//! `timeline`: shows the events of all hosts in causal order.

use futures_util::future::join_all;
use http::Method;
use observe::{
    clock::Stamp,
    event::Record,
    merge::{self, Filter},
    page,
};
use serde_json::json;
use types::host::List;

use crate::{client::Client, error::Error, flags::Timeline, report::Report};

/// Requests the events of every listed host and merges them. Hosts that don't respond are listed at
/// the end.
pub(crate) async fn run(client: &Client, options: &Timeline) -> Result<Report, Error> {
    let filter = filter(options)?;
    let list: List = client.get("/hosts").await?;
    let responses = list.hosts.iter().map(async |entry| {
        let address = entry.host.operators;
        let response = client.call(address, Method::GET, "/timeline", Default::default()).await;
        (
            &entry.host.id,
            response.and_then(|response| response.require_success().map_err(|e| e.to_string())),
        )
    });
    let mut records = Vec::new();
    let mut unanswered = Vec::new();
    for (host, response) in join_all(responses).await {
        match response {
            Ok(response) => records.extend(parse_records(&response.body)),
            Err(cause) => unanswered.push(format!("{host}: no answer from {cause}")),
        }
    }
    // Merged before filtering, since the causal order of two events may depend on an event that the
    // filter removes.
    let merged = merge::merge(records).into_iter().filter(|record| filter.keeps(record));
    report(options, &merged.collect::<Vec<_>>(), &unanswered)
}

fn report(options: &Timeline, records: &[Record], unanswered: &[String]) -> Result<Report, Error> {
    let json = json!({"events": records, "silent": unanswered});
    if let Some(file) = &options.page {
        std::fs::write(file, page::render(records))
            .map_err(|cause| Error::File { file: file.clone(), cause })?;
        let text = format!("{} events written to {}", records.len(), file.display());
        return Ok(Report::done(text, json));
    }
    let lines = records.iter().map(merge::line).chain(unanswered.iter().cloned());
    Ok(Report::done(lines.map(|line| line + "\n").collect::<String>(), json))
}

/// Parses JSON lines. Lines that can't be parsed are skipped, since a host of a newer version may
/// record events that this version does not know.
fn parse_records(body: &[u8]) -> Vec<Record> {
    body.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect()
}

fn filter(options: &Timeline) -> Result<Filter, Error> {
    let mut filter = Filter::default();
    if let Some(id) = &options.request {
        filter = filter.request(id.as_str().into());
    }
    if let Some(id) = &options.model {
        filter = filter.model(id.as_str().into());
    }
    if let Some(id) = &options.server {
        filter = filter.server(id.as_str().into());
    }
    if let Some(text) = &options.from {
        filter = filter.from(parse_time(text)?);
    }
    if let Some(text) = &options.until {
        filter = filter.until(parse_time(text)?);
    }
    Ok(filter)
}

fn parse_time(text: &str) -> Result<Stamp, Error> {
    Stamp::parse(text).ok_or_else(|| Error::InvalidTime(text.to_owned()))
}
