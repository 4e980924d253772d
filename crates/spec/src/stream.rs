//! Model of a stream whose caller has a part of it, on one host with a few servers.
//!
//! Whenever the stream is sent to a server, and after each pause, the server goes on, pauses as a
//! sound server may, breaks the stream off, rejects it or stays silent. The host may run late, and
//! the retry budget may be small. `policy::dispatch` decides; the model makes the calls of the
//! relay's `stream::events` and `race`, in steps of [`TICK`]. The disruptions are bounded in number,
//! so that all servers are usable again afterwards. Safety: the host does not end the answer before
//! the deadline, sends the stream to no more servers than its route allows, and doesn't leave it at
//! two servers for longer than a server needs to reject it. On a host that runs on time and has
//! retries left, the stream doesn't wait for a server beyond the pauses between attempts.
//!
//! A dispatcher can't be compared with another one, so a state is identified by the choices that led
//! to it, and the dispatcher is rebuilt by replaying them.

use std::{collections::BTreeSet, fmt};

use policy::{
    attempt_timeout,
    dispatch::{
        Dispatcher, End, HostStart, NotRun, RequestSpec, RetryBudgetConfig, RetryDecision,
        Settings, Silence, Ticket, Unclear, Verdict,
    },
    paths::Path,
};
use types::{
    prelude::*,
    routed::{Kind, Route, Server, Share},
};

use crate::explore::System;

/// Interval between two calls of the dispatcher's pump.
const TICK: Duration = Duration::from_millis(25);

/// Time from the sending to a rejection, and to the first event or the end of the connection.
const REJECTED_AFTER: Duration = TICK;
const EVENT_AFTER: Duration = Duration::from_millis(50);

/// Silence of a sound server.
const PAUSE: Duration = Duration::from_millis(950);

/// Time for which two servers may have the stream: as long as a rejection may take.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// Interval between two searches for another server.
const SEEK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait for a server on a host that runs on time and has retries left: the longest pause after
/// a rejection, a silence or a broken connection, which are at most 1 s, and the wait for a pump.
const MAX_WAIT: Duration = Duration::from_millis(1100);

const GOAL: Duration = Duration::from_millis(400);
const DEADLINE: Moment = Duration::from_secs(4);

/// Time before the deadline in which an end is not counted: a server may need it for its answer.
const SERVICE_TIME: Duration = Duration::from_secs(1);

/// Lateness of a host that runs late.
const LATENESS: Duration = Duration::from_secs(2);

/// Number of servers that the route allows.
const MAX_SERVERS: u32 = 2;

/// Number of crashes after which a request must reach no server any more, less one.
const MAX_CRASHES: usize = 2;

/// A small budget allows this many retries in a window.
const SMALL_BUDGET: f64 = 1.0;
const BUDGET_WINDOW: Duration = Duration::from_secs(1);

/// Part of the extra retries that the budget uses.
const EXTRA_PART: f64 = 0.8;

/// Selection of the active guards: all of them, or all but one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Guard {
    /// All guards are active.
    All,
    /// The stream can't be resumed.
    NoResumption,
    /// The host leaves the stream at the present server although another one has accepted it.
    NoAcceptance,
    /// The dispatcher allows one server more than the route.
    NoServerLimit,
}

/// The model, with its guards and bounds.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    /// [`Guard::All`], or the guard that is disabled.
    pub guard: Guard,
    /// Number of servers, all of which may run the stream.
    pub servers: usize,
    /// Number of disruptions after which servers go on.
    pub disruptions: usize,
}

/// A state: the choices so far, and what they lead to.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    choices: Vec<Step>,
    outlook: Outlook,
}

/// What follows the choices of a state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Outlook {
    /// The state of the host is to be chosen.
    Start,
    /// This server's next behaviour is to be chosen.
    Server { server: backend::Id, at: Moment, has_begun: bool },
    /// The stream was completed, or its deadline is near.
    Over,
    /// A property is violated.
    Violated(String),
}

