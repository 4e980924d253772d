//! Simulation of a poison request that is sent through every host among innocent requests: counts
//! the servers that crash and the innocent requests that are refused.
//!
//! It runs in virtual time, with a [`HostView`] for each host, one document, and servers that run
//! requests for a while. Of the network it models only the age of the document that a host has
//! read.

#![allow(clippy::print_stdout, reason = "the figures of a run")]

use std::collections::BTreeMap;

use policy::{
    once::HostRun,
    quarantine::{Document, Fingerprint, HostView, ServerRun, Settings, Verdict, assigned_servers},
};
use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{backend, host, service};

/// Runs of each case.
const SEEDS: u64 = 4;
/// Length of one round, in milliseconds.
const ROUND_MS: u64 = 10;
/// Interval between two reads of the document by one host, in milliseconds.
const READ_INTERVAL_MS: u64 = 100;
/// Time that a server needs to restart, in milliseconds.
const RESTART_MS: u64 = 3_000;
/// Time that an innocent request runs, in milliseconds.
const RUN_MS: u64 = 400;

/// Number of rounds of a run.
const ROUNDS: u64 = 2_500;
/// Round in which the first poison request is sent.
const FIRST_POISON_ROUND: u64 = 100;
/// Number of innocent requests that arrive in a round.
const INNOCENTS_PER_ROUND: u64 = 4;

/// Arrival pattern of the poison request.
#[derive(Clone, Copy, Debug)]
enum Poison {
    /// Through every host within a moment, and again after each refusal.
    EveryHostAtOnce,
    /// Through a random host, again and again, regardless of the outcome of earlier sends.
    Steady,
    /// Through the next host as soon as the last send has ended.
    HostAfterHost,
    /// No poison request: a server dies by itself.
    PlainCrash,
}

#[derive(Clone, Debug)]
struct Request {
    id: u64,
    fingerprint: Fingerprint,
    poison: bool,
    host: usize,
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Queued,
    Running {
        server: usize,
        left: u64,
        trial: bool,
    },
    /// The server died; the request's host notices at this time.
    Lost {
        server: usize,
        incarnation: u64,
        noticed: u64,
    },
    Served,
    Refused,
}

struct Server {
    id: backend::Id,
    incarnation: u64,
    up_at: u64,
}

struct Deployment {
    settings: Settings,
    rng: ChaCha8Rng,
    time: u64,
    document: Document,
    views: Vec<HostView>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    lost: usize,
    /// Time that the poison request runs before it crashes its server, in milliseconds.
    crash_after: u64,
}

impl Deployment {
    fn new(hosts: usize, servers: usize, seed: u64) -> Deployment {
        let settings = Settings::default();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let crash_after = rng.random_range(10..300);
        Deployment {
            rng,
            time: 0,
            document: Document::default(),
            views: (0..hosts).map(|_| HostView::new(settings.clone())).collect(),
            servers: (0..servers)
                .map(|n| Server { id: format!("engine-{n}").into(), incarnation: 1, up_at: 0 })
                .collect(),
            requests: Vec::new(),
            lost: 0,
            crash_after,
            settings,
        }
    }

    fn send(&mut self, host: usize, digest: u64, poison: bool) {
        let mut bytes = [0; 32];
        ChaCha8Rng::seed_from_u64(digest).fill(&mut bytes);
        let fingerprint = Fingerprint::of_digest(&bytes);
        let id = self.requests.len() as u64;
        self.requests.push(Request { id, fingerprint, poison, host, state: State::Queued });
    }

    fn round(&mut self) {
        self.time += ROUND_MS;
        self.read();
        self.notice();
        for index in 0..self.requests.len() {
            match self.requests[index].state {
                State::Queued => self.dispatch(index),
                State::Running { .. } => self.run(index),
                State::Lost { .. } | State::Served | State::Refused => {}
            }
        }
    }

    /// Lets each host read the document at a different phase, so that some hosts know less than
    /// others.
    fn read(&mut self) {
        for (index, view) in self.views.iter_mut().enumerate() {
            if (self.time + 37 * index as u64) % READ_INTERVAL_MS < ROUND_MS {
                view.read(self.time, self.document.clone());
            }
        }
    }

