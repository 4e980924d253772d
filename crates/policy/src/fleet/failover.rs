//! Ways around relays that do not respond.
//!
//! A relay counts as absent only after a timeout of seconds, since all hosts have to agree on whose
//! tables make up their sums. Urgent notices and changes of the servers can't wait for that. Each host therefore
//! sets a host aside that did not acknowledge a notice or answer a call, and uses the next one of
//! its group in its place:
//!
//! - a notice for a group goes to the next host of that group, which forwards it to the group;
//! - the origin of a notice sends it to the other groups itself if its own relay does not respond;
//! - a host asks the next host of its group for changes of the servers, and the store if it is the
//!   next one itself.
//!
//! Hosts need not agree on who is set aside: a notice that arrives twice counts once. Only notices on
//! which hosts must act within a time take these ways: the others are most of the traffic, and
//! digests share a budget of bytes with them.

use std::collections::BTreeSet;

use types::{host, time::Moment};

use super::{
    Fleet, Member, Tier,
    notice::{Audience, Target},
    wire::{Body, Item, Run},
};

impl Fleet {
    /// Records that a host did not respond to a call. It is set aside until packets from it arrive
    /// again.
    pub fn report_unresponsive(&mut self, now: Moment, id: &host::Id) {
        if let Some(peer) = self.hosts.get_mut(id) {
            peer.unresponsive_at = Some(now);
        }
    }

    /// Returns this host's position in the exchange of digests. While its group's relay does not
    /// respond, the next host of the group is in its place, which may be this one.
    pub fn tier(&self) -> Tier {
        if !self.fanout.is_grouped() {
            return Tier::Equal;
        }
        let Some(first) = self.first_responsive(self.fanout.group()) else { return Tier::Equal };
        match self.hosts.get(first) {
            Some(peer) => Tier::Member(peer.member.clone()),
            None => Tier::Relay,
        }
    }

    /// Returns the relays of the other groups, or the hosts in their place; none in a deployment that
    /// is not grouped.
    pub fn other_relays(&self) -> Vec<Member> {
        let firsts = self.fanout.other_groups().filter_map(|group| self.first_responsive(group));
        firsts.filter_map(|id| Some(self.hosts.get(id)?.member.clone())).collect()
    }

    /// Forwards a notice from another host: a relay to all its targets, and any host to its group
    /// if the sender is not of the group, and thus took this host for the relay.
    pub(super) fn forward(&mut self, now: Moment, from: Run, item: &Item) {
        if self.fanout.is_relay() {
            return self.multicast(now, item, Some(from));
        }
        let group = self.fanout.group();
        if Audience::of(&item.notice) != Audience::All {
            return;
        }
        let is_in_group =
            self.hosts.by_run(from).is_none_or(|peer| group.contains(&peer.member.id));
        if !is_in_group {
            let targets = group.iter().filter_map(|id| self.locate(id)).collect();
            self.push_to(now, targets, item, Some(from));
        }
    }

    /// Sends a notice to all targets of digests, except to its origin and to the host that
    /// forwarded it, and to other groups if this host has to.
    pub(super) fn multicast(&mut self, now: Moment, item: &Item, except: Option<Run>) {
        let mut targets: BTreeSet<_> =
            self.fanout.targets().filter_map(|(id, _)| self.locate(id)).collect();
        let is_origin = item.origin == self.member.run();
        let enters_groups = self.fanout.is_relay() || is_origin && !self.has_responsive_relay();
        if enters_groups && Audience::of(&item.notice) == Audience::All {
            targets.extend(self.entries());
        }
        self.push_to(now, targets, item, except);
    }

    /// Sends the notices that are due, and sends urgent ones around hosts that did not acknowledge
    /// them.
    pub(super) fn flush_notices(&mut self, now: Moment) {
        loop {
            for (address, items) in self.outbox.due(now) {
                self.put(address, Body::Notices(items));
            }
            let unanswered = self.outbox.take_unanswered();
            if unanswered.is_empty() {
                return;
            }
            unanswered.iter().for_each(|(run, item)| self.fail_over(now, *run, item));
        }
    }

    /// Sends a notice around the host that did not acknowledge it.
    fn fail_over(&mut self, now: Moment, run: Run, item: &Item) {
        let Some(id) = self.hosts.by_run(run).map(|peer| peer.member.id.clone()) else { return };
        self.report_unresponsive(now, &id);
        let is_origin = item.origin == self.member.run();
        let target = match self.fanout.group_of(&id) {
            Some(group) => self.first_responsive(group).and_then(|id| self.locate(id)),
            None if is_origin && self.fanout.relay() == Some(&id) => {
                return self.push_to(now, self.entries(), item, None);
            }
            None => None,
        };
        self.push_to(now, target.into_iter().collect(), item, None);
    }

    /// Returns the hosts through which notices enter the other groups.
    fn entries(&self) -> BTreeSet<Target> {
        let firsts = self.fanout.other_groups().filter_map(|group| self.first_responsive(group));
        firsts.filter_map(|id| self.locate(id)).collect()
    }

    /// Whether this host's group has a relay that responds.
    fn has_responsive_relay(&self) -> bool {
        let relay = self.fanout.relay().and_then(|id| self.hosts.get(id));
        relay.is_none_or(|peer| peer.is_responsive())
    }

    /// Returns the first host of a ranked group that responds; this host counts as responding.
    fn first_responsive<'a>(&self, group: &'a [host::Id]) -> Option<&'a host::Id> {
        let is_responsive = |id: &&host::Id| {
            **id == self.member.id || self.hosts.get(id).is_some_and(|peer| peer.is_responsive())
        };
        group.iter().find(is_responsive)
    }

    fn push_to(
        &mut self,
        now: Moment,
        targets: BTreeSet<Target>,
        item: &Item,
        except: Option<Run>,
    ) {
        let audience = Audience::of(&item.notice);
        let is_wanted = |run| Some(run) != except && run != item.origin;
        for target in targets.into_iter().filter(|target| is_wanted(target.run)) {
            self.outbox.push(now, target, item.clone(), audience);
        }
    }
}
