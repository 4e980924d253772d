//! Answers to claims that have waited too long for the object API.

use super::{
    Answer, Change, Document, End, InFlight, Now, Range, Refusal, Verdict, Waiting, answer, refuse,
};

impl Range {
    /// Answers the claims that have timed out. Releases those whose write may have taken effect or
    /// is in flight.
    pub(super) fn expire_claims(&mut self, now: Now) -> Vec<Answer> {
        let timeout = self.settings.claim_timeout;
        let expired: Vec<Waiting> =
            self.waiting.extract_if(.., |w| w.claim.made_at + timeout <= now.moment).collect();
        let answers = expired.iter().map(|waiting| self.timeout_verdict(now, waiting)).collect();
        for Waiting { claim, .. } in expired {
            let is_being_written = match &self.in_flight {
                Some(InFlight::Write { document, .. }) => document.is_claimed_by(&claim),
                Some(InFlight::Read { .. }) | None => false,
            };
            if self.unconfirmed.remove(&claim.id) || is_being_written {
                self.end(now, Change { id: claim.id, key: claim.key.key, end: End::Released });
            }
        }
        answers
    }

    /// Decides on a claim by the object as last known, without another call.
    fn timeout_verdict(&self, now: Now, waiting: &Waiting) -> Answer {
        let claim = &waiting.claim;
        let Some(known) = &self.known else { return refuse(claim, Refusal::Unread) };
        let other_holder = known.document.hold.as_ref().is_some_and(|hold| hold.holder != self.me);
        let is_current = known.covers(waiting) && !other_holder;
        match self.decide(now, &known.document, claim) {
            Err(Verdict::Refused(refusal)) if refusal.needs_fresh_read() && !is_current => {
                refuse(claim, Refusal::Unread)
            }
            Err(verdict) => answer(claim, verdict),
            Ok(()) if is_current => refuse(claim, Refusal::Unwritten),
            Ok(()) => refuse(claim, Refusal::Unread),
        }
    }

    pub(super) fn mark_unconfirmed(&mut self, document: &Document) {
        let written = self.waiting.iter().filter(|w| document.is_claimed_by(&w.claim));
        self.unconfirmed.extend(written.map(|waiting| waiting.claim.id.clone()));
    }
}
