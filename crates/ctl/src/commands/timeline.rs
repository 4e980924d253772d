//! Shows the events of all hosts in causal order.

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

/// Asks every listed host for its events and merges them. Hosts that don't answer are named.
pub(crate) async fn run(client: &Client, asked: &Timeline) -> Result<Report, Error> {
    let filter = filter(asked)?;
    let list: List = client.get("/hosts").await?;
    let answers = list.hosts.iter().map(async |entry| {
        let address = entry.host.operators;
        let answer = client.call(address, Method::GET, "/timeline", Default::default()).await;
        (&entry.host.id, answer.and_then(|answer| answer.success().map_err(|e| e.to_string())))
    });
    let mut records = Vec::new();
    let mut silent = Vec::new();
    for (host, answer) in join_all(answers).await {
        match answer {
            Ok(answer) => records.extend(read(&answer.body)),
            Err(cause) => silent.push(format!("{host}: no answer from {cause}")),
        }
    }
    // Merged before it is filtered: what connects two events may be one that isn't shown.
    let merged = merge::merge(records).into_iter().filter(|record| filter.keeps(record));
    show(asked, &merged.collect::<Vec<_>>(), &silent)
}

fn show(asked: &Timeline, records: &[Record], silent: &[String]) -> Result<Report, Error> {
    let json = json!({"events": records, "silent": silent});
    if let Some(file) = &asked.page {
        std::fs::write(file, page::render(records))
            .map_err(|cause| Error::File { file: file.clone(), cause })?;
        let text = format!("{} events written to {}", records.len(), file.display());
        return Ok(Report::done(text, json));
    }
    let lines = records.iter().map(merge::line).chain(silent.iter().cloned());
    Ok(Report::done(lines.map(|line| line + "\n").collect::<String>(), json))
}

/// Records of JSON lines; a line that is none is from a newer host and passed over.
fn read(body: &[u8]) -> Vec<Record> {
    body.split(|byte| *byte == b'\n').filter_map(|line| serde_json::from_slice(line).ok()).collect()
}

fn filter(asked: &Timeline) -> Result<Filter, Error> {
    let mut filter = Filter::default();
    if let Some(id) = &asked.request {
        filter = filter.request(id.as_str().into());
    }
    if let Some(id) = &asked.model {
        filter = filter.model(id.as_str().into());
    }
    if let Some(id) = &asked.server {
        filter = filter.server(id.as_str().into());
    }
    if let Some(text) = &asked.from {
        filter = filter.from(stamp(text)?);
    }
    if let Some(text) = &asked.until {
        filter = filter.until(stamp(text)?);
    }
    Ok(filter)
}

fn stamp(text: &str) -> Result<Stamp, Error> {
    Stamp::parse(text).ok_or_else(|| Error::Time(text.to_owned()))
}