    fn notice(&mut self) {
        let due: Vec<(usize, usize, u64)> = self
            .requests
            .iter()
            .filter_map(|request| match request.state {
                State::Lost { server, incarnation, noticed } if noticed <= self.time => {
                    Some((request.host, server, incarnation))
                }
                _ => None,
            })
            .collect();
        for (host, server, incarnation) in due {
            let server_run = ServerRun { server: self.servers[server].id.clone(), incarnation };
            let view = &mut self.views[host];
            if view.died(&server_run) {
                view.record_death(self.time, &mut self.document);
                let written = view.unwritten().clone();
                view.written(&written);
                view.read(self.time, self.document.clone());
            }
        }
        for request in &mut self.requests {
            if matches!(request.state, State::Lost { noticed, .. } if noticed <= self.time) {
                request.state = State::Queued;
            }
        }
    }

    fn dispatch(&mut self, index: usize) {
        let Request { fingerprint, host, .. } = self.requests[index];
        let ids: Vec<backend::Id> = self.servers.iter().map(|server| server.id.clone()).collect();
        let assigned_servers: Vec<backend::Id> =
            assigned_servers(fingerprint, &ids).into_iter().cloned().collect();
        match self.views[host].admit(fingerprint) {
            Verdict::Refused => self.requests[index].state = State::Refused,
            Verdict::Free => {
                if let Some(server) = self.up(&assigned_servers).first().copied() {
                    self.start(index, server, false);
                }
            }
            Verdict::Suspect => {
                let run = self.host(host);
                for server in self.up(&assigned_servers) {
                    let server_run = self.server_run(server);
                    let begun = self.document.begin(
                        &self.settings,
                        self.time,
                        fingerprint,
                        &server_run,
                        &run,
                    );
                    if begun.is_ok() {
                        self.start(index, server, true);
                        return;
                    }
                }
                self.views[host].read(self.time, self.document.clone());
            }
        }
    }

    /// Returns the assigned servers that are up, in random order, which stands for a choice by
    /// load.
    fn up(&mut self, assigned_servers: &[backend::Id]) -> Vec<usize> {
        let mut up: Vec<usize> = (0..self.servers.len())
            .filter(|&n| {
                assigned_servers.contains(&self.servers[n].id) && self.servers[n].up_at <= self.time
            })
            .collect();
        up.shuffle(&mut self.rng);
        up
    }

    fn start(&mut self, index: usize, server: usize, trial: bool) {
        let server_run = self.server_run(server);
        let request = &mut self.requests[index];
        let left = if request.poison { self.crash_after } else { RUN_MS };
        request.state = State::Running { server, left, trial };
        let (id, service) = (request.id.to_string().into(), service::Id::from("chat"));
        self.views[request.host].sent(id, request.fingerprint, service, server_run);
    }

    fn run(&mut self, index: usize) {
        let run = self.host(self.requests[index].host);
        let request = &mut self.requests[index];
        let State::Running { server, left, trial } = request.state.clone() else { return };
        if ROUND_MS < left {
            request.state = State::Running { server, left: left - ROUND_MS, trial };
            return;
        }
        if request.poison {
            self.crash(server);
            return;
        }
        request.state = State::Served;
        self.views[request.host].ended(&request.id.to_string().into());
        if trial {
            self.document.complete(request.fingerprint, &run);
        }
    }

    fn crash(&mut self, server: usize) {
        self.lost += 1;
        let incarnation = self.servers[server].incarnation;
        self.servers[server].incarnation += 1;
        self.servers[server].up_at = self.time + RESTART_MS;
        for request in &mut self.requests {
            if matches!(request.state, State::Running { server: s, .. } if s == server) {
                let noticed = self.time + self.rng.random_range(0..5) * ROUND_MS;
                request.state = State::Lost { server, incarnation, noticed };
            }
        }
    }

    fn server_run(&self, server: usize) -> ServerRun {
        let Server { id, incarnation, .. } = &self.servers[server];
        ServerRun { server: id.clone(), incarnation: *incarnation }
    }

