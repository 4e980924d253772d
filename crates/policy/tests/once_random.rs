//! Random schedules of claims, faults, pauses and restarts: no key is granted twice.

mod support;

use std::collections::{BTreeMap, BTreeSet};

use policy::once::{
    Call, Change, End, HostRun, Key, Now, Outage, Refusal, Settings, TimedKey, Verdict,
};
use proptest::prelude::*;
use support::{Fault, Host, ORIGIN, Store, at, key, stamped};
use types::request::Ran;

const HOSTS: usize = 3;

#[derive(Clone, Debug)]
enum Event {
    /// A caller sends a key to a host; the key carries the time of the send, or none.
    Send { host: usize, key: u8 },
    /// A host makes its next call.
    Call { host: usize, fault: Fault },
    /// A host makes its next call, which arrives later; its answer is lost.
    Delay { host: usize },
    /// A delayed call arrives.
    Arrive,
    /// A granted request ends.
    End { host: usize, end: End },
    /// A host's process dies and a new one starts; the other hosts may be informed.
    Restart { host: usize, informed: bool },
    /// Time passes.
    Pass { millis: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let host = 0..HOSTS;
    let fault = prop_oneof![
        4 => Just(Fault::None),
        1 => Just(Fault::Down),
        1 => Just(Fault::LostAnswer),
    ];
    let end = prop_oneof![Just(End::Lost), Just(End::Released)];
    let pass = prop_oneof![4 => 1..200_u64, 1 => 1_000..4_000_u64, 1 => 60_000..1_200_000_u64];
    prop_oneof![
        6 => (host.clone(), 0..4_u8).prop_map(|(host, key)| Event::Send { host, key }),
        12 => (host.clone(), fault).prop_map(|(host, fault)| Event::Call { host, fault }),
        2 => host.clone().prop_map(|host| Event::Delay { host }),
        2 => Just(Event::Arrive),
        2 => (host.clone(), end).prop_map(|(host, end)| Event::End { host, end }),
        1 => (host, any::<bool>()).prop_map(|(host, informed)| Event::Restart { host, informed }),
        4 => pass.prop_map(|millis| Event::Pass { millis }),
    ]
}

struct World {
    settings: Settings,
    store: Store,
    hosts: Vec<Host>,
    delayed: Vec<Call>,
    keys: BTreeMap<u8, TimedKey>,
    /// Sends, each with the run of its key at that time.
    sent: BTreeMap<String, (TimedKey, Option<(String, u64)>)>,
    /// Grants that were not released, and when they were given; a key may have one.
    runs: BTreeMap<Key, (String, u64)>,
    /// Ids of the requests that were answered, to check each answer once.
    answered: BTreeSet<String>,
    time: u64,
}

impl World {
    fn new(outage: Outage) -> World {
        let settings = support::settings(outage);
        let hosts = (0..HOSTS).map(|host| Host::with(run(host, 1), settings.clone())).collect();
        World {
            settings,
            store: Store::default(),
            hosts,
            delayed: Vec::new(),
            keys: BTreeMap::new(),
            sent: BTreeMap::new(),
            runs: BTreeMap::new(),
            answered: BTreeSet::new(),
            time: 0,
        }
    }

    fn now(&self) -> Now {
        at(self.time)
    }

    fn step(&mut self, event: Event) -> Result<(), TestCaseError> {
        let now = self.now();
        match event {
            Event::Send { host, key } => self.send(host, key),
            Event::Call { host, fault } => {
                if let Some(call) = self.hosts[host].call(now) {
                    let outcome = self.store.run(call, fault);
                    self.hosts[host].deliver(now, outcome);
                }
            }
            Event::Delay { host } => {
                if let Some(call) = self.hosts[host].call(now) {
                    self.delayed.push(call.clone());
                    let outcome = Store::default().run(call, Fault::Down);
                    self.hosts[host].deliver(now, outcome);
                }
            }
            Event::Arrive => {
                if let Some(call) = self.delayed.pop() {
                    self.store.run(call, Fault::LostAnswer);
                }
            }
            Event::End { host, end } => self.end(host, end),
            Event::Restart { host, informed } => self.restart(host, informed),
            Event::Pass { millis } => self.time += millis,
        }
        self.check()
    }

