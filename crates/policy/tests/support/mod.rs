//! Store of one object with faults, and hosts that claim keys in it.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use policy::once::{
    Answer, Call, Claim, Document, HostRun, Key, Now, Outage, Range, Read, Settings, TimedKey,
    UnixMillis, Verdict, Written,
};

/// Wall clock at the origin of the tests' time.
pub(crate) const ORIGIN: UnixMillis = 1_800_000_000_000;

/// Fault of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    None,
    /// The request does not arrive.
    Down,
    /// A write takes effect and its answer is lost.
    LostAnswer,
}

/// Store with the object of one range.
#[derive(Default)]
pub(crate) struct Store {
    version: u64,
    document: Option<Document>,
    pub(crate) writes: u64,
}

/// Outcome of a call.
pub(crate) enum Outcome {
    Read(Read),
    Written(Written),
}

impl Store {
    pub(crate) fn document(&self) -> Document {
        self.document.clone().unwrap_or_default()
    }

    pub(crate) fn run(&mut self, call: Call, fault: Fault) -> Outcome {
        let outcome = match (&call, fault) {
            (Call::Read, Fault::None | Fault::LostAnswer) => match &self.document {
                Some(document) => Read::Found(self.version, document.clone()),
                None => Read::Absent,
            },
            (Call::Read, Fault::Down) => Read::Failed,
            (Call::Create(_) | Call::Update(..), _) => return self.write(call, fault),
        };
        Outcome::Read(outcome)
    }

    fn write(&mut self, call: Call, fault: Fault) -> Outcome {
        if fault == Fault::Down {
            return Outcome::Written(Written::Failed);
        }
        self.writes += 1;
        let written = match call {
            Call::Create(document) if self.document.is_none() => self.put(document),
            Call::Update(version, document) if version == self.version => self.put(document),
            Call::Create(_) | Call::Update(..) | Call::Read => Written::Conflict,
        };
        Outcome::Written(match fault {
            Fault::None => written,
            Fault::Down | Fault::LostAnswer => Written::Failed,
        })
    }

    fn put(&mut self, document: Document) -> Written {
        self.document = Some(document);
        self.version += 1;
        Written::Done(self.version)
    }
}

/// One run of a host's process.
pub(crate) struct Host {
    pub(crate) run: HostRun,
    pub(crate) range: Range,
    pub(crate) answers: BTreeMap<String, Verdict>,
}

impl Host {
    pub(crate) fn new(run: HostRun, outage: Outage) -> Host {
        Host::with(run, settings(outage))
    }

    pub(crate) fn with(run: HostRun, settings: Settings) -> Host {
        let range = Range::new(run.clone(), Arc::new(settings));
        Host { run, range, answers: BTreeMap::new() }
    }

    pub(crate) fn claim(&mut self, now: Now, id: &str, key: &TimedKey, digest: u64) {
        self.range.claim(Claim {
            id: id.into(),
            key: *key,
            digest,
            claimant: self.run.clone(),
            made_at: now.moment,
        });
    }

    pub(crate) fn verdict(&self, id: &str) -> Option<Verdict> {
        self.answers.get(id).cloned()
    }

    /// Returns the next call, which must be due.
    pub(crate) fn take_call(&mut self, now: Now) -> Call {
        self.call(now).expect("a call is due")
    }

    pub(crate) fn call(&mut self, now: Now) -> Option<Call> {
        let step = self.range.step(now);
        self.record(step.answers);
        step.call
    }

    pub(crate) fn deliver(&mut self, now: Now, outcome: Outcome) {
        let answers = match outcome {
            Outcome::Read(read) => self.range.read(now, read),
            Outcome::Written(written) => self.range.wrote(now, written),
        };
        self.record(answers);
    }

    /// Makes calls until none is due now.
    pub(crate) fn settle(&mut self, now: Now, store: &mut Store, fault: Fault) {
        while let Some(call) = self.call(now) {
            let outcome = store.run(call, fault);
            self.deliver(now, outcome);
        }
    }

    /// Makes the read that precedes the first write; it must be the next call.
    pub(crate) fn settle_reads(&mut self, now: Now, store: &mut Store) {
        let call = self.take_call(now);
        assert_eq!(call, Call::Read);
        let outcome = store.run(call, Fault::None);
        self.deliver(now, outcome);
    }

    fn record(&mut self, answers: Vec<Answer>) {
        for answer in answers {
            let before = self.answers.insert(answer.id.to_string(), answer.verdict);
            assert_eq!(before, None, "a claim was answered twice");
        }
    }
}

pub(crate) fn settings(outage: Outage) -> Settings {
    Settings { outage, ..Settings::default() }
}

/// Returns both clocks, in milliseconds after the origin.
pub(crate) fn at(millis: u64) -> Now {
    Now { wall: ORIGIN + millis, moment: Duration::from_millis(millis) }
}

/// Returns a key without a time.
pub(crate) fn key(text: &str) -> TimedKey {
    let key = Key::new(&"authority".into(), &"tickets".into(), &text.into());
    TimedKey { key, stamp: None }
}

/// Returns a key that carries a time, in milliseconds after the origin.
pub(crate) fn stamped(millis: i64) -> TimedKey {
    let stamp = ORIGIN.checked_add_signed(millis).expect("the time is not before 1970");
    TimedKey { stamp: Some(stamp), ..key(&format!("stamped {millis}")) }
}

/// Configuration of a property test: the same cases in every run.
pub(crate) fn cases(cases: u32) -> proptest::test_runner::Config {
    proptest::test_runner::Config {
        cases,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..proptest::test_runner::Config::default()
    }
}
