//! What a command found, as tables for people or as JSON for programs.

use serde_json::Value;
use tabled::{builder::Builder, settings::Style};

use crate::error::Code;

/// How reports are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// What a command found.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// For people.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// What the process ends with.
    pub code: Code,
}

impl Report {
    /// A report of something done.
    pub fn done(text: impl Into<String>, json: Value) -> Report {
        Report { text: text.into(), json, code: Code::Done }
    }

    /// Ends the process with another code.
    pub fn code(mut self, code: Code) -> Report {
        self.code = code;
        self
    }

    /// Prints it on standard output.
    #[allow(clippy::print_stdout, reason = "a report is what was asked for")]
    pub fn print(&self, format: Format) {
        match format {
            Format::Text if self.text.is_empty() => {}
            Format::Text => println!("{}", self.text.trim_end()),
            Format::Json => println!("{:#}", self.json),
        }
    }
}

/// A table with a line of names above it.
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
