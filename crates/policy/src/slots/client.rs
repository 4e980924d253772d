//! Slots of one server that this host uses, holds and wants.

use std::time::Duration;

use types::{host, time::Moment};

use super::{
    ledger::remaining_prefill,
    message::{Grant, Urgency, Use},
};

/// Time without an answer of the owner after which this host goes by what it knows itself.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(20);

/// Time for which this host goes by what it knows itself after its owner did not answer; doubled
/// with each further time, up to [`MAX_ON_ITS_OWN`].
const ON_ITS_OWN: Duration = Duration::from_millis(100);
const MAX_ON_ITS_OWN: Duration = Duration::from_millis(1_600);

/// Interval at which what is wanted is told again while no slot was granted.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Delay before the owner is told what frees no slot and wants none.
const DEFERRED_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which what is used is told again. Two in a row may be lost before the owner drops it.
const REFRESH_INTERVAL: Duration = Duration::from_millis(400);

/// Age at which the owner's count of a server's requests is no longer used.
const VIEW_LIFETIME: Duration = Duration::from_millis(100);

/// How this host gets slots of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Access {
    /// A granted slot is at hand.
    Granted,
    /// A slot is to be asked for.
    Ask,
    /// The owner does not answer: the host goes by what it knows itself.
    OnItsOwn,
}

/// Slots that waiting requests want.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Want {
    /// Number of slots.
    pub slots: u32,
    /// Rank of the most urgent request, as in [`Urgency`].
    pub rank: u8,
    /// When the most urgent request must start.
    pub start_by: Moment,
}

/// Slots of one server on the side of a host that sends requests there.
#[derive(Clone, Debug, Default)]
pub struct Client {
    in_flight: u32,
    prefill: u32,
    grants: u32,
    want: Want,
    told: Option<Told>,
    /// When the first question was sent that has not been answered.
    unanswered_since: Option<Moment>,
    /// When the first slot was wanted since the last one was granted.
    wanted_since: Option<Moment>,
    on_its_own_until: Moment,
    /// Times in a row that the owner did not answer.
    timeouts: u32,
    view: Option<(Moment, Grant)>,
}

/// What was last told, and to whom.
#[derive(Clone, Debug)]
struct Told {
    owner: host::Id,
    content: Use,
    at: Moment,
    /// Slots granted since.
    granted: u32,
    /// Whether the same was told before.
    is_repeated: bool,
}

impl Client {
    /// How this host gets a slot now.
    pub fn access(&self, now: Moment) -> Access {
        match () {
            () if 0 < self.grants => Access::Granted,
            () if now < self.on_its_own_until => Access::OnItsOwn,
            () => Access::Ask,
        }
    }

    /// Use of the server by other hosts, as its owner lately counted it.
    pub fn view(&self, now: Moment) -> Option<Grant> {
        let (at, grant) = self.view.filter(|(at, _)| now < *at + VIEW_LIFETIME)?;
        Some(Grant { prefill: remaining_prefill(grant.prefill, at, now), ..grant })
    }

    /// Sets the requests of this host in flight to the server, and their prompt tokens that wait to
    /// be prefilled.
    pub fn set_use(&mut self, in_flight: u32, prefill: u32) {
        (self.in_flight, self.prefill) = (in_flight, prefill);
    }

    /// Sets what waiting requests want.
    pub fn set_wanted(&mut self, want: Want, now: Moment) {
        match want.slots {
            0 => self.wanted_since = None,
            _ => _ = self.wanted_since.get_or_insert(now),
        }
        self.want = want;
    }

    /// Uses a granted slot; returns whether there was one.
    pub fn use_grant(&mut self) -> bool {
        let has_grant = 0 < self.grants;
        self.grants = self.grants.saturating_sub(1);
        has_grant
    }

    /// Returns the granted slots that were not used.
    pub fn drop_grants(&mut self) -> u32 {
        std::mem::take(&mut self.grants)
    }

    /// Takes the owner's count of the server's requests, and adds granted slots. Returns the time for
    /// which a slot was wanted, if one is granted.
    pub fn on_grant(&mut self, grant: Grant, now: Moment) -> Option<Duration> {
        self.grants = self.grants.saturating_add(grant.slots);
        self.view = Some((now, grant));
        if let Some(told) = &mut self.told {
            told.granted = told.granted.saturating_add(grant.slots);
        }
        self.answered();
        let since = self.wanted_since.take_if(|_| 0 < grant.slots)?;
        Some(now.saturating_sub(since))
    }

    /// Records that the owner has answered.
    pub fn answered(&mut self) {
        self.unanswered_since = None;
        self.timeouts = 0;
        self.on_its_own_until = Duration::ZERO;
    }

