//! Model of configuration updates: racing patches, lost answers, stale reads and host restarts.
//!
//! Two operators submit patches against the same configuration number. [`policy::config::decide`]
//! decides each patch on the root that was read last, and the result is written conditionally on
//! the version of that root. Hosts receive roots in any order, even outdated ones, and apply them
//! by [`Holder`]; a restarted host begins with no root. All roots here contain the whole
//! configuration; the tests of `policy` cover configurations in parts.
//!
//! Safety: each number is assigned once; an accepted patch is contained in every later number; a
//! patch that is answered "stale" was not accepted; the number in force never decreases within one
//! run of a host. Liveness: every patch gets an outcome, and every host reaches the last number.

use std::{
    fmt::{self, Display},
    sync::Arc,
};

use policy::config::{
    Decision, Patch, Root,
    decide::{Current, decide},
    holder::Holder,
    root::Content,
};
use serde_json::json;
use types::config::Number;

use crate::explore::System;

/// The guard that is disabled in a variant of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Omission {
    /// All guards are active.
    Nothing,
    /// The object API ignores the expected version of a write.
    ConditionalWrite,
    /// The root does not record accepted patches, so a retry is not recognised.
    KeptPatches,
    /// The number that a patch is based on is not compared with the current one.
    Against,
    /// A host applies every root that it receives, even one with a lower number.
    OnlyUp,
}

/// The model: two patches and two hosts, with bounds on the faults.
#[derive(Clone, Copy, Debug)]
pub struct Updates {
    /// Maximum number of answers lost after the patch was decided and written.
    pub losses: u8,
    /// Maximum number of host restarts, over both hosts.
    pub restarts: u8,
    /// The disabled guard.
    pub omission: Omission,
}

/// A root as the object API holds it, in JSON.
type Text = Arc<str>;

/// A state of the object API, the patches and the hosts.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Every root that was written. The last one is current; a root's index is its version.
    written: Vec<Text>,
    patches: Vec<Progress>,
    hosts: Vec<Host>,
    losses: u8,
    restarts: u8,
    violation: Option<String>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// Submitted; the root has to be read.
    Requested,
    /// The root was read at this version.
    Read(usize),
    /// Accepted as the configuration with this number.
    Accepted(Number),
    /// Refused, since the configuration number that the patch is based on is no longer current.
    Stale,
}

/// The roots that a host received in this run and that changed its number, in order.
///
/// The rest of its state follows from them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Host {
    received: Vec<Text>,
}

/// A step of an operator or a host, with the indices of the patch, host or version.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The root is read for a patch.
    Read(usize),
    /// A patch is decided, and written if it is accepted.
    Write(usize),
    /// As [`Step::Write`], but the answer is lost, so the operator submits the patch again.
    LoseAnswer(usize),
    /// A host receives a root, which may be outdated.
    Receive(usize, usize),
    /// A host restarts, and has no root.
    Restart(usize),
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Read(patch) => write!(f, "the root is read for patch {patch}"),
            Step::Write(patch) => write!(f, "patch {patch} is decided and written"),
            Step::LoseAnswer(patch) => {
                write!(f, "patch {patch} is decided and written, its answer is lost")
            }
            Step::Receive(host, version) => {
                write!(f, "host {host} receives version {version} of the root")
            }
            Step::Restart(host) => write!(f, "host {host} restarts"),
        }
    }
}

impl Updates {
    fn patch(number: usize) -> Patch {
        let changes = match number {
            0 => json!({"weights": {"attainment": 2.0}}),
            _ => json!({"weights": {"moves": 3.0}}),
        };
        Patch { id: format!("patch-{number}").into(), against: 1, changes }
    }

    fn write(&self, state: &State, number: usize, version: usize) -> State {
        let mut next = state.clone();
        let mut patch = Updates::patch(number);
        let current = current(&state.written[version]);
        if self.omission == Omission::Against {
            patch.against = current.root.number;
        }
        next.patches[number] = match decide(&current, &patch, &[]) {
            Decision::Accept(draft) => {
                let is_current = version + 1 == state.written.len();
                if !is_current && self.omission != Omission::ConditionalWrite {
                    next.patches[number] = Progress::Requested;
                    return next;
                }
                let mut root = draft.root;
                if self.omission == Omission::KeptPatches {
                    root.patches.clear();
                }
                let accepted = root.number;
                next.written.push(text(&root));
                Progress::Accepted(accepted)
            }
            Decision::Repeated(accepted) => Progress::Accepted(accepted),
            Decision::Stale(_) => Progress::Stale,
            other => {
                next.violation =
                    Some(format!("patch {number} got an unexpected decision: {other:?}"));
                Progress::Stale
            }
        };
        next
    }

