//! What is answered to claims that the object API left waiting.

use super::{
    Answer, Change, Document, End, Flight, Now, Range, Refusal, Verdict, Waiting, answer, refuse,
};

impl Range {
    /// Answers what has waited too long, and undoes its write if that took effect.
    pub(super) fn give_up(&mut self, now: Now) -> Vec<Answer> {
        let patience = self.settings.patience;
        let late: Vec<Waiting> =
            self.waiting.extract_if(.., |w| w.claim.asked + patience <= now.moment).collect();
        let answers = late.iter().map(|waiting| self.last_word(now, waiting)).collect();
        for Waiting { claim, .. } in late {
            let in_flight = match &self.flight {
                Some(Flight::Write { document, .. }) => document.is_claimed_by(&claim),
                Some(Flight::Read { .. }) | None => false,
            };
            if self.doubtful.remove(&claim.id) || in_flight {
                self.end(now, Change { id: claim.id, key: claim.key.key, end: End::Released });
            }
        }
        answers
    }

    /// What is known of a claim's key without another call.
    fn last_word(&self, now: Now, waiting: &Waiting) -> Answer {
        let claim = &waiting.claim;
        let Some(known) = &self.known else { return refuse(claim, Refusal::Unread) };
        let foreign = known.document.hold.as_ref().is_some_and(|hold| hold.holder != self.me);
        let looked = known.is_look_for(waiting) && !foreign;
        match self.decide(now, &known.document, claim) {
            Err(Verdict::Refused(refusal)) if refusal.needs_look() && !looked => {
                refuse(claim, Refusal::Unread)
            }
            Err(verdict) => answer(claim, verdict),
            Ok(()) if looked => refuse(claim, Refusal::Unwritten),
            Ok(()) => refuse(claim, Refusal::Unread),
        }
    }

    pub(super) fn doubt(&mut self, document: &Document) {
        let written = self.waiting.iter().filter(|w| document.is_claimed_by(&w.claim));
        self.doubtful.extend(written.map(|waiting| waiting.claim.id.clone()));
    }
}
