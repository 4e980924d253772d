//! The store's objects and the history of their changes.

use std::{collections::BTreeMap, ops::Bound, sync::Arc};

use bytes::Bytes;
use http::Response;
use platform::remote::store::{self as remote, Call, KindId};
use relay::edge::{Change, Object, Page, Revision, WatchBatch};
use serde_json::Value;

/// Greatest number of objects on a page of a list, unless a test sets another.
const PAGE_SIZE: usize = 500;

#[derive(Debug)]
pub(super) struct State {
    pub(super) page_size: usize,
    revision: Revision,
    /// Changes up to this revision are no longer in `history`.
    compacted: Revision,
    objects: BTreeMap<(KindId, Arc<str>), Object>,
    history: Vec<(Revision, KindId, Change)>,
}

pub(super) enum WatchResult {
    /// The changes since the watch's revision; there may be none yet.
    Changes(WatchBatch),
    /// The history no longer reaches back to the watch's revision.
    Compacted,
}

impl Default for State {
    /// Revisions start above zero: the first change has revision 101.
    fn default() -> State {
        let (objects, history) = (BTreeMap::new(), Vec::new());
        State { page_size: PAGE_SIZE, revision: 100, compacted: 0, objects, history }
    }
}

impl State {
    pub(super) fn revision(&self) -> Revision {
        self.revision
    }

    pub(super) fn object(&self, kind: &KindId, name: &str) -> Option<&Object> {
        self.objects.get(&(kind.clone(), name.into()))
    }

    pub(super) fn names(&self, kind: &KindId) -> Vec<Arc<str>> {
        self.after(kind, None).map(|object| object.name.clone()).collect()
    }

    /// Writes an object; if its content is unchanged it keeps its revision.
    pub(super) fn write(&mut self, kind: &KindId, name: &Arc<str>, content: Value) -> Object {
        if let Some(current) = self.object(kind, name).filter(|current| current.content == content)
        {
            return current.clone();
        }
        self.revision += 1;
        let object = Object { name: name.clone(), revision: self.revision, content };
        self.objects.insert((kind.clone(), name.clone()), object.clone());
        self.history.push((self.revision, kind.clone(), Change::Written(object.clone())));
        object
    }

    pub(super) fn remove(&mut self, kind: &KindId, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.clone(), name.into())) {
            self.revision += 1;
            let removed = Change::Removed { name: object.name, revision: self.revision };
            self.history.push((self.revision, kind.clone(), removed));
        }
    }

    pub(super) fn compact(&mut self) {
        self.compacted = self.revision;
        self.history.clear();
    }

    pub(super) fn changes_since(&self, kind: &KindId, since: Revision) -> WatchResult {
        if since < self.compacted {
            return WatchResult::Compacted;
        }
        let changes = self.history.iter().filter(|(at, of, _)| since < *at && of == kind);
        let changes = changes.map(|(_, _, change)| change.clone()).collect();
        WatchResult::Changes(WatchBatch { changes, revision: self.revision })
    }

    /// Applies a call other than a list or a watch, which are answered as invalid.
    pub(super) fn apply(&mut self, call: &Call) -> Response<Bytes> {
        match call {
            Call::Get { kind, name } => {
                self.object(kind, name).map_or_else(remote::absent, remote::object)
            }
            Call::Create { kind, name, content } => match self.object(kind, name) {
                Some(current) => remote::conflict(current),
                None => remote::object(&self.write(kind, name, content.clone())),
            },
            Call::Replace { kind, name, revision, content } => {
                self.apply_if(kind, name, *revision, |state| {
                    remote::object(&state.write(kind, name, content.clone()))
                })
            }
            Call::Delete { kind, name, revision } => {
                self.apply_if(kind, name, *revision, |state| {
                    state.remove(kind, name);
                    remote::removed()
                })
            }
            Call::List { .. } | Call::Watch { .. } => remote::invalid(),
        }
    }

    fn apply_if(
        &mut self,
        kind: &KindId,
        name: &str,
        revision: Option<Revision>,
        change: impl FnOnce(&mut State) -> Response<Bytes>,
    ) -> Response<Bytes> {
        match self.object(kind, name) {
            None => remote::absent(),
            Some(current) if revision.is_some_and(|revision| revision != current.revision) => {
                remote::conflict(current)
            }
            Some(_) => change(self),
        }
    }

    pub(super) fn list(&self, kind: &KindId, after: Option<&Arc<str>>) -> Page {
        let mut rest = self.after(kind, after);
        let objects: Vec<Object> = rest.by_ref().take(self.page_size).cloned().collect();
        Page { objects, more: rest.next().is_some(), revision: self.revision }
    }

    fn after<'a>(
        &'a self,
        kind: &'a KindId,
        after: Option<&Arc<str>>,
    ) -> impl Iterator<Item = &'a Object> {
        let first = match after {
            Some(name) => Bound::Excluded((kind.clone(), name.clone())),
            None => Bound::Included((kind.clone(), "".into())),
        };
        let from = self.objects.range((first, Bound::Unbounded));
        from.take_while(move |((of, _), _)| of == kind).map(|(_, object)| object)
    }
}
