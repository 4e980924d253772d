//! Recovery from a state without further faults, while one host may never return.

use super::{Holders, State, Tick};

/// Rounds of calls within one tick. One round is not enough, since a write that fails by a conflict
/// is followed by another.
const ROUNDS: usize = 6;

/// The sets of hosts that may remain; recovery must succeed with each.
const SURVIVORS: [&[usize]; 3] = [&[0], &[1], &[0, 1]];

impl Holders {
    /// Whether some host may send orders within this many ticks, for each set of remaining
    /// hosts.
    pub(super) fn recovers(&self, state: &State, within: Tick) -> bool {
        SURVIVORS.into_iter().all(|hosts| self.recovers_with(hosts, state.clone(), within))
    }

    fn recovers_with(&self, hosts: &[usize], mut state: State, within: Tick) -> bool {
        let unbounded = Holders { ticks: Tick::MAX, ..*self };
        for _ in 0..=within {
            state = unbounded.run_to_tick(hosts, state);
            let may_order = |host: &usize| {
                state.hosts[*host].term.fence(unbounded.clock(&state, *host)).is_some()
            };
            if hosts.iter().any(may_order) {
                return true;
            }
            let ticked = unbounded.tick_steps(&state).into_iter().next();
            state = ticked.map_or(state, |(_, next)| next);
        }
        false
    }

    /// Every remaining host takes the steps that it can take within the current tick.
    fn run_to_tick(&self, hosts: &[usize], mut state: State) -> State {
        for _ in 0..ROUNDS {
            while !state.calls.is_empty() {
                state = self.advance_call(&state, 0).1;
            }
            for &host in hosts {
                if state.hosts[host].term.is_released() {
                    state = self.restart(&state, host);
                }
                if let Some((_, next)) = self.store_steps(&state, host).into_iter().next() {
                    state = next;
                }
            }
        }
        state
    }
}
