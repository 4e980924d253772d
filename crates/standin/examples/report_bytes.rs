//! Measures the traffic of reading load reports, with and without the tag of known residents.
//!
//! Reads the reports of three engines with different numbers of models, a fixed number of times
//! each, and prints the mean bytes per read.

#![allow(clippy::print_stdout, reason = "the result goes to standard output")]

use std::error::Error;

use ::backend::{Client, reports::Reader};
use meter::Meter;
use standin::engine::{Engine, Settings};

const READS: u64 = 200;
const MODELS: [usize; 3] = [2, 6, 18];
const ADAPTERS: usize = 3;

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    println!("{:>9} {:>13} {:>13} {:>6}", "residents", "full B/read", "tagged B/read", "ratio");
    for models in MODELS {
        let engine = Engine::start(settings(models)).await?;
        let full = measure(&engine, ReaderState::New).await?;
        let tagged = measure(&engine, ReaderState::Kept).await?;
        let residents = engine.residents().len();
        let ratio = tagged as f64 / full as f64;
        println!("{residents:>9} {full:>13} {tagged:>13} {ratio:>6.2}");
    }
    Ok(())
}

/// Whether each read has a new reader, or one that knows the residents of earlier reports.
#[derive(Clone, Copy)]
enum ReaderState {
    New,
    Kept,
}

async fn measure(engine: &Engine, state: ReaderState) -> Result<u64, ::backend::Error> {
    let meter = Meter::default();
    let client = Client::with_meter(meter.clone());
    let mut reader = Reader::new(engine.address());
    for _ in 0..READS {
        if let ReaderState::New = state {
            reader = Reader::new(engine.address());
        }
        reader.read(&client).await?;
    }
    Ok((meter.received() + meter.sent()) / READS)
}

fn settings(models: usize) -> Settings {
    let mut settings = Settings::new("portal-lm-1");
    for model in 0..models {
        let name = format!("welcome-{model}");
        settings = settings.with_model(&name, "2026-11-01", 12_000);
        for adapter in 0..ADAPTERS {
            settings = settings.with_adapter(&name, &format!("lang-{adapter}"), "2026-11-01", 200);
        }
    }
    settings
}