    fn receive(&self, state: &State, host: usize, version: usize) -> State {
        let before = self.current_number(&state.hosts[host]);
        let mut next = state.clone();
        next.hosts[host].received.push(state.written[version].clone());
        let after = self.current_number(&next.hosts[host]);
        if after < before {
            next.violation = Some(format!("host {host} goes back from number {before} to {after}"));
        }
        // Roots without effect are not recorded, which keeps the state space finite.
        if after == before {
            next.hosts[host] = state.hosts[host].clone();
        }
        next
    }

    fn current_number(&self, host: &Host) -> Number {
        if self.omission == Omission::OnlyUp {
            return host.received.last().map_or(0, |text| root(text).number);
        }
        let mut holder = Holder::default();
        for text in &host.received {
            // A root that contains the whole configuration needs no parts, so this can't fail.
            let _ = holder.observe_root(root(text));
        }
        holder.number()
    }

    fn last_number(state: &State) -> Number {
        state.written.last().map_or(0, |text| root(text).number)
    }
}

impl System for Updates {
    type State = State;
    type Step = Step;

    fn initial(&self) -> State {
        let first = Root { number: 1, ..Root::default() };
        State {
            written: vec![text(&first)],
            patches: vec![Progress::Requested; 2],
            hosts: vec![Host::default(); 2],
            losses: 0,
            restarts: 0,
            violation: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        for (number, progress) in state.patches.iter().enumerate() {
            match progress {
                Progress::Requested => {
                    let mut next = state.clone();
                    next.patches[number] = Progress::Read(state.written.len() - 1);
                    steps.push((Step::Read(number), next));
                }
                Progress::Read(version) => {
                    let next = self.write(state, number, *version);
                    if state.losses < self.losses {
                        let mut lost = next.clone();
                        lost.losses += 1;
                        lost.patches[number] = Progress::Requested;
                        steps.push((Step::LoseAnswer(number), lost));
                    }
                    steps.push((Step::Write(number), next));
                }
                Progress::Accepted(_) | Progress::Stale => {}
            }
        }
        for host in 0..state.hosts.len() {
            for version in 0..state.written.len() {
                steps.push((Step::Receive(host, version), self.receive(state, host, version)));
            }
            if state.restarts < self.restarts {
                let mut next = state.clone();
                next.restarts += 1;
                next.hosts[host] = Host::default();
                steps.push((Step::Restart(host), next));
            }
        }
        steps
    }

    fn violation(&self, state: &State) -> Option<String> {
        if let Some(violation) = &state.violation {
            return Some(violation.clone());
        }
        let roots: Vec<Root> = state.written.iter().map(root).collect();
        if let Some(pair) = roots.windows(2).find(|pair| pair[1].number != pair[0].number + 1) {
            return Some(format!("number {} is followed by {}", pair[0].number, pair[1].number));
        }
        for (number, progress) in state.patches.iter().enumerate() {
            let containing = roots.iter().filter(|root| contains(root, number)).count();
            let last_contains = roots.last().is_some_and(|root| contains(root, number));
            match progress {
                Progress::Stale if 0 < containing => {
                    return Some(format!("patch {number} was answered \"stale\" but was accepted"));
                }
                Progress::Accepted(_) if !last_contains => {
                    return Some(format!(
                        "patch {number} was accepted, but the last root lacks it"
                    ));
                }
                _ => {}
            }
        }
        let both = (0..state.patches.len()).all(|n| roots.iter().any(|root| contains(root, n)));
        both.then(|| "two patches against the same number were both accepted".into())
    }

    fn is_progress(&self, step: &Step) -> bool {
        matches!(step, Step::Read(_) | Step::Write(_) | Step::Receive(..))
    }

    fn is_settled(&self, state: &State) -> bool {
        let has_outcome = |p: &Progress| matches!(p, Progress::Accepted(_) | Progress::Stale);
        let last = Updates::last_number(state);
        state.patches.iter().all(has_outcome)
            && state.hosts.iter().all(|host| self.current_number(host) == last)
    }
}

/// Whether the configuration of a root has the value that this patch sets.
fn contains(root: &Root, patch: usize) -> bool {
    let weights = current_config(root).weights;
    match patch {
        0 => weights.attainment == 2.0,
        _ => weights.moves == 3.0,
    }
}

fn current(text: &Text) -> Current {
    let root = root(text);
    let config = current_config(&root);
    Current { root, config }
}

fn current_config(root: &Root) -> Arc<types::config::Config> {
    match &root.content {
        Content::Inline(config) => config.clone(),
        Content::Parts { .. } => Arc::default(),
    }
}

fn root(text: &Text) -> Root {
    serde_json::from_str(text).unwrap_or_default()
}

fn text(root: &Root) -> Text {
    serde_json::to_string(root).unwrap_or_default().into()
}
