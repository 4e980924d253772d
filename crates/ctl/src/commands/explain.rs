//! `explain`: explains from the hosts' logs why a request ended as it did.
//!
//! Each log line shown becomes one line of text with: the time; the offset from the first line that
//! matches the query, by the host's monotonic clock; the host; whether the line matches the query
//! (`-`) or records what the host knew then (`~`); and the other fields.

use std::{
    fs::File,
    io::{self, BufRead, BufReader},
    path::Path,
};

use observe::story::{
    Line,
    explanation::{Entry, Explanation, Query, Reason},
};
use serde_json::{Map, Value, json};

use crate::{
    error::{Code, Error},
    flags::Explain,
    report::Report,
};

/// Fields that are not printed as `name=value`: they are in the first columns or left out.
const COLUMNS: [&str; 8] = ["at", "up", "wall", "host", "run", "request", "kind", "part"];

/// Reads the logs and reports the lines that answer the query.
pub(crate) fn run(options: &Explain) -> Result<Report, Error> {
    let mut explanation = Explanation::of(query(options)?);
    for file in &options.logs {
        read(&mut explanation, file).map_err(|cause| Error::File { file: file.clone(), cause })?;
    }
    let (bad, other) = (explanation.bad, explanation.other);
    let entries = explanation.entries();
    let json = json!({"lines": entries, "bad": bad, "other": other});
    let skipped = format!("{bad} lines could not be read, {other} are of another sort\n");
    if !entries.iter().any(|entry| entry.reason == Reason::Queried) {
        let text = format!("no line is about it\n{skipped}");
        return Ok(Report::done(text, json).code(Code::Failed));
    }
    Ok(Report::done(format_entries(&entries) + &skipped, json))
}

fn query(options: &Explain) -> Result<Query, Error> {
    let Explain { request, server, version, term, .. } = options;
    let request = request.as_deref().map(|id| Query::Request(id.into()));
    let server = server.as_deref().map(|id| Query::Server(id.into()));
    let query = request.or(server).or(version.map(Query::Version)).or(term.map(Query::Term));
    query.ok_or(Error::NoQuery)
}

fn read(explanation: &mut Explanation, file: &Path) -> io::Result<()> {
    if file == Path::new("-") {
        return add(explanation, io::stdin().lock());
    }
    add(explanation, BufReader::new(File::open(file)?))
}

fn add(explanation: &mut Explanation, mut log: impl BufRead) -> io::Result<()> {
    let mut line = Vec::new();
    while log.read_until(b'\n', &mut line)? != 0 {
        explanation.add(&String::from_utf8_lossy(&line));
        line.clear();
    }
    Ok(())
}

fn format_entries(entries: &[Entry]) -> String {
    let first =
        entries.iter().find(|entry| entry.reason == Reason::Queried).map(|entry| &entry.line);
    entries.iter().map(|entry| format_entry(entry, first)).collect()
}

fn format_entry(entry: &Entry, first: Option<&Line>) -> String {
    let line = &entry.line;
    let offset = first.map_or_else(String::new, |first| offset(line, first));
    let mark = match entry.reason {
        Reason::Queried => '-',
        Reason::Context => '~',
    };
    let (kind, fields) = kind_and_fields(line);
    format!("{} {offset:>9} {:<12} {mark} {kind:<13}{fields}\n", line.time.at, line.host)
}

/// Formats the time since the first line. It is empty unless both lines are from the same run of
/// the same host, since monotonic clocks of different runs can't be compared.
fn offset(line: &Line, first: &Line) -> String {
    if (&line.host, line.run) != (&first.host, first.run) {
        return String::new();
    }
    match line.time.up.checked_sub(first.time.up) {
        Some(offset) => format!("+{} ms", offset.as_millis()),
        None => format!("-{} ms", (first.time.up - line.time.up).as_millis()),
    }
}

/// Returns a line's kind, and its remaining fields as ` name=value`.
fn kind_and_fields(line: &Line) -> (String, String) {
    let Ok(Value::Object(fields)) = serde_json::to_value(line) else { return Default::default() };
    let kind = fields.get("kind").map(format_value).unwrap_or_default();
    let rest = fields.iter().filter(|(name, _)| !COLUMNS.contains(&name.as_str()));
    (kind, rest.map(|(name, value)| format!(" {name}={}", format_value(value))).collect())
}

fn format_value(value: &Value) -> String {
    match value {
        // Strings may come from callers, so control characters are escaped: they could otherwise
        // send escape sequences to the terminal.
        Value::String(text) if text.chars().any(char::is_control) => format!("{text:?}"),
        Value::String(text) => text.clone(),
        Value::Number(number) => {
            number.as_f64().map_or_else(|| number.to_string(), |n| n.to_string())
        }
        Value::Array(list) => list.iter().map(format_value).collect::<Vec<_>>().join(","),
        Value::Object(fields) => format_measurement(fields)
            .or_else(|| format_single_field(fields))
            .unwrap_or_else(|| value.to_string()),
        other => other.to_string(),
    }
}

/// Formats an input of a decision or a candidate server as name, value and age.
fn format_measurement(fields: &Map<String, Value>) -> Option<String> {
    let name = fields.get("name").or(fields.get("server"))?;
    let value = fields.get("value").or(fields.get("estimate"))?;
    let age = fields.get("age").map(|age| format!("({} ms old)", format_value(age)));
    Some(format!("{}:{}{}", format_value(name), format_value(value), age.unwrap_or_default()))
}

/// Formats an object with a single string field, such as `{"peer": "host-1"}`, as `name:value`.
fn format_single_field(fields: &Map<String, Value>) -> Option<String> {
    match fields.iter().collect::<Vec<_>>()[..] {
        [(name, Value::String(text))] => Some(format!("{name}:{text}")),
        _ => None,
    }
}
