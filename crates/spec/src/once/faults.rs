//! The faults that are enabled in a state, within the bounds.

use policy::once::End;

use super::{Claims, Omission, State, Step, state::Message};

impl Claims {
    pub(super) fn faults(&self, state: &State, steps: &mut Vec<(Step, State)>) {
        if state.losses < self.losses {
            let lost = |mut next: State| {
                next.losses += 1;
                next
            };
            for number in 0..state.calls.len() {
                steps.push((
                    Step::Lose(state.calls[number].to_string()),
                    lost(self.return_answer(state, number, true)),
                ));
                let call = &state.calls[number];
                if call.is_awaited && matches!(call.message, Message::Call(_)) {
                    steps.push((
                        Step::TimeOut(state.calls[number].to_string()),
                        lost(self.time_out(state, number)),
                    ));
                }
            }
            for host in 0..state.hosts.len() {
                let end = match self.omission {
                    Omission::ReleaseOnlyUnsent => End::Released,
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
