//! Claims of one key by hosts that race, crash, pause and lose calls and answers.
//!
//! Each host runs the very [`Range`] that a process runs. The rest is the smallest world around it:
//! one object with conditional writes, calls under way in both directions, callers that send the
//! same key through any host, and time that jumps. A pause needs no step of its own: any host may
//! take none while all others go on.
//!
//! Safety: the key runs once at most, and "did not run" is not told to a send that came after a
//! run. Liveness: once the faults stop, every send is answered.

mod calls;
mod faults;
mod hosts;
mod state;
mod step;

use std::{sync::Arc, time::Duration};

use policy::once::{Body, End, Key, Now, Outage, Outcome, Settings, TimedKey};

use self::state::Message;
pub use self::{state::State, step::Step};
use crate::explore::System;

/// Wall clock at the start.
const ORIGIN: u64 = 1_000_000;

/// A guard that a variant of the system lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
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
    pub omission: Omission,
}

impl Claims {
    fn settings(&self) -> Arc<Settings> {
        Arc::new(Settings {
            ranges: 1,
            accept: self.jump,
            ahead: Duration::ZERO,
            clock_error: Duration::ZERO,
            claim_timeout: self.jump,
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

    fn key(&self) -> TimedKey {
        let key = Key::new(&"customer".into(), &"service".into(), &"key".into());
        let stamp = (self.omission != Omission::KeyTime).then_some(ORIGIN);
        TimedKey { key, stamp }
    }
}

impl System for Claims {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        State {
            version: 0,
            stored: None,
            hosts: (0..2).map(|number| self.host(number, 1)).collect(),
            calls: Vec::new(),
            sends: Vec::new(),
            runs: 0,
            has_false_answer: false,
            crashes: 0,
            losses: 0,
            jumps: 0,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        for host in 0..state.hosts.len() {
            if state.sends.len() < self.sends {
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
        for number in 0..state.calls.len() {
            match &state.calls[number].message {
                Message::Call(_) => {
                    let arrived = self.arrive(state, number);
                    steps.extend(
                        arrived.map(|next| (Step::Arrive(state.calls[number].to_string()), next)),
                    );
                }
                Message::Read(_) | Message::Written(_) => {
                    steps.push((
                        Step::Return(state.calls[number].to_string()),
                        self.return_answer(state, number, false),
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

    fn violation(&self, state: &State) -> Option<String> {
        if 1 < state.runs {
            return Some(format!("the key ran {} times", state.runs));
        }
        state.has_false_answer.then(|| "a send after a run was told that it did not run".into())
    }

    fn is_progress(&self, step: &Step) -> bool {
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
        state.sends.iter().all(|send| send.is_answered)
            && state.hosts.iter().all(|host| host.granted.is_empty() && host.dispatched.is_empty())
    }
}
