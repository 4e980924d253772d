//! Free capacity and expected times for requests, over all servers that have what a request needs.

use types::prelude::*;

use super::{Requirements, Traffic, criteria};
use crate::{
    admit::Outlook,
    route::{self, Choice, Decision, DestinationIndex, Index},
};

impl Traffic {
    /// Returns how many more requests for this model or group may be sent now.
    pub fn room(&self, wanted: DestinationIndex, now: Moment) -> u32 {
        let pool = self.table.pool(wanted);
        let open: u32 = self.usable(wanted, now).map(|server| self.room_on(server, pool)).sum();
        open.saturating_sub(self.reserved.get(&pool).copied().unwrap_or(0))
    }

    /// Returns how many more requests may be sent to a server: within this host's limit, and within
    /// the capacity that the requests of all hosts together leave free there.
    pub(super) fn room_on(&self, server: Index, pool: DestinationIndex) -> u32 {
        self.limiters.room(server, pool).min(self.table.view(server).spare())
    }

    /// Returns what a request can expect; `None` if no server has what it needs, not even a
    /// suspected one that may be tried later.
    pub(super) fn outlook(&self, requirements: &Requirements, now: Moment) -> Option<Outlook> {
        let wanted = requirements.work.wanted;
        let pool = requirements.work.pool;
        let has_room = |server| 0 < self.room_on(server, pool);
        match route::choose(&self.table, &self.hints, &criteria(requirements), now, has_room) {
            Decision::Send(choice) | Decision::Full(choice) => {
                Some(self.outlook_at(wanted, &choice, requirements.prompt_tokens, now))
            }
            Decision::Unready => self.outlook_of_suspects(wanted, now),
        }
    }

    /// Returns what a request can expect whose prompt takes no time to process.
    pub(super) fn plain_outlook(&self, wanted: DestinationIndex, now: Moment) -> Outlook {
        let best = self
            .usable(wanted, now)
            .map(|server| {
                let round_trip = self.table.distance(server) * 2;
                let first_token = self.table.estimate(server, 0, now).total() + round_trip;
                Choice { server, first_token, cached_tokens: 0 }
            })
            .min_by_key(|choice| (choice.first_token, choice.server));
        match best {
            Some(choice) => self.outlook_at(wanted, &choice, 0, now),
            None => self.outlook_of_suspects(wanted, now).unwrap_or_default(),
        }
    }

    fn outlook_at(
        &self,
        wanted: DestinationIndex,
        choice: &Choice,
        tokens: u32,
        now: Moment,
    ) -> Outlook {
        let pool = self.table.pool(wanted);
        let (servers, hold) = self
            .usable(wanted, now)
            .fold((0, Duration::ZERO), |(n, hold), s| (n + 1, hold + self.table.view(s).hold(now)));
        let in_flight = self
            .usable(wanted, now)
            .map(|server| self.limiters.in_flight(server, pool))
            .sum::<u32>()
            .saturating_add(self.reserved.get(&pool).copied().unwrap_or(0));
        let round_trip = self.table.distance(choice.server) * 2;
        Outlook {
            room: self.room(wanted, now),
            in_flight,
            hold: hold / servers.max(1),
            first_token: choice.first_token,
            unloaded: self.table.view(choice.server).unloaded(tokens) + round_trip,
        }
    }

    fn outlook_of_suspects(&self, wanted: DestinationIndex, now: Moment) -> Option<Outlook> {
        let until = self.earliest_trial(wanted)?;
        Some(Outlook { first_token: until.saturating_sub(now), ..Outlook::default() })
    }

    /// Returns when the first suspected server that has what is wanted may be tried; `None` if
    /// there is no such server.
    pub(super) fn earliest_trial(&self, wanted: DestinationIndex) -> Option<Moment> {
        self.table
            .replicas(wanted)
            .iter()
            .filter_map(|r| self.table.suspected_until(r.server))
            .min()
    }

    fn usable(&self, wanted: DestinationIndex, now: Moment) -> impl Iterator<Item = Index> {
        self.table
            .replicas(wanted)
            .iter()
            .map(|replica| replica.server)
            .filter(move |server| self.table.takes_work(*server, now))
    }
}
