//! Fraction of non-idempotent requests that are granted during an outage of the object API, for
//! each setting of [`Outage`].
//!
//! Eight hosts hold sixteen ranges for twenty minutes, with an outage of ten minutes in the middle.
//! In some runs one holder dies during the outage. Keys carry the time of their send, or none.

#![allow(clippy::print_stdout, reason = "the figures of a run are printed")]

mod support;

use std::collections::BTreeMap;

use policy::once::{HostRun, Outage, Verdict};
use rstest::rstest;
use support::{Fault, Host, Store, at, key, stamped};

const RANGES: usize = 16;
const HOSTS: usize = 8;
/// Interval between two steps of the loop, in milliseconds.
const STEP_MS: u64 = 250;
const OUTAGE_MS: std::ops::Range<u64> = 300_000..900_000;
const END_MS: u64 = 1_200_000;
/// When the host dies in runs with [`Death::OneHost`], in milliseconds.
const DEATH_MS: u64 = 600_000;

/// Whether callers' keys carry a time.
#[derive(Clone, Copy, Debug)]
enum Keys {
    WithTime,
    WithoutTime,
}

/// Whether a holder dies in the outage; its ranges move to the next host.
#[derive(Clone, Copy, Debug)]
enum Death {
    None,
    OneHost,
}

#[derive(Debug, Default)]
struct Count {
    sent: u64,
    granted: u64,
}

impl Count {
    fn share(&self) -> f64 {
        self.granted as f64 / self.sent as f64
    }
}

struct HeldRange {
    store: Store,
    host: Host,
}

fn simulate(outage: Outage, keys: Keys, death: Death) -> (Count, Count) {
    let mut ranges: Vec<HeldRange> = (0..RANGES)
        .map(|range| HeldRange { store: Store::default(), host: Host::new(run(range), outage) })
        .collect();
    let mut sent: BTreeMap<String, u64> = BTreeMap::new();
    let mut answered = (Count::default(), Count::default());
    for time in (0..END_MS).step_by(STEP_MS as usize) {
        let now = at(time);
        let fault = if OUTAGE_MS.contains(&time) { Fault::Down } else { Fault::None };
        for (number, range) in ranges.iter_mut().enumerate() {
            if time % 300_000 == 0 {
                range.host.range.renew(now);
            }
            if matches!(death, Death::OneHost) && time == DEATH_MS && number % HOSTS == 0 {
                range.host = Host::new(run(number + 1), outage);
                range.host.range.gone(run(number));
            }
            if time % 4_000 == STEP_MS * number as u64 {
                let id = format!("{number}-{time}");
                let key = match keys {
                    Keys::WithTime => stamped(time as i64),
                    Keys::WithoutTime => key(&id),
                };
                range.host.claim(now, &id, &key, 1);
                sent.insert(id, time);
            }
            range.host.settle(now, &mut range.store, fault);
            for (id, verdict) in std::mem::take(&mut range.host.answers) {
                let sent =
                    sent.remove(&id).expect("each answer belongs to one request that was sent");
                let in_outage = OUTAGE_MS.contains(&sent);
                let count = if in_outage { &mut answered.0 } else { &mut answered.1 };
                count.sent += 1;
                count.granted += u64::from(matches!(verdict, Verdict::Granted { .. }));
            }
        }
    }
    answered
}

fn run(number: usize) -> HostRun {
    HostRun { host: format!("host-{}", number % HOSTS).into(), incarnation: 1 }
}

#[rstest]
#[case::refuse(Outage::Refuse, Keys::WithTime, Death::None, 0.0..0.01)]
#[case::refuse_with_death(Outage::Refuse, Keys::WithTime, Death::OneHost, 0.0..0.01)]
#[case::hold(Outage::Hold, Keys::WithTime, Death::None, 0.99..1.01)]
#[case::hold_without_times(Outage::Hold, Keys::WithoutTime, Death::None, 0.0..0.01)]
#[case::hold_with_death(Outage::Hold, Keys::WithTime, Death::OneHost, 0.90..0.96)]
fn share_served_in_an_outage(
    #[case] outage: Outage,
    #[case] keys: Keys,
    #[case] death: Death,
    #[case] expected: std::ops::Range<f64>,
) {
    let (during, outside) = simulate(outage, keys, death);
    println!(
        "{outage:?} {keys:?} {death:?}: {:.4} of {} served in the outage, {:.4} of {} outside",
        during.share(),
        during.sent,
        outside.share(),
        outside.sent
    );
    assert!(expected.contains(&during.share()), "{during:?}");
    assert!(0.98 < outside.share(), "{outside:?}");
}
