//! Carries out the decision on a patch: writes the parts, then the root in one conditional write.
//!
//! After each uncertain write the newest root is read again. If another patch won, the root has a
//! new version and this patch is stale. If the response was lost, the root either contains the
//! patch or doesn't, and then nothing was done. The loop therefore reads and decides again until
//! the outcome is certain.

use std::sync::Arc;

use observe::{Event, event};
use policy::config::{
    Decision, Draft, Outcome, PART_PREFIX, Patch, ROOT_KEY, Root, decide,
    decide::Current,
    fit::Server,
    holder::Holder,
    part::{self, Part},
};
use types::{host::ListState, prelude::*};

use super::{
    Error,
    source::{self, DraftSource, Platform, Source, StoredRoot},
};
use crate::context::Context;

/// Maximum number of times the root is read and written for one patch. After a conflict with
/// another patch the next read ends the loop as stale, so only lost responses use up more attempts.
const MAX_ATTEMPTS: u32 = 4;

/// Unused parts are deleted each time an accepted configuration's number is a multiple of this.
const SWEEP_EVERY: config::Number = 64;

/// Outcome of a write of the root.
enum WriteOutcome {
    Done,
    /// The write conflicted or its response was lost; the root must be read to learn the outcome.
    Unknown(objects::Error),
}

/// Decides on a patch and writes it.
pub async fn apply(context: &Arc<Context>, patch: &Patch) -> Outcome {
    let (outcome, draft) = write_patch(context, patch).await;
    // Recorded before the configuration is in force here: the time line has the cause first.
    record(context, patch, &outcome);
    if let Some(draft) = draft {
        apply_draft(context, *draft).await;
    }
    outcome
}

/// Writes until the outcome is certain. Returns the draft only if this call is known to have
/// written it.
async fn write_patch(context: &Context, patch: &Patch) -> (Outcome, Option<Box<Draft>>) {
    let mut may_be_ours = false;
    let mut cause = String::new();
    for _ in 0..MAX_ATTEMPTS {
        let (read, decision) = match read_and_decide(context, patch).await {
            Ok(decided) => decided,
            Err(error) => return (unavailable(error), None),
        };
        let draft = match decision {
            Decision::Accept(draft) => draft,
            Decision::Repeated(number) if may_be_ours => {
                return (Outcome::Accepted { number }, None);
            }
            other => return (to_outcome(other), None),
        };
        match write(context, &read, &draft).await {
            Ok(WriteOutcome::Done) => {
                return (Outcome::Accepted { number: draft.root.number }, Some(draft));
            }
            // If the response was lost, this call may have written the patch.
            Ok(WriteOutcome::Unknown(error)) => {
                may_be_ours |= error.is_ambiguous();
                cause = error.to_string();
            }
            Err(error) => return (unavailable(error), None),
        }
    }
    (Outcome::Unavailable { cause }, None)
}

fn record(context: &Context, patch: &Patch, outcome: &Outcome) {
    let number = outcome.number().unwrap_or(context.config().number);
    let verdict = outcome.label();
    log::info!(
        patch = &*patch.id, against = patch.against, number = number; "patch is {verdict}"
    );
    let patch = patch.id.to_string().into();
    let verdict = verdict.into();
    context.events.record(Event::new(event::Kind::Patch { patch, number, verdict }));
}

/// Returns the outcome that a patch would have, without writing anything.
pub async fn check(context: &Context, patch: &Patch) -> Outcome {
    match read_and_decide(context, patch).await {
        Ok((_, decision)) => to_outcome(decision),
        Err(error) => unavailable(error),
    }
}

/// Reads the newest root and decides on the patch.
async fn read_and_decide(
    context: &Context,
    patch: &Patch,
) -> Result<(StoredRoot, Decision), Error> {
    let read = source::newest(&*context.store).await?;
    let current = load_current(context, read.root.clone()).await?;
    Ok((read, decide(&current, patch, &engines(context))))
}

/// Loads the configuration of a root. Parts that this host has are not fetched again.
async fn load_current(context: &Context, root: Root) -> Result<Current, Error> {
    let in_force = context.config();
    if root.number == in_force.number {
        return Ok(Current { root, config: Arc::new(in_force.config.clone()) });
    }
    let mut holder = Holder::default();
    holder.observe_root(root.clone())?;
    for name in holder.needs() {
        let bytes = match context.declared.part(&name) {
            Some(bytes) => bytes,
            None => Platform(&*context.store).part(&name).await?,
        };
        holder.add_part(name, bytes)?;
    }
    let config = holder.in_force().map(|numbered| numbered.config.clone()).unwrap_or_default();
    Ok(Current { root, config: Arc::new(config) })
}