    fn host(&self, host: usize) -> HostRun {
        HostRun { host: host::Id::from(format!("host-{host}")), incarnation: 1 }
    }

    fn count(&self, poison: bool, state: &State) -> usize {
        let is = |request: &&Request| request.poison == poison && request.state == *state;
        self.requests.iter().filter(is).count()
    }
}

/// Result of a run.
#[derive(Debug)]
struct Report {
    lost: usize,
    innocents: usize,
    served: usize,
    refused: usize,
    poison_refused: usize,
    /// Time until the poison request was refused everywhere, counted from its first send, in
    /// milliseconds.
    refused_after: Option<u64>,
}

fn simulate(poison: Poison, hosts: usize, servers: usize, seed: u64) -> Report {
    let mut deployment = Deployment::new(hosts, servers, seed);
    let mut refused_after = None;
    let mut innocents = 0;
    for round in 0..ROUNDS {
        if round < 700 {
            for _ in 0..INNOCENTS_PER_ROUND {
                let host = deployment.rng.random_range(0..hosts);
                innocents += 1;
                deployment.send(host, 1_000 + innocents, false);
            }
        }
        match poison {
            Poison::EveryHostAtOnce
                if (FIRST_POISON_ROUND..600).contains(&round) && round % 100 < 2 =>
            {
                (0..hosts).for_each(|host| deployment.send(host, 1, true));
            }
            Poison::Steady if (FIRST_POISON_ROUND..500).contains(&round) && round % 3 == 0 => {
                let host = deployment.rng.random_range(0..hosts);
                deployment.send(host, 1, true);
            }
            Poison::HostAfterHost if (FIRST_POISON_ROUND..1_000).contains(&round) => {
                let busy = |request: &Request| {
                    request.poison && !matches!(request.state, State::Served | State::Refused)
                };
                if !deployment.requests.iter().any(busy) {
                    deployment.send(round as usize % hosts, 1, true);
                }
            }
            Poison::PlainCrash if round == FIRST_POISON_ROUND => deployment.crash(0),
            Poison::EveryHostAtOnce
            | Poison::Steady
            | Poison::HostAfterHost
            | Poison::PlainCrash => {}
        }
        deployment.round();
        let first_send = FIRST_POISON_ROUND * ROUND_MS;
        if refused_after.is_none() && !deployment.document.refused.is_empty() {
            refused_after = Some(deployment.time - first_send + READ_INTERVAL_MS);
        }
    }
    Report {
        lost: deployment.lost,
        innocents: innocents as usize,
        served: deployment.count(false, &State::Served),
        refused: deployment.count(false, &State::Refused),
        poison_refused: deployment.count(true, &State::Refused),
        refused_after,
    }
}

#[rstest]
#[case::every_host_at_once(Poison::EveryHostAtOnce)]
#[case::steady(Poison::Steady)]
#[case::host_after_host(Poison::HostAfterHost)]
fn poison_costs_two_servers_and_no_innocent(
    #[case] poison: Poison,
    #[values((2, 3), (8, 9), (32, 40))] size: (usize, usize),
) {
    let mut lost = BTreeMap::new();
    let mut slowest = 0;
    for seed in 0..SEEDS {
        let report = simulate(poison, size.0, size.1, seed);
        *lost.entry(report.lost).or_insert(0) += 1;
        slowest = slowest.max(report.refused_after.unwrap_or(u64::MAX));
        assert!(report.lost <= 2, "seed {seed}: {report:?}");
        assert!(0 < report.poison_refused, "seed {seed}: {report:?}");
        assert_eq!(
            (report.served, report.refused),
            (report.innocents, 0),
            "seed {seed}: {report:?}"
        );
    }
    println!("{poison:?} {size:?}: runs by servers lost {lost:?}, refused after {slowest} ms");
}

#[rstest]
fn plain_crash_refuses_no_request(#[values(0, 1, 2, 3, 4)] seed: u64) {
    let report = simulate(Poison::PlainCrash, 8, 9, seed);
    assert_eq!((report.lost, report.refused_after), (1, None), "{report:?}");
    assert_eq!((report.served, report.refused), (report.innocents, 0), "{report:?}");
}