/// A choice of the environment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Step {
    /// The stream begins on a host in this state.
    Begin {
        /// Whether the host runs late.
        is_late: bool,
        /// Whether the retry budget is small.
        is_short: bool,
    },
    /// A server behaves so from this time on.
    Server(backend::Id, Moment, Behaviour),
}

/// What a server does with the stream next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Behaviour {
    /// Sends the rest of the stream.
    GoesOn,
    /// Sends the next event after a pause.
    Pauses,
    /// Closes the connection before the next event.
    BreaksOff,
    /// Sends an event, then closes the connection.
    BreaksOffLater,
    /// States that it has not run the request.
    Rejects,
    /// Sends nothing any more.
    StaysSilent,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (server, at, behaviour) = match self {
            Step::Begin { is_late, is_short } => {
                let host = if *is_late { "a late" } else { "a timely" };
                let budget = if *is_short { "small" } else { "large" };
                return write!(f, "the stream begins on {host} host with a {budget} retry budget");
            }
            Step::Server(server, at, behaviour) => (server, at, behaviour),
        };
        let what = match behaviour {
            Behaviour::GoesOn => "goes on to the end",
            Behaviour::Pauses => "pauses before its next event",
            Behaviour::BreaksOff => "breaks off before its next event",
            Behaviour::BreaksOffLater => "sends an event and breaks off",
            Behaviour::Rejects => "rejects the request",
            Behaviour::StaysSilent => "stays silent",
        };
        write!(f, "{:.3} s: {server} {what}", at.as_secs_f64())
    }
}

impl System for Stream {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State { choices: Vec::new(), outlook: Outlook::Start }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let steps: Vec<Step> = match &state.outlook {
            Outlook::Start => [false, true]
                .into_iter()
                .flat_map(|is_late| [false, true].map(|is_short| Step::Begin { is_late, is_short }))
                .collect(),
            Outlook::Server { server, at, has_begun } => self
                .behaviours(&state.choices, *has_begun)
                .into_iter()
                .map(|behaviour| Step::Server(server.clone(), *at, behaviour))
                .collect(),
            Outlook::Over | Outlook::Violated(_) => Vec::new(),
        };
        let next = |step: Step| {
            let mut choices = state.choices.clone();
            choices.push(step.clone());
            let outlook = self.replay(&choices);
            (step, State { choices, outlook })
        };
        steps.into_iter().map(next).collect()
    }

    fn violation(&self, state: &State) -> Option<String> {
        match &state.outlook {
            Outlook::Violated(violation) => Some(violation.clone()),
            Outlook::Start | Outlook::Server { .. } | Outlook::Over => None,
        }
    }

    fn is_progress(&self, step: &Step) -> bool {
        matches!(step, Step::Begin { .. } | Step::Server(_, _, Behaviour::GoesOn))
    }

    fn is_settled(&self, state: &State) -> bool {
        state.outlook == Outlook::Over
    }
}

impl Stream {
    fn behaviours(&self, choices: &[Step], has_begun: bool) -> Vec<Behaviour> {
        let count = |wanted: fn(Behaviour) -> bool| {
            let is_wanted = |step: &&Step| matches!(step, Step::Server(_, _, it) if wanted(*it));
            choices.iter().filter(is_wanted).count()
        };
        let mut behaviours = vec![Behaviour::GoesOn];
        if self.disruptions <= count(|it| it != Behaviour::GoesOn) {
            return behaviours;
        }
        behaviours.extend([Behaviour::Pauses, Behaviour::StaysSilent]);
        if !has_begun {
            behaviours.push(Behaviour::Rejects);
        }
        let crashes = count(|it| matches!(it, Behaviour::BreaksOff | Behaviour::BreaksOffLater));
        if crashes < MAX_CRASHES {
            behaviours.push(Behaviour::BreaksOff);
            behaviours.extend((!has_begun).then_some(Behaviour::BreaksOffLater));
        }
        behaviours
    }

