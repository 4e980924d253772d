//! Time line as one self-contained HTML page, without external scripts or styles.
//!
//! The page has one column for each host and one row for each record, in the merged order, with a
//! text field that filters the rows. Ids come from callers and servers, so all text is escaped.

use std::{collections::BTreeSet, fmt::Write};

use types::host;

use crate::{event::Record, merge::describe};

const HEAD: &str = r#"<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Time line</title>
<style>
body { font: 13px/1.4 system-ui, sans-serif; margin: 1em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #ccc; padding: 2px 6px; text-align: left; vertical-align: top; }
th { position: sticky; top: 0; background: #eee; }
td.at { font-family: monospace; white-space: nowrap; }
td b { color: #205080; }
</style></head><body>
<p><input id="filter" size="60" placeholder="show rows that hold this text"></p>
"#;

const TAIL: &str = r#"</tbody></table>
<script>
document.getElementById("filter").addEventListener("input", function (event) {
  var wanted = event.target.value.toLowerCase();
  document.querySelectorAll("tbody tr").forEach(function (row) {
    row.hidden = !row.textContent.toLowerCase().includes(wanted);
  });
});
</script></body></html>
"#;

/// Renders records, which must be in the order of the rows, as an HTML page.
pub fn render(records: &[Record]) -> String {
    let hosts: BTreeSet<&host::Id> = records.iter().map(|record| &record.host).collect();
    let mut page = String::from(HEAD);
    page.push_str("<table><thead><tr><th>at</th>");
    for host in &hosts {
        push(&mut page, format_args!("<th>{}</th>", escape(host)));
    }
    page.push_str("</tr></thead><tbody>\n");
    for record in records {
        row(&mut page, &hosts, record);
    }
    page.push_str(TAIL);
    page
}

fn row(page: &mut String, hosts: &BTreeSet<&host::Id>, record: &Record) {
    push(page, format_args!("<tr><td class=\"at\">{}</td>", record.at));
    for host in hosts {
        if **host == record.host {
            push(page, format_args!("<td>{}</td>", cell(record)));
        } else {
            page.push_str("<td></td>");
        }
    }
    page.push_str("</tr>\n");
}

fn cell(record: &Record) -> String {
    let (name, details) = describe(&record.event);
    format!("<b>{}</b>{}", escape(&name), escape(&details))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}

fn push(page: &mut String, text: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = page.write_fmt(text);
}
