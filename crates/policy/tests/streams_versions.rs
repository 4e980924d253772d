//! Tests of the list of the versions at which streams may have begun.

use std::{collections::BTreeSet, time::Duration};

use policy::streams::{
    Peer, RECORD_LIFE, SoftwareId, Streams, software_id,
    versions::{Duty, Listing, RETENTION, RETIREMENT, State, Step, Text, Versions},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{service, time::Moment};

const HOSTS: usize = 4;
const SOFTWARE: [&str; 3] = ["1.0", "1.1", "1.2"];
const ROUND: Duration = Duration::from_millis(200);

/// Time after which a host in touch with the store knows the servers.
const CONTACT_TIME: Duration = Duration::from_secs(3);

fn service() -> service::Id {
    "lm".into()
}

fn served(software: &[&str]) -> BTreeSet<(service::Id, Text)> {
    software.iter().map(|text| (service(), (*text).into())).collect()
}

fn listing(software: &[&str]) -> Listing {
    let versions = software.iter().map(|text| ((*text).into(), State::Served)).collect();
    Listing { services: [(service(), versions)].into() }
}

fn ids(software: &[&str]) -> BTreeSet<SoftwareId> {
    software.iter().map(|text| software_id(&service(), text)).collect()
}

fn secs(seconds: u64) -> Moment {
    Duration::from_secs(seconds)
}

/// Servers of these versions are registered for a time.
fn serve(versions: &mut Versions, software: &[&str], from: Moment, to: Moment) {
    let rounds = (0..).map(|round| from + ROUND * round).take_while(|now| *now < to);
    rounds.for_each(|now| versions.set_served(served(software), now));
}

#[rstest]
#[case::none(&[], None)]
#[case::one(&["1.0"], Some("1.0"))]
#[case::several(&["1.0", "1.1"], None)]
fn a_version_is_proven_if_it_is_the_only_one(
    #[case] software: &[&str],
    #[case] expected: Option<&str>,
) {
    let expected = expected.map(|text| software_id(&service(), text));
    assert_eq!(listing(software).sole(&service()), expected);
    assert_eq!(listing(software).sole(&"other".into()), None);
}

#[rstest]
fn the_holder_of_the_lease_lists_a_version_at_once() {
    let mut versions = Versions::new(&"a".into(), secs(0));
    versions.set_served(served(&["1.0"]), secs(0));
    assert_eq!(versions.step(Duty::Maintain, secs(0)), Step::Read);
    versions.read(None, secs(0));
    assert_eq!(versions.listed(&service()), Some(BTreeSet::new()));
    assert_eq!(versions.step(Duty::Maintain, secs(0)), Step::Create(listing(&["1.0"])));
    versions.read(Some((5, listing(&["1.0"]))), secs(0));
    assert_eq!(versions.listed(&service()), Some(ids(&["1.0"])));
    assert_eq!(versions.step(Duty::Maintain, secs(9)), Step::Idle);
    versions.set_served(served(&["1.0", "1.1"]), secs(10));
    assert_eq!(versions.listed(&service()), Some(ids(&["1.0"])));
    assert_eq!(versions.step(Duty::Maintain, secs(10)), Step::Replace(5, listing(&["1.0", "1.1"])));
}

/// Without a holder, each host looks whether another one has listed the version before it writes.
#[rstest]
fn other_hosts_read_before_they_write() {
    let mut versions = Versions::new(&"a".into(), secs(0));
    versions.read(Some((5, listing(&["1.0"]))), secs(0));
    versions.set_served(served(&["1.0", "1.1"]), secs(0));
    assert_eq!(versions.step(Duty::Spare, secs(0)), Step::Idle);
    assert_eq!(versions.step(Duty::Spare, secs(2)), Step::Read);
    versions.read(Some((6, listing(&["1.0"]))), secs(2));
    assert_eq!(versions.step(Duty::Spare, secs(2)), Step::Replace(6, listing(&["1.0", "1.1"])));
    versions.conflicted();
    assert_eq!(versions.step(Duty::Spare, secs(2)), Step::Read);
    versions.read(Some((7, listing(&["1.0", "1.1"]))), secs(2));
    assert_eq!(versions.step(Duty::Spare, secs(3)), Step::Idle);
    assert_eq!(versions.listed(&service()), Some(ids(&["1.0", "1.1"])));
}

#[rstest]
fn a_version_stays_listed_for_longer_than_a_stream_may_last() {
    let mut versions = Versions::new(&"a".into(), secs(0));
    let start = RETENTION + secs(10);
    versions.read(Some((5, listing(&["1.0", "1.1"]))), start);
    serve(&mut versions, &["1.0", "1.1"], start, start + secs(1));
    let end = start + secs(1) + RETENTION;
    serve(&mut versions, &["1.1"], start + secs(1), end);
    assert_eq!(versions.step(Duty::Maintain, end - ROUND), Step::Idle);
    versions.set_served(served(&["1.1"]), end);
    assert_eq!(versions.step(Duty::List, end), Step::Idle);
    let mut marked = listing(&["1.0", "1.1"]);
    marked.services.get_mut(&service()).expect("the service").insert("1.0".into(), State::Retiring);
    assert_eq!(versions.step(Duty::Maintain, end), Step::Replace(5, marked.clone()));
    versions.read(Some((6, marked.clone())), end);
    assert_eq!(marked.sole(&service()), None);
    let removal = end + RETIREMENT;
    serve(&mut versions, &["1.1"], end, removal);
    assert_eq!(versions.step(Duty::Maintain, end), Step::Idle);
    assert_eq!(versions.step(Duty::Maintain, removal - ROUND), Step::Idle);
    serve(&mut versions, &["1.1"], removal, removal + ROUND);
    assert_eq!(versions.step(Duty::Maintain, removal), Step::Replace(6, listing(&["1.1"])));
}

/// Another host may have removed a version that was not served for long.
#[rstest]
fn a_version_that_comes_back_is_listed_anew() {
    let mut versions = Versions::new(&"a".into(), secs(0));
    versions.read(Some((5, listing(&["1.0", "1.1"]))), secs(0));
    serve(&mut versions, &["1.0", "1.1"], secs(0), secs(1));
    serve(&mut versions, &["1.1"], secs(1), secs(1) + RECORD_LIFE);
    versions.set_served(served(&["1.0", "1.1"]), secs(1) + RECORD_LIFE);
    assert_eq!(versions.listed(&service()), Some(ids(&["1.1"])));
}

/// Its server is gone again before it is listed anew, and another version is listed then.
#[rstest]
fn a_version_that_comes_back_for_a_moment_stays_listed() {
    let mut versions = Versions::new(&"a".into(), secs(0));
    versions.read(Some((5, listing(&["1.0", "1.1"]))), secs(0));
    serve(&mut versions, &["1.0", "1.1"], secs(0), secs(1));
    serve(&mut versions, &["1.1"], secs(1), secs(1) + RECORD_LIFE);
    let now = secs(1) + RECORD_LIFE;
    versions.set_served(served(&["1.0", "1.1"]), now);
    versions.set_served(served(&["1.1", "1.2"]), now);
    assert_eq!(versions.step(Duty::Maintain, now), Step::Read);
    versions.read(Some((5, listing(&["1.0", "1.1"]))), now);
    let expected = Step::Replace(5, listing(&["1.0", "1.1", "1.2"]));
    assert_eq!(versions.step(Duty::Maintain, now), expected);
}

fn peers(incarnations: &[u64]) -> Vec<Peer> {
    let peer = |(number, incarnation): (usize, &u64)| Peer {
        id: format!("host-{number}").into(),
        incarnation: *incarnation,
        zone: "z".into(),
        is_live: true,
    };
    incarnations.iter().enumerate().map(peer).collect()
}

/// Whoever names a stream that never was makes no host read the store, unless hosts were lost.
#[rstest]
#[case::none_is_lost(&[1, 1], false)]
#[case::one_has_joined(&[1, 1, 1], false)]
#[case::one_is_silent(&[1], true)]
#[case::one_has_started_again(&[1, 2], true)]
fn records_are_lost_with_hosts(#[case] later: &[u64], #[case] expected: bool) {
    let mut streams = Streams::default();
    streams.set_peers(peers(&[1, 1]), secs(0));
    assert!(streams.may_have_lost_records(secs(1)), "a host that has just started");
    let now = RECORD_LIFE + secs(5);
    streams.set_peers(peers(later), now);
    assert_eq!(streams.may_have_lost_records(now), expected);
    assert!(!streams.may_have_lost_records(now + RECORD_LIFE));
}

/// A write that reaches the store late.
struct LateWrite {
    at: Moment,
    step: Step,
}

/// Hosts, the store's list, and the versions of registered servers, as a seed draws them.
struct Play {
    random: ChaCha8Rng,
    now: Moment,
    hosts: Vec<Versions>,
    stored: Option<(u64, Listing)>,
    revision: u64,
    late: Vec<LateWrite>,
    /// Versions of registered servers, with the time since when, and what each host knows of that.
    served: BTreeSet<&'static str>,
    known: Vec<BTreeSet<&'static str>>,
    is_away: bool,
    /// When the store was back last.
    back_at: Moment,
    /// Streams that have begun: when, and at which version.
    streams: Vec<(Moment, SoftwareId)>,
}

impl Play {
    fn new(seed: u64) -> Play {
        let host = |number: usize| Versions::new(&format!("host-{number}").into(), Moment::ZERO);
        Play {
            random: ChaCha8Rng::seed_from_u64(seed),
            now: Moment::ZERO,
            hosts: (0..HOSTS).map(host).collect(),
            stored: None,
            revision: 1,
            late: Vec::new(),
            served: [SOFTWARE[0]].into(),
            known: vec![[SOFTWARE[0]].into(); HOSTS],
            is_away: false,
            back_at: Moment::ZERO,
            streams: Vec::new(),
        }
    }

    /// Applies a write to the store, if its condition holds. Returns the revision.
    fn apply(&mut self, step: &Step) -> Option<u64> {
        let (condition, listing) = match step {
            Step::Idle | Step::Read => return None,
            Step::Create(listing) => (None, listing),
            Step::Replace(revision, listing) => (Some(*revision), listing),
        };
        if self.stored.as_ref().map(|(revision, _)| *revision) != condition {
            return None;
        }
        self.revision += 1;
        self.stored = Some((self.revision, listing.clone()));
        Some(self.revision)
    }

    /// One host looks at the servers and makes its next call.
    fn host(&mut self, host: usize) {
        let now = self.now;
        // A host learns of changes late, and of none while the store is away.
        if !self.is_away && self.random.random_bool(0.7) {
            self.known[host] = self.served.clone();
        }
        let known: Vec<&str> = self.known[host].iter().copied().collect();
        self.hosts[host].set_served(served(&known), now);
        let duty = match host {
            0 if self.back_at + CONTACT_TIME <= now => Duty::Maintain,
            0 => Duty::List,
            _ => Duty::Spare,
        };
        let step = self.hosts[host].step(duty, now);
        if self.is_away {
            return;
        }
        match &step {
            Step::Idle => {}
            Step::Read => {
                let stored = self.stored.clone();
                self.hosts[host].read(stored, now);
            }
            Step::Create(listing) | Step::Replace(_, listing) => {
                let listing = listing.clone();
                if self.random.random_bool(0.2) {
                    let at = now + Duration::from_millis(self.random.random_range(0..4_000));
                    self.late.push(LateWrite { at, step });
                    self.hosts[host].unclear();
                    return;
                }
                match self.apply(&step) {
                    Some(revision) => self.hosts[host].read(Some((revision, listing)), now),
                    None => self.hosts[host].conflicted(),
                }
            }
        }
    }

    /// A stream begins at a host, at a version where it may.
    fn begin(&mut self, host: usize) {
        let Some(listed) = self.hosts[host].listed(&service()) else { return };
        let known: Vec<&str> = self.known[host].iter().copied().collect();
        for software in ids(&known).intersection(&listed) {
            self.streams.push((self.now, *software));
        }
    }

    fn round(&mut self) {
        self.now += ROUND;
        if self.random.random_bool(0.01) {
            self.is_away = !self.is_away;
            self.back_at = self.now;
        }
        if self.random.random_bool(0.0004) {
            let software = SOFTWARE[self.random.random_range(0..SOFTWARE.len())];
            if !self.served.remove(software) || self.served.is_empty() {
                self.served.insert(software);
            }
        }
        let now = self.now;
        let (due, late) = std::mem::take(&mut self.late).into_iter().partition(|w| w.at <= now);
        self.late = late;
        let due: Vec<LateWrite> = due;
        for write in due {
            self.apply(&write.step);
        }
        for host in 0..HOSTS {
            self.host(host);
            if self.random.random_bool(0.5) {
                self.begin(host);
            }
        }
        if self.random.random_bool(0.01) {
            let host = self.random.random_range(0..HOSTS);
            self.hosts[host] = Versions::new(&format!("host-{host}").into(), now);
        }
        self.streams.retain(|(began_at, _)| now < *began_at + RECORD_LIFE);
    }

    fn proven(&self) -> Option<SoftwareId> {
        self.stored.as_ref()?.1.sole(&service())
    }
}

/// Versions come and go, hosts start again and know of changes late, and the store is away, loses
/// answers and applies writes late.
#[rstest]
fn what_the_list_proves_is_the_version_of_every_stream() {
    let (mut proven, mut streams) = (0_u64, 0_u64);
    for seed in 0..60 {
        let mut play = Play::new(seed);
        for _ in 0..5_000 {
            play.round();
            streams += play.streams.len() as u64;
            let Some(version) = play.proven() else { continue };
            proven += play.streams.len() as u64;
            let other = play.streams.iter().find(|(_, began)| *began != version);
            assert_eq!(other, None, "seed {seed} at {:?}: {:?}", play.now, play.stored);
        }
    }
    assert!(streams / 4 < proven, "{proven} of {streams} streams had a proven version");
}
