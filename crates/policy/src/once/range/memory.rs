//! Grants from memory while the object API is down, see [`Outage::Hold`].

use std::mem;

use super::{Answer, Claim, Document, Now, Range, Verdict, answer, entry};
use crate::once::Outage;

impl Range {
    /// Grants keys whose own time is recent, while the right to do so lasts.
    pub(super) fn grant_from_memory(&mut self, now: Now) -> Vec<Answer> {
        if self.hold_until.is_none_or(|until| until <= now.moment) {
            return Vec::new();
        }
        let Some(known) = self.known.take() else { return Vec::new() };
        let mut answers = Vec::new();
        for waiting in mem::take(&mut self.waiting) {
            let claim = &waiting.claim;
            match self.decide_from_memory(now, &known.document, claim) {
                Some(Ok(())) => {
                    self.memory_grants.insert(claim.key.key, entry(claim, now));
                    self.changed_at.get_or_insert(now.moment);
                    answers.push(self.grant(waiting.claim));
                }
                Some(Err(verdict)) => answers.push(answer(claim, verdict)),
                None => self.waiting.push(waiting),
            }
        }
        self.known = Some(known);
        answers
    }

    /// Decides on a claim; `None` if its key's own time is not recent.
    fn decide_from_memory(
        &self,
        now: Now,
        document: &Document,
        claim: &Claim,
    ) -> Option<Result<(), Verdict>> {
        let recent = claim.key.stamp.is_some_and(|s| self.settings.is_recent(now.wall, s));
        match (recent, self.settings.outage) {
            (true, Outage::Hold) => Some(self.decide(now, document, claim)),
            (false, _) | (_, Outage::Refuse) => None,
        }
    }
}
