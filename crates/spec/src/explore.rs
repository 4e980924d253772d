//! Exhaustive exploration of a small system.
//!
//! Breadth first, by the library's search, so that a trace that breaks a rule is a shortest one.
//! Two questions are asked. Safety: does any reachable state break the rule? Liveness, in the
//! form that a finite walk allows: can every reachable state still get to a settled one by quiet
//! steps alone, that is, once the faults stop? The second is answered by walking the quiet steps
//! backwards from the settled states; a state that is never met is stuck.

use std::{
    collections::HashMap,
    fmt::{self, Display},
    hash::Hash,
    time::{Duration, Instant},
};

use pathfinding::directed::bfs::{bfs, bfs_reach};

/// A system of states and steps.
pub trait System {
    /// Everything that decides what may happen next.
    type State: Clone + Eq + Hash;
    /// Name of a step, for traces.
    type Step: Display;

    /// The state it starts in.
    fn initial(&self) -> Self::State;

    /// Every step from this state, faults among them, with the state that it leads to.
    fn steps(&self, state: &Self::State) -> Vec<(Self::Step, Self::State)>;

    /// The rule that this state breaks, in words.
    fn violation(&self, state: &Self::State) -> Option<String>;

    /// Whether the step happens by itself once all faults have stopped.
    fn is_progress(&self, step: &Self::Step) -> bool;

    /// Whether nothing is left to be done in this state.
    fn is_settled(&self, state: &Self::State) -> bool;
}

/// What an exploration found.
#[derive(Clone, Debug)]
pub enum Finding {
    /// No reachable state breaks the rule, and each can still settle.
    Holds,
    /// A state breaks the rule.
    Violated(Trace),
    /// A state can't get to a settled one by quiet steps.
    Stuck(Trace),
    /// The bound on states was met first, and nothing was found until then.
    Unfinished,
}

/// A shortest way from the start to a state that was found.
#[derive(Clone, Debug)]
pub struct Trace {
    /// What is wrong there.
    pub violation: String,
    /// The steps that lead there, in order.
    pub steps: Vec<String>,
}

/// An exploration's result.
#[derive(Clone, Debug)]
pub struct Report {
    /// What it found.
    pub finding: Finding,
    /// States met.
    pub states: usize,
    /// Steps between them.
    pub steps: usize,
    /// Time that it took.
    pub elapsed: Duration,
}

impl Report {
    /// Whether the rule holds in every state, and every state can settle.
    pub fn holds(&self) -> bool {
        matches!(self.finding, Finding::Holds)
    }

    /// The trace to a state that breaks the rule.
    pub fn violation(&self) -> Option<&Trace> {
        match &self.finding {
            Finding::Violated(trace) => Some(trace),
            Finding::Holds | Finding::Stuck(_) | Finding::Unfinished => None,
        }
    }

    /// The trace to a state that can't settle.
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
            Finding::Violated(trace) => write!(f, "broken:\n{trace}"),
            Finding::Stuck(trace) => write!(f, "stuck:\n{trace}"),
            Finding::Unfinished => write!(f, "unfinished: the bound on states was met"),
        }
    }
}

/// Explores `system` up to `most_states` states.
pub fn explore<S: System>(system: &S, max_states: usize) -> Report {
    let started = Instant::now();
    let mut steps = 0;
    let report =
        |finding, states, steps| Report { finding, states, steps, elapsed: started.elapsed() };

    let mut states = Vec::new();
    let walk = bfs_reach(system.initial(), |state| {
        let next = system.steps(state);
        steps += next.len();
        next.into_iter().map(|(_, state)| state)
    });
    for state in walk {
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
        Some(state) => Finding::Stuck(trace(system, "can't settle from here".into(), state)),
        None => Finding::Holds,
    };
    report(finding, states.len(), steps)
}

/// The state, nearest to the start, from which quiet steps lead to no settled state.
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

/// A shortest way to `found`, step by step.
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
