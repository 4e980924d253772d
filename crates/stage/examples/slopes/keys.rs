//! Objects of idempotency keys and of the quarantine: size, and time to build one write of claims.

use std::{collections::BTreeSet, time::Duration};

use policy::{
    once::{
        Body, Call, Claim, Document, Entry, HostRun, Key, Now, Outcome, Range, Read, Settings,
        State, TimedKey, Written,
    },
    quarantine::{self, Fingerprint, ServerRun},
};
use types::prelude::*;

use crate::fit::{Row, kibibytes, micros};

const ENTRIES: [u64; 4] = [250, 500, 1_000, 2_000];
const SUSPECTS: [u32; 4] = [250, 500, 1_000, 2_000];
const GROUPED: [u64; 4] = [1, 8, 32, 128];
const NOW_UNIX_MS: u64 = 1_764_700_000_000;

pub(crate) fn rows() -> Result<Vec<Row>, serde_json::Error> {
    let mut bytes = Vec::new();
    let mut memory = Vec::new();
    let mut writes = Vec::new();
    for entries in ENTRIES {
        let document = document(entries);
        bytes.push((entries as f64, serde_json::to_vec(&document)?.len() as f64 / 1024.0));
        memory.push((entries as f64, kibibytes(8, || document.clone())));
        writes.push((entries as f64, claim_time(&document, 1)));
    }
    let thousand_keys = document(1_000);
    let grouped = GROUPED.map(|claims| (claims as f64, claim_time(&thousand_keys, claims)));
    let mut suspects = Vec::new();
    for count in SUSPECTS {
        let text = serde_json::to_vec(&quarantine_document(count))?;
        suspects.push((f64::from(count), text.len() as f64 / 1024.0));
    }
    Ok(vec![
        Row::new("object of a range of keys", "KiB", "keys", bytes, 2_000.0),
        Row::new("object of a range of keys in memory", "KiB", "keys", memory, 2_000.0),
        Row::new("claim of a key, without the store's calls", "µs", "keys", writes, 2_000.0),
        Row::new("claims in one write, 1,000 keys", "µs", "claims", grouped.to_vec(), 128.0),
        Row::new("object of the quarantine", "KiB", "suspects", suspects, 2_000.0),
    ])
}

fn this_host() -> HostRun {
    HostRun { host: "host-00001".into(), incarnation: 1_700_000_000_000_000 }
}

fn key(n: u64) -> TimedKey {
    let text = format!("01890a5d-ac96-774b-bcce-{n:012x}").into();
    TimedKey { key: Key::new(&"magnolia".into(), &"tickets".into(), &text), stamp: None }
}

fn document(entries: u64) -> Document {
    let entry = |n: u64| Entry {
        id: format!("host-00001-1700000000-{n:08}").into(),
        digest: n.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        claimant: this_host(),
        at: NOW_UNIX_MS + n,
        state: State::Done(Outcome {
            status: 200,
            content_type: "application/json".into(),
            body: Body::new(br#"{"ticket": "0123456789", "room": 12}"#),
        }),
    };
    let entries = (0..entries).map(|n| (key(n).key, entry(n)));
    Document { entries: entries.collect(), hold: None, gaps: Vec::new() }
}

/// Time in microseconds to read an object, add this many claims of keys, and build the write.
fn claim_time(document: &Document, claims: u64) -> f64 {
    let settings = Arc::new(Settings::default());
    let calls = 20;
    micros(5, calls, || {
        let mut range = Range::new(this_host(), settings.clone());
        let now = Now { wall: NOW_UNIX_MS + 10_000, moment: Duration::from_secs(10) };
        for n in 0..claims {
            range.claim(Claim {
                id: format!("claim-{n}").into(),
                key: key(1_000_000 + n),
                digest: n,
                claimant: this_host(),
                made_at: now.moment,
            });
        }
        let mut answers = Vec::new();
        while let Some(call) = range.step(now).call {
            answers.extend(match call {
                Call::Read => range.read(now, Read::Found(1, document.clone())),
                Call::Create(_) | Call::Update(..) => range.wrote(now, Written::Done(2)),
            });
        }
        answers
    })
}

fn quarantine_document(count: u32) -> quarantine::Document {
    let suspect = |n: u32| {
        let mut digest = [0; 32];
        digest[..4].copy_from_slice(&n.to_le_bytes());
        let run = ServerRun { server: format!("server-{n:05}").into(), incarnation: 1 };
        let suspect = quarantine::Suspect {
            service: "guests".into(),
            deaths: BTreeSet::from([run]),
            since: NOW_UNIX_MS,
            trial: None,
        };
        (Fingerprint::of_digest(&digest), suspect)
    };
    let suspects = (0..count).map(suspect).collect();
    quarantine::Document { suspects, ..quarantine::Document::default() }
}
