//! Calls to the object API, and their answers, on time, late or lost.

use policy::once::{Call, Document, HostRun, Read, State as Progress, Written};

use super::{
    Claims, Omission,
    state::{Leg, State, Transit},
};

impl Claims {
    pub(super) fn arrive(&self, state: &State, number: usize) -> Option<State> {
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
        if !holds && self.omission != Omission::ConditionalWrite {
            return Written::Conflict;
        }
        state.stored = Some(document.clone());
        state.version += 1;
        Written::Done(state.version)
    }

    /// The object as a host reads it, without what a missing guard would have shown.
    fn seen(&self, state: &State, document: &Document) -> Document {
        let mut document = document.clone();
        match self.omission {
            Omission::Gap => {
                document.gaps.clear();
                document.hold = None;
            }
            Omission::ClaimsOutliveClaimants => {
                let runs: Vec<&HostRun> = state.hosts.iter().map(|host| &host.run).collect();
                document.entries.retain(|_, entry| {
                    entry.state != Progress::Claimed || runs.contains(&&entry.claimant)
                });
            }
            _ => {}
        }
        document
    }

    pub(super) fn tell(&self, state: &State, number: usize, failed: bool) -> State {
        let mut next = state.clone();
        let Transit { run, leg, awaited } = next.transit.remove(number);
        let found = next.hosts.iter().position(|host| host.run == run);
        let Some(host) = found.filter(|_| awaited) else { return next };
        let now = self.now(state);
        let range = &mut next.hosts[host].range;
        let answers = match leg {
            Leg::Out(Call::Read) | Leg::Read(_) if failed => range.read(now, Read::Failed),
            Leg::Out(_) | Leg::Written(_) if failed => {
                let written = match self.omission {
                    Omission::ReadBack => Written::Done(state.version + 1),
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
    pub(super) fn time_out(&self, state: &State, number: usize) -> State {
        let late = Transit { awaited: false, ..state.transit[number].clone() };
        let mut next = self.tell(state, number, true);
        next.transit.push(late);
        next
    }
}
