//! Requests of callers to a host, and the steps that a host takes by itself.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use policy::once::{Answer, Change, Claim, End, HostRun, Now, Outage, Range, Refusal, Verdict};
use types::request::{self, Ran};

use super::{
    Claims, ORIGIN, Omission,
    state::{Host, Message, PendingCall, Send, State},
};

impl Claims {
    pub(super) fn host(&self, number: usize, incarnation: u64) -> Host {
        let run = HostRun { host: format!("host-{number}").into(), incarnation };
        let mut range = Range::new(run.clone(), self.settings());
        if self.outage == Outage::Hold {
            range.renew(Now { wall: ORIGIN, moment: Duration::ZERO });
        }
        Host { run, range, granted: BTreeMap::new(), dispatched: BTreeSet::new() }
    }

    pub(super) fn send(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        let id: request::Id = format!("send-{}", state.sends.len()).into();
        next.sends.push(Send { host, after_run: 0 < state.runs, is_answered: false });
        let now = self.now(state);
        let target = &mut next.hosts[host];
        if self.omission == Omission::ClaimFirst {
            target.granted.insert(id.clone(), now.moment + self.jump);
        }
        target.range.claim(Claim {
            id,
            key: self.key(),
            digest: 1,
            claimant: target.run.clone(),
            made_at: now.moment,
        });
        next
    }

    pub(super) fn decide(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        let step = next.hosts[host].range.step(self.now(state));
        self.apply_answers(&mut next, host, step.answers);
        if let Some(call) = step.call {
            let run = next.hosts[host].run.clone();
            next.calls.push(PendingCall { run, message: Message::Call(call), is_awaited: true });
        }
        next
    }

    pub(super) fn apply_answers(&self, state: &mut State, host: usize, answers: Vec<Answer>) {
        for Answer { id, verdict, .. } in answers {
            let number: usize = id.trim_start_matches("send-").parse().unwrap_or_default();
            state.sends[number].is_answered = true;
            match verdict {
                Verdict::Granted { until } => {
                    state.hosts[host].granted.insert(id, until);
                }
                Verdict::Refused(refusal) => {
                    let not_run = match self.omission {
                        Omission::Look if refusal == Refusal::Unread => true,
                        _ => refusal.ran() == Ran::DidNotRun,
                    };
                    state.has_false_answer |= not_run && state.sends[number].after_run;
                }
                Verdict::Claimed { .. } | Verdict::Done(_) => {}
            }
        }
    }

    pub(super) fn dispatch(&self, state: &State, host: usize) -> Option<State> {
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

    pub(super) fn finish(&self, state: &State, host: usize, end: End) -> Option<State> {
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

    pub(super) fn crash(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        next.crashes += 1;
        let old = next.hosts[host].run.clone();
        next.hosts[host] = self.host(host, old.incarnation + 1);
        // The crash closes the connections of this run's callers, so they expect no answer.
        next.sends
            .iter_mut()
            .filter(|send| send.host == host)
            .for_each(|send| send.is_answered = true);
        next.calls
            .iter_mut()
            .filter(|call| call.run == old)
            .for_each(|call| call.is_awaited = false);
        next.calls.retain(|call| call.is_awaited || matches!(call.message, Message::Call(_)));
        next
    }
}