    /// Sends a key from a caller to a host. The first send of a key fixes the time that it carries;
    /// key 3 carries none.
    fn send(&mut self, host: usize, number: u8) {
        let now = self.now();
        let time = self.time as i64;
        let new = if number == 3 { key("opaque") } else { stamped(time * 10 + i64::from(number)) };
        let new = TimedKey { stamp: new.stamp.map(|_| ORIGIN + self.time), ..new };
        let key = *self.keys.entry(number).or_insert(new);
        let id = format!("{}-{}", host, self.sent.len());
        self.sent.insert(id.clone(), (key, self.runs.get(&key.key).cloned()));
        self.hosts[host].claim(now, &id, &key, 1);
    }

    fn end(&mut self, host: usize, end: End) {
        let now = self.now();
        let answers = &self.hosts[host].answers;
        let found = self.runs.iter().find(|(_, (id, _))| answers.contains_key(id));
        let Some((key, id)) = found.map(|(key, (id, _))| (*key, id.clone())) else { return };
        if end == End::Released {
            self.runs.remove(&key);
        }
        self.hosts[host].range.end(now, Change { id: id.as_str().into(), key, end });
    }

    fn restart(&mut self, host: usize, informed: bool) {
        let old = self.hosts[host].run.clone();
        let new = run(host, old.incarnation + 1);
        self.hosts[host] = Host::with(new, self.settings.clone());
        if informed {
            self.hosts.iter_mut().for_each(|other| other.range.gone(old.clone()));
        }
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (id, verdict) in self.hosts.iter().flat_map(|host| &host.answers) {
            let new = self.answered.insert(id.clone());
            if !new {
                continue;
            }
            let (key, earlier) = self.sent[id].clone();
            let run = self.runs.get(&key.key).filter(|(_, time)| self.is_recognised(key, *time));
            match verdict {
                Verdict::Granted { until } => {
                    prop_assert!(
                        at(self.time).moment < *until,
                        "a grant must not have expired when it is given"
                    );
                    prop_assert_eq!(run, None, "granted again to {}", id);
                    self.runs.insert(key.key, (id.clone(), self.time));
                }
                Verdict::Refused(refusal) if refusal.ran() == Ran::DidNotRun => {
                    let contradicted = run.filter(|run| earlier.as_ref() == Some(run));
                    prop_assert_eq!(contradicted, None, "{:?} answered to {}", refusal, id);
                }
                Verdict::Refused(_) | Verdict::Claimed { .. } | Verdict::Done(_) => {}
            }
        }
        Ok(())
    }

    /// A key without a time is recognised during [`Settings::retention`], any other for ever.
    fn is_recognised(&self, key: TimedKey, granted: u64) -> bool {
        let retention = self.settings.retention().as_millis() as u64;
        key.stamp.is_some() || self.time - granted < retention
    }
}

fn run(host: usize, incarnation: u64) -> HostRun {
    HostRun { host: format!("host-{host}").into(), incarnation }
}

proptest! {
    #![proptest_config(support::cases(1500))]

    #[test]
    fn no_key_is_granted_twice(
        events in prop::collection::vec(event(), 1..120),
        outage in prop_oneof![Just(Outage::Refuse), Just(Outage::Hold)],
    ) {
        let mut world = World::new(outage);
        for event in events {
            world.step(event)?;
        }
    }

    /// Callers choose the time in a key. Whatever it is, the entry must be kept for as long as a
    /// repeat of the key is accepted.
    #[test]
    fn entry_of_a_key_with_a_time_outlives_its_acceptance(
        claimed in 0..10_000_000_u64,
        offset in -3_600_000..=5_000_i64,
        after in 0..10_000_000_u64,
        error in -10_000..=10_000_i64,
    ) {
        let settings = Settings::default();
        let first = ORIGIN + claimed;
        let again = (first + after).checked_add_signed(error).unwrap();
        let stamp = first.checked_add_signed(offset);
        prop_assert_eq!(settings.check(first, stamp), Ok(()));
        let forgotten = first + settings.retention().as_millis() as u64 <= again;
        if forgotten {
            prop_assert_eq!(settings.check(again, stamp), Err(Refusal::Old));
        }
    }
}
