//! What callers ask of a host, and what a host does on its own side.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use policy::once::{Answer, Change, Claim, End, HostRun, Now, Outage, Range, Refusal, Verdict};
use types::request::{self, Ran};

use super::{
    Claims, Lacks, ORIGIN,
    state::{Host, Leg, Send, State, Transit},
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
            made_at: now.moment,
        });
        next
    }

    pub(super) fn decide(&self, state: &State, host: usize) -> State {
        let mut next = state.clone();
        let step = next.hosts[host].range.step(self.now(state));
        self.take(&mut next, host, step.answers);
        if let Some(call) = step.call {
            let run = next.hosts[host].run.clone();
            next.transit.push(Transit { run, leg: Leg::Out(call), awaited: true });
        }
        next
    }

    pub(super) fn take(&self, state: &mut State, host: usize, answers: Vec<Answer>) {
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
        // The callers of that run lost their connections.
        next.sent.iter_mut().filter(|send| send.host == host).for_each(|send| send.answered = true);
        next.transit.iter_mut().filter(|t| t.run == old).for_each(|t| t.awaited = false);
        next.transit.retain(|transit| transit.awaited || matches!(transit.leg, Leg::Out(_)));
        next
    }
}
