//! Requests of many hosts at few slots, and what rejects them.

use std::collections::{BTreeMap, VecDeque};

use policy::{
    dispatch::{
        Change, Dispatcher, End, HostStart, NotRun, RequestSpec, RetryBudgetConfig, RetryDecision,
        Settings, Ticket, Unclear, Verdict,
    },
    slots::{Message, message::Content},
};
use types::{
    prelude::*,
    routed::{Kind, Route, Server, Share, State},
};

use crate::net::{at, names};

const SLOTS: u32 = 8;
const HOLD: u64 = 40;

/// Hosts that send requests to one server, with a millisecond for each message.
#[derive(Default)]
struct Play {
    hosts: Vec<Dispatcher>,
    /// Requests at the server by ticket: the host, and when the request ends.
    running: BTreeMap<Ticket, (usize, u64)>,
    /// Requests in the server's own queue, with their hosts.
    queued: VecDeque<(Ticket, usize)>,
    messages: Vec<(u64, usize, host::Id, Message)>,
    arrivals: u32,
    rejected: u32,
    done: u32,
}

fn route() -> Route {
    Route {
        name: "r".into(),
        host: "portal".into(),
        prefix: "/".into(),
        kind: Kind::Idempotent,
        resumable: false,
        sticky: false,
        timeout: at(2_000),
        goal: at(250),
        gap: None,
        silence: None,
        attempts: 3,
        priority: 2,
        split: vec![Share { service: "app".into(), weight: 1 }],
        public: false,
    }
}

fn server() -> Server {
    Server {
        id: "s1".into(),
        name: "s1".into(),
        started_at: 0,
        service: "app".into(),
        software: "".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: SLOTS,
        state: State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models: vec![],
        resident: vec![],
        on_disk: vec![],
        sequence: 0,
    }
}

impl Play {
    fn new() -> Play {
        let host = |id: host::Id| {
            let mut host = Dispatcher::new(Settings {
                host: id,
                run: 1,
                zone: "a".into(),
                hosts: names().len() as u32,
                retries: RetryBudgetConfig::default(),
            });
            host.registered(HostStart::First);
            host.server(&server(), at(0));
            host.share_among(std::iter::empty(), names(), at(0));
            host
        };
        Play { hosts: names().into_iter().map(host).collect(), ..Play::default() }
    }

    fn arrive(&mut self, host: usize, ticket: Ticket, now: u64) {
        let spec = RequestSpec::new(ticket, &route(), &"app".into(), at(now + 2_000));
        let verdict = self.hosts[host].arrive(RequestSpec { fingerprint: ticket, ..spec }, at(now));
        self.apply(host, ticket, verdict, now);
    }

    fn apply(&mut self, host: usize, ticket: Ticket, verdict: Verdict, now: u64) {
        if let Verdict::Send(_) = verdict {
            self.run(host, ticket, now);
        }
    }

    fn run(&mut self, host: usize, ticket: Ticket, now: u64) {
        self.arrivals += 1;
        // A server holds as many requests in its own queue as it has slots.
        if ((self.running.len() + self.queued.len()) as u32) < 2 * SLOTS {
            self.queued.push_back((ticket, host));
            return self.start(now);
        }
        self.rejected += 1;
        let decision = self.hosts[host].attempt_failed(ticket, End::NotRun(NotRun::Full), at(now));
        if let RetryDecision::Send(_) = decision {
            self.run(host, ticket, now);
        }
    }

    /// Lets the server start what has a slot.
    fn start(&mut self, now: u64) {
        while (self.running.len() as u32) < SLOTS
            && let Some((ticket, host)) = self.queued.pop_front()
        {
            self.running.insert(ticket, (host, now + HOLD));
        }
    }

    fn step(&mut self, now: u64) {
        let is_over = |(_, ends): &(usize, u64)| *ends <= now;
        let over: Vec<(Ticket, usize)> = self
            .running
            .iter()
            .filter(|(_, request)| is_over(request))
            .map(|(ticket, (host, _))| (*ticket, *host))
            .collect();
        for (ticket, host) in over {
            self.running.remove(&ticket);
            self.hosts[host].ended(ticket, End::Completed, at(now));
            self.done += 1;
        }
        self.start(now);
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(due, ..)| *due <= now);
        self.messages = later;
        for (_, from, to, message) in due {
            let to = names().iter().position(|host| *host == to).unwrap();
            self.hosts[to].slots_received(&names()[from], &message, at(now));
        }
        for host in 0..self.hosts.len() {
            for Change { ticket, verdict } in self.hosts[host].pump(at(now)) {
                self.apply(host, ticket, verdict, now);
            }
            let sent = self.hosts[host].slots_outgoing().into_iter();
            self.messages.extend(sent.map(|(to, message)| (now + 1, host, to, message)));
        }
    }
}