    /// Checks whether the owner has let a question unanswered for too long. Returns whether it just
    /// has.
    pub fn check_timeout(&mut self, now: Moment) -> bool {
        let is_over = self.unanswered_since.is_some_and(|since| since + ANSWER_TIMEOUT <= now);
        if is_over {
            let time = ON_ITS_OWN * 2_u32.saturating_pow(self.timeouts);
            self.on_its_own_until = now + time.min(MAX_ON_ITS_OWN);
            self.timeouts = (self.timeouts + 1).min(8);
            self.unanswered_since = None;
        }
        is_over
    }

    /// When the owner is passed over unless it answers; `None` if it was not asked.
    pub fn due_at(&self) -> Option<Moment> {
        self.unanswered_since.map(|since| since + ANSWER_TIMEOUT)
    }

    /// What this host uses and wants now.
    pub fn content(&self, now: Moment) -> Use {
        let wanted = self.want.slots.saturating_sub(self.grants);
        let slack = self.want.start_by.saturating_sub(now).as_millis();
        let urgency = match wanted {
            0 => Urgency::default(),
            _ => {
                Urgency { rank: self.want.rank, slack_ms: u32::try_from(slack).unwrap_or(u32::MAX) }
            }
        };
        let taken = self.in_flight.saturating_add(self.grants);
        Use { taken, prefill: self.prefill, wanted, urgency }
    }

    /// Returns what is to be told to this owner now; `None` if it knows, or may learn it later.
    pub fn due(&self, owner: &host::Id, now: Moment) -> Option<Use> {
        self.tell_at(owner, now).filter(|at| *at <= now).map(|_| self.content(now))
    }

    /// When the owner is to be sent this host's use, if nothing changes until then; `None` if the owner
    /// has it.
    pub fn tell_at(&self, owner: &host::Id, now: Moment) -> Option<Moment> {
        let content = self.content(now);
        let is_idle = content.taken == 0 && content.wanted == 0;
        let Some(told) = self.told.as_ref().filter(|told| told.owner == *owner) else {
            return (!is_idle).then_some(now);
        };
        // What the owner counts: what it was told, and what it has granted since.
        let taken = told.content.taken.saturating_add(told.granted);
        let wanted = told.content.wanted.saturating_sub(told.granted);
        let is_urgent = content.taken != taken
            || wanted < content.wanted
            || told.content.prefill < content.prefill
            || (0 < wanted && content.wanted == 0)
            || (0 < wanted && content.urgency.rank != told.content.urgency.rank);
        let counts = |content: &Use| (content.taken, content.prefill, content.wanted);
        let interval = match () {
            () if 0 < content.wanted || is_idle => REPEAT_INTERVAL,
            () if counts(&content) != counts(&told.content) => DEFERRED_INTERVAL,
            () => REFRESH_INTERVAL,
        };
        // That nothing is used any more is told twice, in case the first message is lost.
        match is_idle && told.is_repeated {
            _ if is_urgent => Some(now),
            true => None,
            false => Some(told.at + interval),
        }
    }

    /// When this host's use is to be recorded in its own ledger, as the owner; `None` if nothing is used.
    pub fn record_at(&self, now: Moment) -> Option<Moment> {
        let is_idle = self.in_flight == 0 && self.grants == 0 && self.want.slots == 0;
        match is_idle {
            true if self.is_idle() => None,
            true => Some(now),
            false => Some(now + REFRESH_INTERVAL),
        }
    }

    /// Whether it changes with time alone: a granted slot is returned, and a wanted one is asked for
    /// until the owner answers.
    pub fn is_active(&self) -> bool {
        0 < self.grants || 0 < self.want.slots || self.unanswered_since.is_some()
    }

    /// Whether this many requests and prompt tokens were set last.
    pub fn has_use(&self, in_flight: u32, prefill: u32) -> bool {
        (self.in_flight, self.prefill) == (in_flight, prefill)
    }

    /// Whether this was set as wanted last.
    pub fn has_want(&self, want: &Want) -> bool {
        self.want == *want
    }

    /// Records what was told to an owner. It answers what wants a slot.
    pub fn record_told(&mut self, owner: &host::Id, content: Use, now: Moment) {
        match content.wanted {
            0 => self.unanswered_since = None,
            _ => _ = self.unanswered_since.get_or_insert(now),
        }
        let is_same =
            |told: &Told| told.owner == *owner && told.content == content && told.granted == 0;
        let is_repeated = self.told.as_ref().is_some_and(is_same);
        self.told = Some(Told { owner: owner.clone(), content, at: now, granted: 0, is_repeated });
    }

    /// Whether nothing of the server is used, wanted or told.
    pub fn is_idle(&self) -> bool {
        let is_told_idle = self.told.as_ref().is_none_or(|told| {
            told.is_repeated && told.content.taken == 0 && told.content.wanted == 0
        });
        self.in_flight == 0 && self.grants == 0 && self.want.slots == 0 && is_told_idle
    }
}
