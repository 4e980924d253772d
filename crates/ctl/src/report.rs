//! Output of a command, as tables for people or as JSON for programs.

use serde_json::Value;
use tabled::{builder::Builder, settings::Style};

use crate::error::Code;

/// Output format of reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// Tables and lines, for people.
    Text,
    /// One indented JSON value, for programs.
    Json,
}

/// Output and exit code of a command that ran.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Output in the text format; may be empty.
    pub text: String,
    /// Output in the JSON format.
    pub json: Value,
    /// Exit code of the process.
    pub code: Code,
}

impl Report {
    /// Creates a report with [`Code::Done`].
    pub fn done(text: impl Into<String>, json: Value) -> Report {
        Report { text: text.into(), json, code: Code::Done }
    }

    /// Sets the exit code of the process.
    pub fn code(mut self, code: Code) -> Report {
        self.code = code;
        self
    }

    /// Prints the report on standard output; nothing if the text is empty.
    #[allow(clippy::print_stdout, reason = "the report is the output of the command")]
    pub fn print(&self, format: Format) {
        match format {
            Format::Text if self.text.is_empty() => {}
            Format::Text => println!("{}", self.text.trim_end()),
            Format::Json => println!("{:#}", self.json),
        }
    }
}

/// Formats a table with a header of column names and without trailing spaces.
pub fn table<const N: usize>(
    names: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut builder = Builder::default();
    builder.push_record(names);
    rows.into_iter().for_each(|row| builder.push_record(row));
    render(builder)
}

fn render(builder: Builder) -> String {
    let mut table = builder.build();
    table.with(Style::blank());
    let text = table.to_string();
    text.lines().map(|line| line.trim_end().to_owned() + "\n").collect()
}