#[test]
fn many_hosts_fill_a_server_and_are_not_rejected() {
    let mut play = Play::new();
    // Twice what the server can do.
    let (until, mut ticket) = (4_000, 0);
    for now in (0..until).step_by(5) {
        for host in [now / 5 * 3 % 20, (now / 5 * 7 + 5) % 20] {
            ticket += 1;
            play.arrive(host as usize, ticket, now);
        }
        (now..now + 5).for_each(|now| play.step(now));
    }
    let able = until as u32 / HOLD as u32 * SLOTS;
    let Play { arrivals, rejected, done, .. } = play;
    assert!(rejected * 100 <= arrivals, "{rejected} of {arrivals}");
    assert!(able * 19 / 20 <= done, "{done} of {able}");
}

/// Prompt tokens that the owner of the server is told of, if it is told anything.
fn told_prefill(host: &mut Dispatcher) -> Option<u32> {
    let messages = host.slots_outgoing();
    let entries = messages.iter().flat_map(|(_, message)| &message.entries);
    let mut told = entries.filter_map(|entry| match entry.content {
        Content::Use(told) => Some(told.prefill),
        Content::Grant(_) => None,
    });
    told.next_back()
}

/// A prompt that is counted after it was read keeps other hosts from a server that is free.
#[test]
fn owners_are_told_once_a_prompt_is_read() {
    // One of the hosts is the owner, and tells nobody.
    let others = names().len() - 1;
    let mut read = 0;
    for id in names() {
        let mut host = Dispatcher::new(Settings {
            host: id,
            run: 1,
            zone: "a".into(),
            hosts: 1,
            retries: RetryBudgetConfig::default(),
        });
        host.registered(HostStart::First);
        host.server(&server(), at(0));
        let spec = RequestSpec::new(1, &route(), &"app".into(), at(2_000));
        let verdict = host.arrive(RequestSpec { fingerprint: 1, input: 300, ..spec }, at(0));
        assert!(matches!(verdict, Verdict::Send(_)));
        host.share_among(std::iter::empty(), names(), at(0));
        host.pump(at(0));
        let Some(prefill) = told_prefill(&mut host) else { continue };
        assert_eq!(prefill, 300);
        host.first_byte(1, at(10));
        let mut told = None;
        for tick in 1..=10 {
            host.pump(at(10 + tick * 10));
            told = told_prefill(&mut host).or(told);
        }
        read += usize::from(told == Some(0));
    }
    assert_eq!(read, others);
}

/// The most slots that the owner of the server is told to be wanted for a stream that has begun, and
/// that its server breaks off.
fn wanted_for_a_stream(id: host::Id, extra: f64) -> u32 {
    let retries = RetryBudgetConfig { ratio: 0.0, extra, ..RetryBudgetConfig::default() };
    let settings = Settings { host: id, run: 1, zone: "a".into(), hosts: 1, retries };
    let mut host = Dispatcher::new(settings);
    host.registered(HostStart::First);
    host.server(&server(), at(0));
    let route = Route { kind: Kind::Stream, resumable: true, ..route() };
    let spec = RequestSpec::new(1, &route, &"app".into(), at(9_000));
    let verdict = host.arrive(RequestSpec { fingerprint: 1, ..spec }, at(0));
    assert!(matches!(verdict, Verdict::Send(_)));
    host.response_started(1, at(5));
    host.first_byte(1, at(5));
    host.delivered(1, 1, at(5));
    host.share_among(std::iter::empty(), names(), at(0));
    let decision = host.attempt_failed(1, End::Unclear(Unclear::Cut), at(10));
    assert_eq!(decision, RetryDecision::Wait);
    let told = (2..100).flat_map(|tick| {
        host.pump(at(tick * 10));
        host.slots_outgoing()
    });
    let entries = told.flat_map(|(_, message)| message.entries);
    let wanted = entries.filter_map(|entry| match entry.content {
        Content::Use(told) => Some(told.wanted),
        Content::Grant(_) => None,
    });
    wanted.max().unwrap_or_default()
}

/// A slot that a stream without a retry left wants is kept from the requests of other hosts.
#[test]
fn a_stream_wants_no_slot_until_a_retry_is_left() {
    let wanted = names().into_iter().map(|id| wanted_for_a_stream(id, 0.0));
    assert_eq!(wanted.max(), Some(0));
}

/// No slot was wanted at a server that is to be tried after a failure, if there is no other one, and
/// what waited for it was never sent.
#[test]
fn a_slot_is_wanted_at_a_server_that_is_tried_after_a_failure() {
    let wanted = names().into_iter().map(|id| wanted_for_a_stream(id, 1_000.0));
    // The owner asks nobody.
    assert_eq!(wanted.filter(|wanted| *wanted == 1).count(), names().len() - 1);
}
