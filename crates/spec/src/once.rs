//! Model of claims on one idempotency key by hosts that race, crash, pause, and lose calls.
//!
//! Each host runs the same [`Range`](policy::once::Range) as in production. Its environment is kept
//! minimal: one object with conditional writes, messages in transit in both directions, callers
//! that send the same key through any host, and time that advances in jumps. A pause needs no step
//! of its own: any host may take no step while all others go on.
//!
//! Safety: the key runs at most once, and no send that came after a run is answered "did not run".
//! Liveness: once the faults stop, every send is answered.

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

/// Wall-clock time of the initial state, in Unix milliseconds.
const ORIGIN: u64 = 1_000_000;

/// The guard that is disabled in a variant of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
    /// All guards are active.
    Nothing,
    /// The object API ignores the expected version of a write.
    ConditionalWrite,
    /// A host dispatches before its claim is written.
    ClaimFirst,
    /// A write without an answer is treated as done.
    ReadBack,
    /// A claim of a host run that has crashed is treated as free.
    ClaimsOutliveClaimants,
    /// A dispatched request whose answer was lost is released, as if it had not been sent.
    ReleaseOnlyUnsent,
    /// A host that has not read the object answers "did not run".
    Look,
    /// The successor of a range's holder ignores the gaps and the hold recorded in the object.
    Gap,
    /// Keys carry no time stamp, so the age of a key is not checked.
    KeyTime,
}

/// The model: two hosts and one key, with bounds on the sends and faults.
#[derive(Clone, Copy, Debug)]
pub struct Claims {
    /// Maximum number of requests that callers send with the key.
    pub sends: usize,
    /// Maximum number of host crashes, over both hosts.
    pub crashes: u8,
    /// Maximum number of calls and answers that are lost or late.
    pub losses: u8,
    /// Maximum number of times that time advances.
    pub jumps: u8,
    /// Time that one jump takes; the time limits in the settings are as long or zero.
    pub jump: Duration,
    /// Policy of the hosts while the object API does not answer.
    pub outage: Outage,
    /// The disabled guard.
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
        state
            .has_false_answer
            .then(|| "a send that came after a run was answered \"did not run\"".into())
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
