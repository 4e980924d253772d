//! Next state of a range's object, and the decision on each claim.

use super::{
    Answer, Claim, Document, Entry, Key, Now, Range, Refusal, State, Verdict, answer, entry, refuse,
};
use crate::once::{Hold, Outage, Presence, Settings, millis};

impl Range {
    /// Builds the next object. Claims that are not granted are answered at once.
    pub(super) fn build(&self, now: Now, known: &Document, answers: &mut Vec<Answer>) -> Document {
        let mut document = known.clone();
        drop_expired(&self.settings, now, &mut document);
        self.add_memory_grants(&mut document);
        self.changes.iter().for_each(|change| change.apply(&mut document.entries));
        self.take_hold(now, &mut document);
        let wanted: usize = self.waiting.iter().map(|w| entry(&w.claim, now).bytes()).sum();
        document.drop_bodies(self.settings.bytes.saturating_sub(wanted));
        let mut bytes = document.bytes();
        for claim in self.waiting.iter().map(|waiting| &waiting.claim) {
            match self.decide(now, &document, claim) {
                Ok(()) => {
                    let entry = entry(claim, now);
                    bytes += entry.bytes();
                    if self.settings.bytes < bytes {
                        bytes -= entry.bytes();
                        answers.push(refuse(claim, Refusal::Full));
                        continue;
                    }
                    document.entries.insert(claim.key.key, entry);
                }
                Err(verdict) => answers.push(answer(claim, verdict)),
            }
        }
        document
    }

    /// Decides whether a claim may have its key, or what to answer.
    pub(super) fn decide(
        &self,
        now: Now,
        document: &Document,
        claim: &Claim,
    ) -> Result<(), Verdict> {
        let Some(entry) = self.entry(document, claim.key.key) else {
            return self.decide_unknown(now, document, claim).map_err(Verdict::Refused);
        };
        if entry.digest != claim.digest {
            return Err(Verdict::Refused(Refusal::Different));
        }
        Err(match &entry.state {
            State::Claimed => Verdict::Claimed { claimant: entry.claimant.clone() },
            State::Done(outcome) => Verdict::Done(outcome.clone()),
            State::Lost => Verdict::Refused(Refusal::Unsure),
        })
    }

    fn decide_unknown(&self, now: Now, document: &Document, claim: &Claim) -> Result<(), Refusal> {
        match claim.key.stamp {
            Some(stamp) if document.is_in_gap(stamp) => Err(Refusal::Unsure),
            stamp => self.settings.check(now.wall, stamp),
        }
    }

    /// Returns the entry that binds a key. An entry of this host that was never granted, and that
    /// no claim waits for, comes from a write whose answer was lost: its request was not dispatched
    /// and never will be, so it binds nothing.
    fn entry<'a>(&'a self, document: &'a Document, key: Key) -> Option<&'a Entry> {
        let entry = self.memory_grants.get(&key).or_else(|| document.entries.get(&key))?;
        (!self.is_never_granted(entry)).then_some(entry)
    }

    fn is_never_granted(&self, entry: &Entry) -> bool {
        entry.claimant == self.me
            && entry.state == State::Claimed
            && !self.granted.contains(&entry.id)
            && self.changes.iter().all(|change| change.id != entry.id)
            && self.waiting.iter().all(|waiting| waiting.claim.id != entry.id)
    }

    fn add_memory_grants(&self, document: &mut Document) {
        for (key, entry) in &self.memory_grants {
            let stored = document.entries.get(key);
            if stored.is_none_or(|stored| self.is_never_granted(stored)) {
                document.entries.insert(*key, entry.clone());
            }
        }
    }

    /// Takes the right to grant from memory. Records a gap if another host held that right, since
    /// it may still use it.
    fn take_hold(&self, now: Now, document: &mut Document) {
        if let Some(hold) = document.hold.take_if(|hold| hold.holder != self.me) {
            let presence = match self.gone.contains(&hold.holder) {
                true => Presence::Gone,
                false => Presence::Unknown,
            };
            document.gaps.push(self.settings.gap(hold.at, now.wall, presence));
        }
        document.hold = match (self.settings.outage, self.leaving) {
            (Outage::Hold, false) => Some(Hold { holder: self.me.clone(), at: now.wall }),
            (Outage::Hold, true) | (Outage::Refuse, _) => None,
        };
    }
}

fn drop_expired(settings: &Settings, now: Now, document: &mut Document) {
    let retention = millis(settings.retention());
    document.entries.retain(|_, entry| now.wall <= entry.at + retention);
    document.gaps.retain(|gap| now.wall <= gap.until + retention);
}
