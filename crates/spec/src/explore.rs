//! Explicit-state model checking of a finite transition system.
//!
//! The search is breadth first (`pathfinding`), so a counterexample is as short as possible. It
//! checks two properties. Safety: no reachable state violates the invariant. Liveness, as far as a
//! finite exploration can show it: from every reachable state a settled state can be reached by
//! progress steps alone, that is, without further faults. The second is checked by following the
//! progress steps backwards from the settled states; a state that this does not reach is stuck.

use std::{
    collections::HashMap,
    fmt::{self, Display},
    hash::Hash,
    time::{Duration, Instant},
};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A transition system: an initial state, and the steps between states.
pub trait System {
    /// Must hold everything that decides which steps are enabled.
    type State: Clone + Eq + Hash;
    /// Label of a transition; its `Display` text is printed in traces.
    type Step: Display;

    /// The single state at which the exploration begins.
    fn initial(&self) -> Self::State;

    /// Every step that is enabled in this state, faults included, with its successor state.
    ///
    /// The order decides which of several shortest traces is reported.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// Describes how this state violates the invariant; `None` if it does not.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Whether the step still happens once faults have stopped; liveness relies on these steps.
    fn is_progress(&self, step: &Self::Step) -> bool;

    /// Whether the protocol has no unfinished work in this state.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// Outcome of an exploration.
#[derive(Clone, Debug)]
pub enum Finding {
    /// The state space was explored in full; safety and liveness both hold.
    Holds,
    /// A reachable state violates the invariant.
    Violated(Trace),
    /// From a reachable state, no settled state can be reached by progress steps.
    Stuck(Trace),
    /// The limit on states was reached before a violation was found.
    Unfinished,
}

/// A shortest trace from the initial state to a violating or stuck state.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Describes the property that the last state violates.
    pub violation: String,
    /// Texts of the steps, in order; empty if the initial state is the one found.
    pub steps: Vec<String>,
}

/// Outcome of an exploration, with its size and run time.
#[derive(Clone, Debug)]
pub struct Report {
    /// The first violation found, or why there is none.
    pub finding: Finding,
    /// Number of distinct states visited.
    pub states: usize,
    /// Number of transitions generated, including those to states already visited.
    pub steps: usize,
    /// Wall-clock time of the exploration.
    pub elapsed: Duration,
}

impl Report {
    /// Whether the whole state space was explored, and safety and liveness hold.
    pub fn holds(&self) -> bool {
        matches!(self.finding, Finding::Holds)
    }

    /// The counterexample to safety, if one was found.
    pub fn violation(&self) -> Option<&Trace> {
        match &self.finding {
            Finding::Violated(trace) => Some(trace),
            Finding::Holds | Finding::Stuck(_) | Finding::Unfinished => None,
        }
    }

    /// The counterexample to liveness, if one was found.
    pub fn stuck(&self) -> Option<&Trace> {
        match &self.finding {
            Finding::Stuck(trace) => Some(trace),
            Finding::Holds | Finding::Violated(_) | Finding::Unfinished => None,
        }
    }
}

impl Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step}", index + 1)?;
        }
        write!(f, "  => {}", self.violation)
    }
}

impl Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.elapsed.as_secs_f64();
        writeln!(f, "{} states, {} steps, {seconds:.2} s", self.states, self.steps)?;
        match &self.finding {
            Finding::Holds => write!(f, "holds"),
            Finding::Violated(trace) => write!(f, "invariant violated:\n{trace}"),
            Finding::Stuck(trace) => write!(f, "stuck:\n{trace}"),
            Finding::Unfinished => write!(f, "unfinished: the limit on states was reached"),
        }
    }
}

/// Explores `system`, and stops once more than `max_states` states are reachable.
///
/// Safety is checked during the search, liveness only once the whole state space is known.
pub fn explore<S: System>(system: &S, max_states: usize) -> Report {
    let started = Instant::now();
    let mut steps = 0;
    let report =
        |finding, states, steps| Report { finding, states, steps, elapsed: started.elapsed() };

    let mut states = Vec::new();
    let reachable = bfs_reach(system.initial(), |state| {
        let next = system.steps(state);
        steps += next.len();
        next.into_iter().map(|(_, state)| state)
    });
    for state in reachable {
        if let Some(violation) = system.violation(&state) {
            let trace = trace(system, violation, &state);
            return report(Finding::Violated(trace), states.len() + 1, steps);
        }
        if states.len() == max_states {
            return report(Finding::Unfinished, states.len(), steps);
        }
        states.push(state);
    }
    let finding = match first_stuck(system, &states) {
        Some(state) => Finding::Stuck(trace(
            system,
            "no settled state can be reached by progress steps".into(),
            state,
        )),
        None => Finding::Holds,
    };
    report(finding, states.len(), steps)
}

/// The state nearest to the initial one from which progress steps reach no settled state.
fn first_stuck<'a, S: System>(system: &S, states: &'a [S::State]) -> Option<&'a S::State> {
    if states.iter().all(|state| system.is_settled(state)) {
        return None;
    }
    let index: HashMap<&S::State, usize> = states.iter().zip(0..).collect();
    let mut predecessors = vec![Vec::new(); states.len()];
    for (from, state) in states.iter().enumerate() {
        let progress = system.steps(state).into_iter().filter(|(step, _)| system.is_progress(step));
        for (_, next) in progress {
            predecessors[index[&next]].push(from);
        }
    }

    let mut can_settle: Vec<bool> = states.iter().map(|state| system.is_settled(state)).collect();
    let mut pending: Vec<usize> = (0..states.len()).filter(|&i| can_settle[i]).collect();
    while let Some(state) = pending.pop() {
        for &predecessor in &predecessors[state] {
            if !can_settle[predecessor] {
                can_settle[predecessor] = true;
                pending.push(predecessor);
            }
        }
    }
    can_settle.iter().position(|can_settle| !can_settle).map(|i| &states[i])
}

/// Searches again for a shortest path to `found`, since the exploration keeps no parents.
fn trace<S: System>(system: &S, violation: String, found: &S::State) -> Trace {
    let next = |state: &S::State| system.steps(state).into_iter().map(|(_, state)| state);
    let path = bfs(&system.initial(), next, |state| state == found).unwrap_or_default();
    let steps = path
        .windows(2)
        .filter_map(|pair| {
            let steps = system.steps(&pair[0]);
            steps.into_iter().find(|(_, state)| *state == pair[1])
        })
        .map(|(step, _)| step.to_string())
        .collect();
    Trace { violation, steps }
}