    fn replay(&self, choices: &[Step]) -> Outlook {
        let Some((Step::Begin { is_late, is_short }, choices)) = choices.split_first() else {
            return Outlook::Start;
        };
        let mut play = Play::new(self, *is_late, *is_short);
        let mut choices = choices.iter();
        loop {
            while let Some(position) = play.undecided() {
                let Some(Step::Server(_, _, behaviour)) = choices.next() else {
                    let attempt = &play.attempts[position];
                    return Outlook::Server {
                        server: attempt.server.clone(),
                        at: play.now,
                        has_begun: attempt.has_begun,
                    };
                };
                play.decide(position, *behaviour);
            }
            play.tick();
            if let Some(violation) = play.violation {
                return Outlook::Violated(violation);
            }
            if play.is_complete || DEADLINE <= play.now + SERVICE_TIME {
                return Outlook::Over;
            }
        }
    }
}

/// One run of the model along given choices.
struct Play {
    host: Dispatcher,
    guard: Guard,
    now: Moment,
    /// In the order of their tickets.
    attempts: Vec<Attempt>,
    /// The attempt whose events are passed to the caller.
    delivering: Option<Ticket>,
    /// The request's ticket while it waits for a server, and since when.
    waiting: Option<(Ticket, Moment)>,
    /// How long the request may wait for a server, all of which are usable.
    max_wait: Duration,
    last_ticket: Ticket,
    events: u64,
    /// When the present server has been silent for too long.
    silent_at: Moment,
    /// When another server is sought because the latest one asked has not answered.
    seek_at: Moment,
    /// Servers that have not rejected the stream.
    servers: BTreeSet<backend::Id>,
    is_complete: bool,
    violation: Option<String>,
}

/// An attempt in flight.
struct Attempt {
    ticket: Ticket,
    server: backend::Id,
    sent_at: Moment,
    has_begun: bool,
    /// The server's behaviour, and when it shows; `None` until it is chosen.
    next: Option<(Behaviour, Moment)>,
}

impl Play {
    fn new(model: &Stream, is_late: bool, is_short: bool) -> Play {
        let retries = match is_short {
            true => RetryBudgetConfig {
                ratio: 0.0,
                extra: SMALL_BUDGET / EXTRA_PART,
                window: BUDGET_WINDOW,
            },
            false => RetryBudgetConfig::default(),
        };
        let settings = Settings { host: "a".into(), run: 1, zone: "a".into(), hosts: 1, retries };
        let mut host = Dispatcher::new(settings);
        host.registered(HostStart::First);
        for index in 0..model.servers {
            host.server(&server(index), Duration::ZERO);
        }
        if is_late {
            host.set_lateness(LATENESS);
        }
        let mut play = Play {
            host,
            guard: model.guard,
            now: Duration::ZERO,
            attempts: Vec::new(),
            delivering: None,
            waiting: None,
            max_wait: if is_late || is_short { DEADLINE } else { MAX_WAIT },
            last_ticket: 0,
            events: 0,
            silent_at: DEADLINE,
            seek_at: DEADLINE,
            servers: BTreeSet::new(),
            is_complete: false,
            violation: None,
        };
        let spec = RequestSpec::new(0, &route(model.guard), &"app".into(), DEADLINE);
        match play.host.arrive(spec, play.now) {
            Verdict::Send(server) => play.start(0, server),
            verdict => play.violation = Some(format!("the stream does not begin: {verdict:?}")),
        }
        play.now += EVENT_AFTER;
        play.receive_event(0);
        play
    }

    fn undecided(&self) -> Option<usize> {
        self.attempts.iter().position(|attempt| attempt.next.is_none())
    }

    fn decide(&mut self, position: usize, behaviour: Behaviour) {
        let after = match behaviour {
            Behaviour::GoesOn | Behaviour::BreaksOff | Behaviour::BreaksOffLater => EVENT_AFTER,
            Behaviour::Pauses => PAUSE,
            Behaviour::Rejects => REJECTED_AFTER,
            Behaviour::StaysSilent => DEADLINE,
        };
        let attempt = &mut self.attempts[position];
        attempt.next = Some((behaviour, self.now + after));
        if behaviour != Behaviour::Rejects {
            self.servers.insert(attempt.server.clone());
        }
    }