/// Engines that are live, not leaving, and report a memory capacity.
fn engines(context: &Context) -> Vec<Server> {
    let engine = |entry: &backend::Entry| {
        let reading = context.fleet.reading(&entry.server.id)?;
        let load = &reading.load;
        let is_open = entry.state == ListState::Live && !load.leaving && 0 < load.capacity;
        let backend::Server { id, group, .. } = entry.server.clone();
        is_open.then_some(Server { id, group, capacity: load.capacity })
    };
    context.fleet.list().servers.iter().filter_map(engine).collect()
}

async fn write(context: &Context, read: &StoredRoot, draft: &Draft) -> Result<WriteOutcome, Error> {
    for part in &draft.parts {
        match create_part(context, part).await {
            Ok(()) => {}
            Err(error) if error.is_ambiguous() => return Ok(WriteOutcome::Unknown(error)),
            Err(error) => return Err(error.into()),
        }
    }
    let value = serde_json::to_vec(&draft.root)
        .map_err(|error| Error::Root { key: ROOT_KEY.into(), cause: error.to_string() })?;
    let written = match read.version {
        Some(version) => context.store.update(ROOT_KEY, version, value.into()).await,
        None => context.store.create(ROOT_KEY, value.into()).await,
    };
    match written {
        Ok(_) => Ok(WriteOutcome::Done),
        Err(error) if error.is_ambiguous() || error.is_conflict() => {
            Ok(WriteOutcome::Unknown(error))
        }
        Err(error) => Err(error.into()),
    }
}

/// Creates a part's object. An existing object is fine: the name is derived from the content.
async fn create_part(context: &Context, part: &Part) -> Result<(), objects::Error> {
    let value = part.bytes.clone().into();
    match context.store.create(&part.name.key(), value).await {
        Ok(_) => Ok(()),
        Err(error) if error.is_conflict() => Ok(()),
        Err(error) => Err(error),
    }
}

/// Puts an accepted draft in force on this host without reading it back.
async fn apply_draft(context: &Arc<Context>, draft: Draft) {
    let number = draft.root.number;
    let source = DraftSource { parts: draft.parts, rest: Platform(&*context.store) };
    if let Err(error) = super::apply_root(context, draft.root, &source).await {
        log::warn!(
            number = number;
            "accepted configuration not in force yet, waiting for the watch: {error}"
        );
    }
    if number.is_multiple_of(SWEEP_EVERY) {
        let context = context.clone();
        context.duties.clone().spawn(async move {
            if let Err(error) = sweep(&context).await {
                log::warn!("unused parts not deleted: {error}");
            }
        });
    }
}

/// Deletes parts that no root can name any more.
async fn sweep(context: &Context) -> Result<(), Error> {
    let root = source::newest(&*context.store).await?.root;
    let stored = context.store.list(PART_PREFIX).await?.objects;
    let names = stored.iter().filter_map(|object| part::Name::of_key(&object.key));
    let garbage = part::garbage(&root, names);
    for object in &stored {
        let is_garbage = |name: part::Name| garbage.contains(&name);
        if part::Name::of_key(&object.key).is_some_and(is_garbage) {
            match context.store.delete(&object.key, object.version).await {
                Err(error) if !error.is_conflict() => return Err(error.into()),
                _ => {}
            }
        }
    }
    log::info!(number = root.number, deleted = garbage.len(); "unused parts deleted");
    Ok(())
}

fn to_outcome(decision: Decision) -> Outcome {
    match decision {
        Decision::Accept(draft) => Outcome::Accepted { number: draft.root.number },
        Decision::Repeated(number) => Outcome::Repeated { number },
        Decision::Unchanged(number) => Outcome::Unchanged { number },
        Decision::Stale(stale) => Outcome::Stale(stale),
        Decision::Reused => Outcome::Reused,
        Decision::Invalid(problems) => Outcome::Invalid { problems },
        Decision::Short(shortages) => Outcome::Short { shortages },
    }
}

fn unavailable(error: Error) -> Outcome {
    Outcome::Unavailable { cause: error.to_string() }
}
