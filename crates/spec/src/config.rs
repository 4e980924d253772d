//! Configuration numbers with patches that race, lost answers, old reads and hosts that start.
//!
//! Two operators' patches are against the same number; each is decided by [`policy::config::decide`]
//! on what was last read and written on condition. Hosts hear roots in any order, also old ones, and
//! keep what [`Holder`] says; one that starts again begins with nothing. Configurations stand in the
//! root itself; those in parts are left to the tests of `policy`.
//!
//! Safety: each number is made once; an accepted patch is in every later number; who is told "stale"
//! was not accepted; the number in force in one run of a host never falls. Liveness: every patch gets
//! its outcome and every host gets to the last number.

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

/// A guard that a variant of the system lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lacks {
    /// All guards are there.
    Nothing,
    /// The object API writes whatever the version is.
    ConditionalWrite,
    /// The root does not keep patches, so a retry is not recognised.
    KeptPatches,
    /// The number that a patch is against is not looked at.
    Against,
    /// A host takes whatever root it hears.
    OnlyUp,
}

/// Bounds of the exploration, and what is varied.
#[derive(Clone, Copy, Debug)]
pub struct Numbers {
    /// Answers that are lost after their write.
    pub losses: u8,
    /// Starts of a host after the first.
    pub starts: u8,
    /// The guard that is switched off.
    pub lacks: Lacks,
}

/// A root as the object API holds it, in JSON.
type Text = Arc<str>;

/// Everything that decides what may happen next.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Every root that was written; the last one stands, its place is its version.
    written: Vec<Text>,
    patches: Vec<Progress>,
    hosts: Vec<Host>,
    losses: u8,
    starts: u8,
    fault: Option<String>,
}

/// How far a patch is.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Progress {
    /// To be decided on the root as it is read next.
    Asked,
    /// Decided on this version.
    Read(usize),
    /// Accepted as this number.
    Accepted(Number),
    /// Told that its number is past.
    Stale,
}

/// What a host has heard in this run, in order; the rest follows from it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Host {
    heard: Vec<Text>,
}

/// A step.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// The root is read for a patch.
    Read(usize),
    /// A patch is decided and written.
    Write(usize),
    /// The same, and the answer is lost; the operator asks again.
    LoseAnswer(usize),
    /// A host hears a root, the last or an old one.
    Hear(usize, usize),
    /// A host starts again with nothing.
    Start(usize),
}

impl Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Step::Read(patch) => write!(f, "the root is read for patch {patch}"),
            Step::Write(patch) => write!(f, "patch {patch} is decided and written"),
            Step::LoseAnswer(patch) => {
                write!(
                    f,
                    "patch {patch} is decided and written, its answer is lost, it is asked again"
                )
            }
            Step::Hear(host, version) => {
                write!(f, "host {host} hears version {version} of the root")
            }
            Step::Start(host) => write!(f, "host {host} starts again"),
        }
    }
}

impl Numbers {
    fn patch(number: usize) -> Patch {
        let changes = match number {
            0 => json!({"weights": {"attainment": 2.0}}),
            _ => json!({"weights": {"moves": 3.0}}),
        };
        Patch { id: format!("patch-{number}").into(), against: 1, changes }
    }

    fn write(&self, state: &State, number: usize, version: usize) -> State {
        let mut next = state.clone();
        let mut patch = Numbers::patch(number);
        let current = current(&state.written[version]);
        if self.lacks == Lacks::Against {
            patch.against = current.root.number;
        }
        next.patches[number] = match decide(&current, &patch, &[]) {
            Decision::Accept(draft) => {
                let holds = version + 1 == state.written.len();
                if !holds && self.lacks != Lacks::ConditionalWrite {
                    next.patches[number] = Progress::Asked;
                    return next;
                }
                let mut root = draft.root;
                if self.lacks == Lacks::KeptPatches {
                    root.patches.clear();
                }
                let accepted = root.number;
                next.written.push(text(&root));
                Progress::Accepted(accepted)
            }
            Decision::Repeated(accepted) => Progress::Accepted(accepted),
            Decision::Stale(_) => Progress::Stale,
            other => {
                next.fault = Some(format!("patch {number}: {other:?}"));
                Progress::Stale
            }
        };
        next
    }