    fn tick(&mut self) {
        self.now += TICK;
        let tickets: Vec<Ticket> = self.attempts.iter().map(|attempt| attempt.ticket).collect();
        for ticket in tickets {
            self.advance(ticket);
        }
        if self.is_complete || self.violation.is_some() {
            return;
        }
        self.pump();
        self.leave_earlier_servers();
        self.check_timers();
        self.check();
    }

    /// Lets a server do what it does at this time.
    fn advance(&mut self, ticket: Ticket) {
        let now = self.now;
        let attempt = self.attempts.iter_mut().find(|attempt| attempt.ticket == ticket);
        let Some(attempt) = attempt else { return };
        let Some((behaviour, _)) = attempt.next.filter(|(_, at)| *at <= now) else { return };
        match behaviour {
            Behaviour::GoesOn => {
                self.receive_event(ticket);
                self.host.ended(ticket, End::Completed, now);
                self.is_complete = true;
            }
            Behaviour::Pauses => {
                attempt.next = None;
                self.receive_event(ticket);
            }
            Behaviour::BreaksOffLater => {
                attempt.next = Some((Behaviour::BreaksOff, now + EVENT_AFTER));
                self.receive_event(ticket);
            }
            Behaviour::BreaksOff => {
                self.host.response_started(ticket, now);
                self.fail(ticket, End::Unclear(Unclear::Cut));
            }
            Behaviour::Rejects => self.fail(ticket, End::NotRun(NotRun::Full)),
            Behaviour::StaysSilent => {}
        }
    }

    /// Passes an event to the caller, which ends the other attempts.
    fn receive_event(&mut self, ticket: Ticket) {
        let now = self.now;
        if self.attempts.len() > 1 {
            self.host.won(ticket, now);
            self.attempts.retain(|attempt| attempt.ticket == ticket);
        }
        if self.delivering != Some(ticket) {
            self.delivering = Some(ticket);
            self.host.response_started(ticket, now);
            self.host.first_byte(ticket, now);
        }
        if let Some(attempt) = self.attempts.iter_mut().find(|attempt| attempt.ticket == ticket) {
            attempt.has_begun = true;
        }
        self.events += 1;
        self.host.delivered(ticket, self.events, now);
        self.silent_at = now + attempt_timeout::next_event(None);
    }

    fn pump(&mut self) {
        for change in self.host.pump(self.now) {
            match change.verdict {
                Verdict::Send(server) if self.is_waiting(change.ticket) => {
                    self.waiting = None;
                    self.start(change.ticket, server);
                }
                Verdict::Hedge if self.latest() == Some(change.ticket) => {
                    self.hedge(Silence::Verdict);
                }
                Verdict::Send(_) | Verdict::Wait | Verdict::Missing { .. } | Verdict::Hedge => {}
                verdict @ (Verdict::Refuse { .. } | Verdict::Quarantined | Verdict::Unclear(_)) => {
                    self.end(format!("{verdict:?}"));
                }
            }
        }
    }

    /// Ends the attempts before the latest one once its server counts as at work on the stream.
    fn leave_earlier_servers(&mut self) {
        let Some(latest) = self.latest() else { return };
        if self.guard == Guard::NoAcceptance || !self.host.is_accepted(latest, self.now) {
            return;
        }
        let earlier = self.attempts.iter().filter(|attempt| attempt.ticket != latest);
        let earlier: Vec<Ticket> = earlier.map(|attempt| attempt.ticket).collect();
        for ticket in earlier {
            self.fail(ticket, End::Unclear(Unclear::Silent));
        }
    }

