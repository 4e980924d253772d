//! Keeps requests that crash servers from crashing more.
//!
//! Called for each attempt at a model once its server is chosen. A request that nothing is held
//! against goes at once; a suspect waits for a trial of its own; a refused one goes nowhere. Calls to
//! plain services pass, since their bodies are streamed and have no digest.

use std::sync::Arc;

use policy::{
    quarantine::{Busy, Fingerprint, Life, Verdict},
    retry::Point,
};
use types::prelude::*;

use crate::{
    context::Context,
    filters::{Call, Kind},
    problem::{self, Problem},
    suspects::Trial,
    traffic::Sent,
};

/// Pause of a suspect between two asks for a trial.
const PAUSE: Duration = Duration::from_millis(50);

/// When a suspect that had no trial in time may come back.
const COME_BACK: Duration = Duration::from_secs(2);

/// Longest look at a server that may have died.
const LOOK: Duration = Duration::from_millis(500);

/// One attempt of a request, watched until it ends.
pub struct Custody {
    context: Arc<Context>,
    id: request::Id,
    fingerprint: Fingerprint,
    server: backend::Server,
    life: Life,
    standing: Standing,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Free,
    OnTrial,
}

impl std::fmt::Debug for Custody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Custody({}, {:?})", self.id, self.standing)
    }
}

/// Takes an attempt into custody.
///
/// # Errors
///
/// The request is refused everywhere, or had no trial in time.
pub async fn take(context: &Arc<Context>, call: &Call, mut sent: Sent) -> Result<Sent, Problem> {
    if matches!(call.kind, Kind::Plain { .. }) {
        return Ok(sent);
    }
    let request = &call.request;
    let fingerprint = fingerprint(call);
    context.suspects.checked(&request.id).await;
    let life = life(context, sent.server());
    let standing = loop {
        match context.suspects.admit(fingerprint) {
            Verdict::Free => break Standing::Free,
            Verdict::Refused => return Err(refused()),
            Verdict::Suspect => {}
        }
        match context.suspects.begin(&*context.store, fingerprint, &life).await {
            Ok(Ok(())) => break Standing::OnTrial,
            Ok(Err(Busy::Refused)) => return Err(refused()),
            Ok(Err(Busy::Unknown)) => continue,
            Ok(Err(Busy::Spreading { .. } | Busy::OnTrial | Busy::Server)) => {}
            Err(error) => log::warn!(request = &*request.id; "no trial: {error}"),
        }
        if call.time_left(context) < PAUSE {
            let detail = "it was in flight when a server died, and waits to run alone";
            return Err(Problem::new(problem::Kind::Quarantined, detail).retry_after(COME_BACK));
        }
        tokio::time::sleep(PAUSE).await;
    };
    context.suspects.sent(&request.id, fingerprint, &request.service, life.clone());
    sent.watch(Custody {
        context: context.clone(),
        id: request.id.clone(),
        fingerprint,
        server: sent.server().clone(),
        life,
        standing,
    });
    Ok(sent)
}

impl Custody {
    /// The attempt was answered.
    pub fn completed(self) {
        if self.standing == Standing::OnTrial {
            self.context.suspects.ended(&self.id);
            self.end_trial(Trial::Completed);
            return;
        }
        let Custody { context, id, fingerprint, life, .. } = self;
        if context.suspects.completed(&id, fingerprint, &life) == Verdict::Suspect {
            tokio::spawn(async move {
                context.suspects.acquit(&*context.store, fingerprint, &life).await;
            });
        }
    }

    /// The attempt was given up, or never reached its server.
    pub fn cancelled(self) {
        self.context.suspects.ended(&self.id);
        self.end_trial(Trial::Aborted);
    }

    /// The attempt failed. If its connection broke off, its server is looked at.
    pub fn failed(self, point: Point) {
        match point {
            Point::Connect | Point::Refused | Point::Fault => self.cancelled(),
            _ => {
                self.context.suspects.check(&self.id);
                tokio::spawn(self.look());
            }
        }
    }

    async fn look(self) {
        let suspects = &self.context.suspects;
        let asked = tokio::time::timeout(LOOK, self.context.control.load(self.server.address));
        let is_dead = match asked.await {
            Ok(Ok(load)) => load.incarnation != self.life.incarnation,
            Ok(Err(_)) => true,
            // A server that is paused or cut off has not died.
            Err(_) => false,
        };
        if is_dead {
            suspects.died(&*self.context.store, &self.life).await;
        } else {
            suspects.ended(&self.id);
            if self.standing == Standing::OnTrial {
                self.write_end(Trial::Aborted).await;
            }
        }
        suspects.end_check(&self.id);
    }

    fn end_trial(self, end: Trial) {
        if self.standing == Standing::OnTrial {
            tokio::spawn(async move { self.write_end(end).await });
        }
    }

    async fn write_end(&self, end: Trial) {
        let store = &*self.context.store;
        let ended = self.context.suspects.end_trial(store, self.fingerprint, end).await;
        if let Err(error) = ended {
            log::warn!(request = &*self.id; "a trial stays open until it expires: {error}");
        }
    }
}

fn fingerprint(call: &Call) -> Fingerprint {
    let request = &call.request;
    match &request.key {
        Some(key) => {
            let service = call.numbered.config.services.get(&request.service);
            let customer = service.map(|service| service.customer.clone()).unwrap_or_default();
            Fingerprint::of_key(policy::once::Key::new(&customer, &request.service, key))
        }
        None => Fingerprint::of_digest(&request.digest),
    }
}

fn life(context: &Context, server: &backend::Server) -> Life {
    let readings = context.fleet.readings();
    let incarnation = readings.get(&server.id).map_or(0, |reading| reading.load.incarnation);
    Life { server: server.id.clone(), incarnation }
}

fn refused() -> Problem {
    let detail = "requests like this one crashed the servers that ran them";
    Problem::new(problem::Kind::Quarantined, detail)
}
