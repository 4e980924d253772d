//! Calls to the object API and their answers, which may be late or lost.

use policy::once::{Call, Document, HostRun, Read, State as EntryState, Written};

use super::{
    Claims, Omission,
    state::{Message, PendingCall, State},
};

impl Claims {
    pub(super) fn arrive(&self, state: &State, number: usize) -> Option<State> {
        let Message::Call(call) = &state.calls[number].message else { return None };
        let mut next = state.clone();
        let message = match call {
            Call::Read => Message::Read(match &state.stored {
                Some(document) => {
                    Read::Found(state.version, self.visible_document(state, document))
                }
                None => Read::Absent,
            }),
            Call::Create(document) => {
                Message::Written(self.write(&mut next, state.stored.is_none(), document))
            }
            Call::Update(version, document) => {
                Message::Written(self.write(&mut next, *version == state.version, document))
            }
        };
        match next.calls[number].is_awaited {
            true => next.calls[number].message = message,
            false => {
                next.calls.remove(number);
            }
        }
        Some(next)
    }

    fn write(&self, state: &mut State, is_match: bool, document: &Document) -> Written {
        if !is_match && self.omission != Omission::ConditionalWrite {
            return Written::Conflict;
        }
        state.stored = Some(document.clone());
        state.version += 1;
        Written::Done(state.version)
    }

    /// The object as a host reads it, without the fields that a disabled guard would check.
    fn visible_document(&self, state: &State, document: &Document) -> Document {
        let mut document = document.clone();
        match self.omission {
            Omission::Gap => {
                document.gaps.clear();
                document.hold = None;
            }
            Omission::ClaimsOutliveClaimants => {
                let runs: Vec<&HostRun> = state.hosts.iter().map(|host| &host.run).collect();
                document.entries.retain(|_, entry| {
                    entry.state != EntryState::Claimed || runs.contains(&&entry.claimant)
                });
            }
            _ => {}
        }
        document
    }

    pub(super) fn return_answer(&self, state: &State, number: usize, failed: bool) -> State {
        let mut next = state.clone();
        let PendingCall { run, message, is_awaited } = next.calls.remove(number);
        let found = next.hosts.iter().position(|host| host.run == run);
        let Some(host) = found.filter(|_| is_awaited) else { return next };
        let now = self.now(state);
        let range = &mut next.hosts[host].range;
        let answers = match message {
            Message::Call(Call::Read) | Message::Read(_) if failed => range.read(now, Read::Failed),
            Message::Call(_) | Message::Written(_) if failed => {
                let written = match self.omission {
                    Omission::ReadBack => Written::Done(state.version + 1),
                    _ => Written::Failed,
                };
                range.wrote(now, written)
            }
            Message::Read(read) => range.read(now, read),
            Message::Written(written) => range.wrote(now, written),
            Message::Call(_) => Vec::new(),
        };
        self.apply_answers(&mut next, host, answers);
        next
    }

    /// The host treats the call as failed, while the call stays in transit.
    pub(super) fn time_out(&self, state: &State, number: usize) -> State {
        let late = PendingCall { is_awaited: false, ..state.calls[number].clone() };
        let mut next = self.return_answer(state, number, true);
        next.calls.push(late);
        next
    }
}
