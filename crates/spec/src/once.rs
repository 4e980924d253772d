//! Claims of one key by hosts that race, crash, pause and lose calls and answers.
//!
//! Each host runs the very [`Range`] that a process runs. The rest is the smallest world around it:
//! one object with conditional writes, calls under way in both directions, callers that send the
//! same key through any host, and time that jumps. A pause needs no step of its own: any host may
//! take none while all others go on.
//!
//! Safety: the key runs once at most, and "did not run" is not told to a send that came after a
//! run. Liveness: once the faults stop, every send is answered.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Display},
    sync::Arc,
    time::Duration,
};

use policy::once::{
    Answer, Body, Call, Change, Claim, Document, End, Key, Now, Outage, Outcome, Range, Read,
    Refusal, Run, Settings, Stamped, State as Progress, Verdict, Written,
};
use types::request::{self, Ran};

use crate::explore::System;

/// Wall clock at the start.
const ORIGIN: u64 = 1_000_000;

/// A guard that a variant of the system lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lacks {
    /// All guards are there.
    Nothing,
    /// The object API writes whatever the version is.
    ConditionalWrite,
    /// A host dispatches before its claim is written.
    ClaimFirst,
    /// A write without an answer counts as done.
    ReadBack,
    /// A claim of a host that crashed counts as free.
    ClaimsOutliveClaimants,
    /// A request whose answer was lost is released.
    ReleaseOnlyUnsent,
    /// "Did not run" is told without a look at the object.
    Look,
    /// A holder's successor does not mind the gap.
    Gap,
    /// A key's own time is not checked.
    KeyTime,
}

/// Bounds of the exploration, and what is varied.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    /// Sends of the key.
    pub sends: usize,
    /// Crashes.
    pub crashes: u8,
    /// Calls or answers that are lost or come late.
    pub losses: u8,
    /// Jumps of time.
    pub jumps: u8,
    /// Length of a jump.
    pub jump: Duration,
    /// What is done in an outage.
    pub outage: Outage,
    /// The guard that is switched off.
    pub lacks: Lacks,
}

/// Everything that decides what may happen next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    version: u64,
    stored: Option<Document>,
    hosts: Vec<Host>,
    transit: Vec<Transit>,
    sent: Vec<Send>,
    runs: u8,
    false_word: bool,
    crashes: u8,
    losses: u8,
    jumps: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Host {
    run: Run,
    range: Range,
    granted: BTreeMap<request::Id, Duration>,
    dispatched: BTreeSet<request::Id>,
}

/// A call under way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Transit {
    run: Run,
    leg: Leg,
    /// Whether the host still waits for the answer.
    awaited: bool,
}

impl Display for Transit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let call = match &self.leg {
            Leg::Out(Call::Read) | Leg::Read(_) => "read",
            Leg::Out(Call::Create(_) | Call::Update(..)) | Leg::Written(_) => "write",
        };
        let late = if self.awaited { "" } else { "late " };
        write!(f, "the {late}{call} of {} run {}", self.run.host, self.run.incarnation)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Leg {
    Out(Call),
    Read(Read),
    Written(Written),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Send {
    host: usize,
    after_run: bool,
    answered: bool,
}

/// A step.
#[derive(Clone, Debug)]
pub enum Step {
    /// A caller sends the key to a host.
    Send(usize),
    /// A host decides and may call the object API.
    Decide(usize),
    /// A call reaches the object API.
    Arrive(String),
    /// An answer reaches its host.
    Return(String),
    /// A call or an answer is lost.
    Lose(String),
    /// A host stops waiting for a call that still arrives later.
    TimeOut(String),
    /// A host dispatches a granted request.
    Dispatch(usize),
    /// A dispatched request's answer reaches its host.
    Finish(usize),
    /// A dispatched request's answer is lost.
    LoseOutcome(usize),
    /// A host crashes and starts again.
    Crash(usize),
    /// Time passes.
    Jump,
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Send(host) => write!(f, "a caller sends the key to host {host}"),
            Step::Decide(host) => write!(f, "host {host} decides, and calls the object API if due"),
            Step::Arrive(call) => write!(f, "{call} reaches the object API"),
            Step::Return(call) => write!(f, "the answer to {call} reaches its host"),
            Step::Lose(call) => write!(f, "{call} or its answer is lost"),
            Step::TimeOut(call) => write!(f, "the host stops waiting for {call}"),
            Step::Dispatch(host) => write!(f, "host {host} dispatches a request"),
            Step::Finish(host) => write!(f, "host {host} gets a request's answer"),
            Step::LoseOutcome(host) => write!(f, "host {host} loses a request's answer"),
            Step::Crash(host) => write!(f, "host {host} crashes and starts again"),
            Step::Jump => write!(f, "time passes"),
        }
    }
}

impl Claims {
    fn settings(&self) -> Arc<Settings> {
        Arc::new(Settings {
            ranges: 1,
            accept: self.jump,
            ahead: Duration::ZERO,
            clock_error: Duration::ZERO,
            patience: self.jump,
            grant: self.jump,
            window: Duration::ZERO,
            settle: Duration::ZERO,
            outage: self.outage,
            hold: self.jump,
            recent: self.jump,
            ..Settings::default()
        })
    }