    fn hear(&self, state: &State, host: usize, version: usize) -> State {
        let before = self.in_force(&state.hosts[host]);
        let mut next = state.clone();
        next.hosts[host].heard.push(state.written[version].clone());
        let after = self.in_force(&next.hosts[host]);
        if after < before {
            next.fault = Some(format!("host {host} goes from number {before} to {after}"));
        }
        // What changes nothing need not be remembered.
        if after == before {
            next.hosts[host] = state.hosts[host].clone();
        }
        next
    }

    fn in_force(&self, host: &Host) -> Number {
        if self.lacks == Lacks::OnlyUp {
            return host.heard.last().map_or(0, |text| root(text).number);
        }
        let mut holder = Holder::default();
        for text in &host.heard {
            // A root that holds the whole needs no parts and can't fail.
            let _ = holder.observe_root(root(text));
        }
        holder.number()
    }

    fn last_number(state: &State) -> Number {
        state.written.last().map_or(0, |text| root(text).number)
    }
}

impl System for Numbers {
    type State = State;
    type Step = Step;

    fn start(&self) -> State {
        let first = Root { number: 1, ..Root::default() };
        State {
            written: vec![text(&first)],
            patches: vec![Progress::Asked; 2],
            hosts: vec![Host::default(); 2],
            losses: 0,
            starts: 0,
            fault: None,
        }
    }

    fn steps(&self, state: &State) -> Vec<(Step, State)> {
        let mut steps = Vec::new();
        for (number, progress) in state.patches.iter().enumerate() {
            match progress {
                Progress::Asked => {
                    let mut next = state.clone();
                    next.patches[number] = Progress::Read(state.written.len() - 1);
                    steps.push((Step::Read(number), next));
                }
                Progress::Read(version) => {
                    let next = self.write(state, number, *version);
                    if state.losses < self.losses {
                        let mut lost = next.clone();
                        lost.losses += 1;
                        lost.patches[number] = Progress::Asked;
                        steps.push((Step::LoseAnswer(number), lost));
                    }
                    steps.push((Step::Write(number), next));
                }
                Progress::Accepted(_) | Progress::Stale => {}
            }
        }
        for host in 0..state.hosts.len() {
            for version in 0..state.written.len() {
                steps.push((Step::Hear(host, version), self.hear(state, host, version)));
            }
            if state.starts < self.starts {
                let mut next = state.clone();
                next.starts += 1;
                next.hosts[host] = Host::default();
                steps.push((Step::Start(host), next));
            }
        }
        steps
    }

    fn broken(&self, state: &State) -> Option<String> {
        if let Some(fault) = &state.fault {
            return Some(fault.clone());
        }
        let roots: Vec<Root> = state.written.iter().map(root).collect();
        if let Some(pair) = roots.windows(2).find(|pair| pair[1].number != pair[0].number + 1) {
            return Some(format!("number {} is followed by {}", pair[0].number, pair[1].number));
        }
        for (number, progress) in state.patches.iter().enumerate() {
            let holding = roots.iter().filter(|root| holds(root, number)).count();
            let last_holds = roots.last().is_some_and(|root| holds(root, number));
            match progress {
                Progress::Stale if 0 < holding => {
                    return Some(format!("patch {number} is told stale and was accepted"));
                }
                Progress::Accepted(_) if !last_holds => {
                    return Some(format!("patch {number} was accepted and is gone"));
                }
                _ => {}
            }
        }
        let both = (0..state.patches.len()).all(|n| roots.iter().any(|root| holds(root, n)));
        both.then(|| "two patches against one number were both accepted".into())
    }

    fn is_quiet(&self, step: &Step) -> bool {
        matches!(step, Step::Read(_) | Step::Write(_) | Step::Hear(..))
    }

    fn is_settled(&self, state: &State) -> bool {
        let decided = |p: &Progress| matches!(p, Progress::Accepted(_) | Progress::Stale);
        let last = Numbers::last_number(state);
        state.patches.iter().all(decided)
            && state.hosts.iter().all(|host| self.in_force(host) == last)
    }
}

/// Whether a root has what a patch asks for.
fn holds(root: &Root, patch: usize) -> bool {
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