    fn check_timers(&mut self) {
        if self.waiting.is_some() {
            return;
        }
        let is_streaming = self.delivering.is_some() && self.attempts.len() == 1;
        if is_streaming && self.silent_at <= self.now {
            self.silent_at = self.now + attempt_timeout::next_event(None);
            self.hedge(Silence::Timeout);
        } else if !is_streaming && self.seek_at <= self.now {
            self.seek_at = self.now + SEEK_INTERVAL;
            self.hedge(Silence::Timeout);
        }
    }

    /// Sends the stream to another server as well, if the dispatcher finds one.
    fn hedge(&mut self, silence: Silence) {
        let Some(latest) = self.latest() else { return };
        let ticket = self.last_ticket + 1;
        if let Some(server) = self.host.hedge(latest, ticket, silence, self.now) {
            self.last_ticket = ticket;
            self.start(ticket, server);
        }
    }

    fn start(&mut self, ticket: Ticket, server: backend::Id) {
        self.host.sent(ticket, Path::Direct, self.now);
        self.seek_at = self.now + attempt_timeout::first_event(GOAL);
        let sent_at = self.now;
        self.attempts.push(Attempt { ticket, server, sent_at, has_begun: false, next: None });
        self.attempts.sort_unstable_by_key(|attempt| attempt.ticket);
    }

    fn fail(&mut self, ticket: Ticket, end: End) {
        self.attempts.retain(|attempt| attempt.ticket != ticket);
        if self.delivering == Some(ticket) {
            self.delivering = None;
        }
        match self.host.attempt_failed(ticket, end, self.now) {
            RetryDecision::Send(server) => self.start(ticket, server),
            RetryDecision::Wait | RetryDecision::Missing { .. } => {
                self.waiting = Some((ticket, self.now));
            }
            RetryDecision::InFlight => self.seek_at = self.now + SEEK_INTERVAL,
            RetryDecision::GiveUp(answer) => self.end(format!("{answer:?} after {end:?}")),
        }
    }

    fn end(&mut self, how: String) {
        let at = self.now.as_secs_f64();
        self.violation = Some(format!("{at:.3} s: the host ends the answer: {how}"));
    }

    fn is_waiting(&self, ticket: Ticket) -> bool {
        self.waiting.is_some_and(|(waiting, _)| waiting == ticket)
    }

    fn latest(&self) -> Option<Ticket> {
        self.attempts.last().map(|attempt| attempt.ticket)
    }

    fn check(&mut self) {
        let at = self.now.as_secs_f64();
        if self.violation.is_some() {
            return;
        }
        if MAX_SERVERS < self.servers.len() as u32 {
            self.violation =
                Some(format!("{at:.3} s: more servers than allowed: {:?}", self.servers));
        }
        if let Some((_, since)) = self.waiting
            && since + self.max_wait < self.now
        {
            self.violation = Some(format!("{at:.3} s: the stream still waits for a server"));
        }
        if let [_, .., latest] = &self.attempts[..]
            && latest.sent_at + MAX_OVERLAP <= self.now
        {
            self.violation = Some(format!("{at:.3} s: two servers work on the stream"));
        }
    }
}

fn route(guard: Guard) -> Route {
    Route {
        name: "r".into(),
        host: "portal".into(),
        prefix: "/".into(),
        kind: Kind::Stream,
        resumable: guard != Guard::NoResumption,
        sticky: false,
        timeout: DEADLINE,
        goal: GOAL,
        gap: None,
        silence: None,
        attempts: MAX_SERVERS + u32::from(guard == Guard::NoServerLimit),
        priority: 2,
        split: vec![Share { service: "app".into(), weight: 1 }],
        public: false,
    }
}

fn server(index: usize) -> Server {
    let id = format!("server-{index}");
    Server {
        id: id.as_str().into(),
        name: id.as_str().into(),
        started_at: 0,
        service: "app".into(),
        software: "".into(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "a".into(),
        slots: 2,
        state: types::routed::State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models: Vec::new(),
        resident: Vec::new(),
        on_disk: Vec::new(),
        sequence: 0,
    }
}