    fn now(&self, state: &State) -> Now {
        let moment = self.jump * u32::from(state.jumps);
        Now { wall: ORIGIN + moment.as_millis() as u64, moment }
    }

    fn key(&self) -> Stamped {
        let key = Key::new(&"customer".into(), &"service".into(), &"key".into());
        let stamp = (self.lacks != Lacks::KeyTime).then_some(ORIGIN);
        Stamped { key, stamp }
    }

    fn host(&self, number: usize, incarnation: u64) -> Host {
        let run = Run { host: format!("host-{number}").into(), incarnation };
        let mut range = Range::new(run.clone(), self.settings());
        if self.outage == Outage::Hold {
            range.renew(Now { wall: ORIGIN, moment: Duration::ZERO });
        }
        Host { run, range, granted: BTreeMap::new(), dispatched: BTreeSet::new() }
    }

    fn send(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        let id: request::Id = format!("send-{}", state.sent.len()).into();
        next.sent.push(Send { host, after_run: 0 < state.runs, answered: false });
        let now = self.now(state);
        let target = &mut next.hosts[host];
        if self.lacks == Lacks::ClaimFirst {
            target.granted.insert(id.clone(), now.moment + self.jump);
        }
        target.range.claim(Claim {
            id,
            key: self.key(),
            digest: 1,
            claimant: target.run.clone(),
            asked: now.moment,
        });
        next
    }

    fn decide(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        let step = next.hosts[host].range.step(self.now(state));
        self.take(&mut next, host, step.answers);
        if let Some(call) = step.call {
            let run = next.hosts[host].run.clone();
            next.transit.push(Transit { run, leg: Leg::Out(call), awaited: true });
        }
        next
    }

    fn take(&self, state: &mut State, host: usize, answers: Vec<Answer>) {
        for Answer { id, verdict, .. } in answers {
            let number: usize = id.trim_start_matches("send-").parse().unwrap_or_default();
            state.sent[number].answered = true;
            match verdict {
                Verdict::Granted { until } => {
                    state.hosts[host].granted.insert(id, until);
                }
                Verdict::Refused(refusal) => {
                    let not_run = match self.lacks {
                        Lacks::Look if refusal == Refusal::Unread => true,
                        _ => refusal.ran() == Ran::DidNotRun,
                    };
                    state.false_word |= not_run && state.sent[number].after_run;
                }
                Verdict::Claimed { .. } | Verdict::Done(_) => {}
            }
        }
    }

    fn arrive(&self, state: &State, number: usize) -> Option<State> {
        let Leg::Out(call) = &state.transit[number].leg else { return None };
        let mut next = state.clone();
        let leg = match call {
            Call::Read => Leg::Read(match &state.stored {
                Some(document) => Read::Found(state.version, self.seen(state, document)),
                None => Read::Absent,
            }),
            Call::Create(document) => {
                Leg::Written(self.write(&mut next, state.stored.is_none(), document))
            }
            Call::Update(version, document) => {
                Leg::Written(self.write(&mut next, *version == state.version, document))
            }
        };
        match next.transit[number].awaited {
            true => next.transit[number].leg = leg,
            false => {
                next.transit.remove(number);
            }
        }
        Some(next)
    }

    fn write(&self, state: &mut State, holds: bool, document: &Document) -> Written {
        if !holds && self.lacks != Lacks::ConditionalWrite {
            return Written::Conflict;
        }
        state.stored = Some(document.clone());
        state.version += 1;
        Written::Done(state.version)
    }

    /// The object as a host reads it, without what a missing guard would have shown.
    fn seen(&self, state: &State, document: &Document) -> Document {
        let mut document = document.clone();
        match self.lacks {
            Lacks::Gap => {
                document.gaps.clear();
                document.hold = None;
            }
            Lacks::ClaimsOutliveClaimants => {
                let runs: Vec<&Run> = state.hosts.iter().map(|host| &host.run).collect();
                document.entries.retain(|_, entry| {
                    entry.state != Progress::Claimed || runs.contains(&&entry.claimant)
                });
            }
            _ => {}
        }
        document
    }

    fn tell(&self, state: &State, number: usize, failed: bool) -> State {
        let mut next = state.clone();
        let Transit { run, leg, awaited } = next.transit.remove(number);
        let found = next.hosts.iter().position(|host| host.run == run);
        let Some(host) = found.filter(|_| awaited) else { return next };
        let now = self.now(state);
        let range = &mut next.hosts[host].range;
        let answers = match leg {
            Leg::Out(Call::Read) | Leg::Read(_) if failed => range.read(now, Read::Failed),
            Leg::Out(_) | Leg::Written(_) if failed => {
                let written = match self.lacks {
                    Lacks::ReadBack => Written::Done(state.version + 1),
                    _ => Written::Failed,
                };
                range.wrote(now, written)
            }
            Leg::Read(read) => range.read(now, read),
            Leg::Written(written) => range.wrote(now, written),
            Leg::Out(_) => Vec::new(),
        };
        self.take(&mut next, host, answers);
        next
    }

