//! Requests that crash servers, for the log.

use std::{sync::Arc, time::Duration};

use observe::story::{Belief, CrashSeen, PoisonState, Word};
use policy::dispatch::{
    Fingerprint,
    poison::{Crash, News, Role, Standing, Verdict},
};
use tokio::time::sleep;

use crate::host::Shared;

/// Pause between two looks at what is known.
const LOOK: Duration = Duration::from_millis(100);

/// Logs what is thought of requests until the process ends.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        log_news(&shared);
        sleep(LOOK).await;
    }
}

/// How a request is called in the log.
fn name(request: Fingerprint) -> String {
    format!("{request:016x}")
}

/// Logs what has changed in what is thought of requests, with the crashes behind it.
fn log_news(shared: &Shared) {
    let news = shared.dispatcher().poison_mut().news(shared.now());
    for News { request, standing, crashes } in news {
        let state = match standing {
            Standing::Clear => PoisonState::Cleared,
            Standing::Suspect => PoisonState::Suspected,
            Standing::Poison => PoisonState::Confirmed,
        };
        let last = crashes.iter().min_by_key(|crash| crash.age);
        shared.teller.belief(Belief::Poison {
            fingerprint: Word::Owned(name(request)),
            state,
            crashes: u32::try_from(crashes.len()).unwrap_or(u32::MAX),
            server: last.map(|crash| crash.server.clone()),
            evidence: crashes.iter().map(seen).collect(),
        });
    }
}

/// A crash as it is logged.
fn seen(crash: &Crash) -> CrashSeen {
    let role = match crash.role {
        Role::Beside => "beside others",
        Role::Apart => "apart",
    };
    CrashSeen {
        server: crash.server.clone(),
        witness: crash.witness.clone(),
        role: Word::Borrowed(role),
        counts: crash.verdict == Verdict::Counts,
        age: crash.age,
    }
}