    /// The call goes on without anybody who waits for it.
    fn time_out(&self, state: &State, number: usize) -> State {
        let late = Transit { awaited: false, ..state.transit[number].clone() };
        let mut next = self.tell(state, number, true);
        next.transit.push(late);
        next
    }

    fn dispatch(&self, state: &State, host: usize) -> Option<State> {
        let now = self.now(state).moment;
        let (id, until) = state.hosts[host].granted.iter().next()?;
        let mut next = state.clone();
        next.hosts[host].granted.remove(id);
        if now < *until {
            next.hosts[host].dispatched.insert(id.clone());
            next.runs += 1;
            return Some(next);
        }
        self.end(&mut next, host, id, End::Released);
        Some(next)
    }

    fn finish(&self, state: &State, host: usize, end: End) -> Option<State> {
        let id = state.hosts[host].dispatched.first()?;
        let mut next = state.clone();
        next.hosts[host].dispatched.remove(id);
        self.end(&mut next, host, id, end);
        Some(next)
    }

    fn end(&self, state: &mut State, host: usize, id: &request::Id, end: End) {
        let now = self.now(state);
        let change = Change { id: id.clone(), key: self.key().key, end };
        state.hosts[host].range.end(now, change);
    }

    fn crash(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        next.crashes += 1;
        let old = next.hosts[host].run.clone();
        next.hosts[host] = self.host(host, old.incarnation + 1);
        // The callers of that run lost their connections.
        next.sent.iter_mut().filter(|send| send.host == host).for_each(|send| send.answered = true);
        next.transit.iter_mut().filter(|t| t.run == old).for_each(|t| t.awaited = false);
        next.transit.retain(|transit| transit.awaited || matches!(transit.leg, Leg::Out(_)));
        next
    }

    fn faults(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        if state.losses < self.losses {
            let lost = |mut next: State| {
                next.losses += 1;
                next
            };
            for number in 0..state.transit.len() {
                steps.push((
                    Step::Lose(state.transit[number].to_string()),
                    lost(self.tell(state, number, true)),
                ));
                let transit = &state.transit[number];
                if transit.awaited && matches!(transit.leg, Leg::Out(_)) {
                    steps.push((
                        Step::TimeOut(state.transit[number].to_string()),
                        lost(self.time_out(state, number)),
                    ));
                }
            }
            for host in 0..state.hosts.len() {
                let end = match self.lacks {
                    Lacks::ReleaseOnlyUnsent => End::Released,
                    _ => End::Lost,
                };
                let next = self.finish(state, host, end);
                steps.extend(next.map(|next| (Step::LoseOutcome(host), lost(next))));
            }
        }
        if state.crashes < self.crashes {
            let hosts = 0..state.hosts.len();
            steps.extend(hosts.map(|host| (Step::Crash(host), self.crash(state, host))));
        }
    }
}

impl System for Claims {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        State {
            version: 0,
            stored: None,
            hosts: (0..2).map(|number| self.host(number, 1)).collect(),
            transit: Vec::new(),
            sent: Vec::new(),
            runs: 0,
            false_word: false,
            crashes: 0,
            losses: 0,
            jumps: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        for host in 0..state.hosts.len() {
            if state.sent.len() < self.sends {
                steps.push((Step::Send(host), self.send(state, host)));
            }
            let decided = self.decide(state, host);
            if decided != *state {
                steps.push((Step::Decide(host), decided));
            }
            let outcome =
                Outcome { status: 200, content_type: String::new(), body: Body::Unrecorded };
            let dispatched = self.dispatch(state, host);
            steps.extend(dispatched.map(|next| (Step::Dispatch(host), next)));
            let finished = self.finish(state, host, End::Ran(outcome));
            steps.extend(finished.map(|next| (Step::Finish(host), next)));
        }
        for number in 0..state.transit.len() {
            match &state.transit[number].leg {
                Leg::Out(_) => {
                    let arrived = self.arrive(state, number);
                    steps.extend(
                        arrived.map(|next| (Step::Arrive(state.transit[number].to_string()), next)),
                    );
                }
                Leg::Read(_) | Leg::Written(_) => {
                    steps.push((
                        Step::Return(state.transit[number].to_string()),
                        self.tell(state, number, false),
                    ));
                }
            }
        }
        self.faults(state, &mut steps);
        if state.jumps < self.jumps {
            let mut next = state.clone();
            next.jumps += 1;
            steps.push((Step::Jump, next));
        }
        steps
    }

    fn broken(&self, state: &State) -> Option<String> {
        if 1 < state.runs {
            return Some(format!("the key ran {} times", state.runs));
        }
        state.false_word.then(|| "a send after a run was told that it did not run".into())
    }

    fn is_quiet(&self, step: &Step) -> bool {
        matches!(
            step,
            Step::Decide(_)
                | Step::Arrive(_)
                | Step::Return(_)
                | Step::Dispatch(_)
                | Step::Finish(_)
        )
    }

    fn is_settled(&self, state: &State) -> bool {
        state.sent.iter().all(|send| send.answered)
            && state.hosts.iter().all(|host| host.granted.is_empty() && host.dispatched.is_empty())
    }
}
