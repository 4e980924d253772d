//! Exchange of heartbeats: sending, receiving and missing answers.

use std::collections::BTreeMap;

use types::{
    host::{self, Host},
    time::Moment,
};

use super::{
    Action, Change, Gossip, Heartbeat, INTRODUCTION_TIME, ISOLATION_BEATS, PAUSE_TICKS, PUSH_BURST,
    PUSH_REFILL_INTERVAL, Probe, Status, Topic, Update, pick,
};
use crate::member::{Epoch, Health, Standing, heartbeat::InFlight, hosts::Member, watch};

/// Of this many heartbeats, one goes to a host that is suspected or gone.
const BEATS_PER_RETRY: u64 = 4;

/// Bytes reserved for the clock's stamp, which is set when the heartbeat is sent.
const STAMP_BYTES: usize = "\"stamp\":,".len() + 20;

/// Unanswered heartbeats after which other hosts are asked to probe the peer.
const BEATS_BEFORE_PROBE: u32 = 3;

impl Gossip {
    /// Expires members and returns the heartbeats that are due; called once per pace.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        if self.superseded {
            return vec![Action::Superseded];
        }
        self.detect_pause(now);
        for status in self.hosts.expire(now, &self.settings) {
            self.gossip_unless_isolated(status);
        }
        self.servers.expire(now);
        self.renew_view(now);
        self.renew_rank();
        self.counter += 1;
        let silent =
            self.counter.is_multiple_of(BEATS_PER_RETRY).then(|| self.draw_silent()).flatten();
        let target = silent.or_else(|| self.view.next());
        let is_large = self.settings.small_fleet < self.hosts.present().count() + 1;
        let watcher = is_large.then(|| self.rank.watched_by(&self.me.id).cloned()).flatten();
        let targets = target.into_iter().chain(watcher);
        targets.filter_map(|id| self.send(now, &id)).collect()
    }

    /// Heartbeat for a host of which only the address is known.
    pub fn hello(&mut self, now: Moment) -> Heartbeat {
        let mut heartbeat = self.heartbeat(now, "");
        heartbeat.from.host = Some(Box::new(self.me.clone()));
        heartbeat.introduce = true;
        heartbeat
    }

    /// Processes a heartbeat and returns the answer to it.
    pub fn receive(&mut self, now: Moment, heartbeat: &Heartbeat) -> (Heartbeat, Vec<Action>) {
        let actions = self.absorb(now, heartbeat);
        let mut answer = self.heartbeat(now, &heartbeat.from.id);
        answer.introduce = self.hosts.get(&heartbeat.from.id).is_none();
        if heartbeat.introduce {
            answer.from.host = Some(Box::new(self.me.clone()));
        }
        (answer, actions)
    }

    /// Processes the answer to a heartbeat.
    pub fn answer(&mut self, now: Moment, answer: &Heartbeat) -> Vec<Action> {
        if answer.introduce {
            self.introduce_to.insert(answer.from.id.clone());
        }
        self.absorb(now, answer)
    }

    /// Records that a heartbeat got no answer.
    pub fn heartbeat_failed(&mut self, now: Moment, id: &str) -> Vec<Action> {
        let Some(member) = self.hosts.get(id) else { return Vec::new() };
        if member.health != Health::Live {
            return Vec::new();
        }
        let target = member.host.clone();
        let tries = self.unanswered.entry(target.id.clone()).or_default();
        *tries += 1;
        if *tries < BEATS_BEFORE_PROBE {
            return self.send(now, id).into_iter().collect();
        }
        self.unanswered.remove(id);
        self.failed_in_a_row = self.failed_in_a_row.saturating_add(1);
        self.probe(now, &target)
    }

    /// Records the result of an indirect probe; the target is suspected when all probes failed.
    pub fn probed(&mut self, now: Moment, target: &str, probe: Probe) -> Vec<Action> {
        let Some(outstanding) = self.probing.get_mut(target) else { return Vec::new() };
        *outstanding = outstanding.saturating_sub(1);
        let last = *outstanding == 0;
        if probe == Probe::Reached || last {
            self.probing.remove(target);
        }
        if probe == Probe::Silent && last {
            self.suspect(now, target);
        }
        Vec::new()
    }

    /// Sends urgent updates to a few peers, unless the push rate is exhausted.
    pub(super) fn push(&mut self, now: Moment) -> Vec<Action> {
        self.refill(now);
        if self.push_tokens == 0 {
            return Vec::new();
        }
        self.push_tokens -= 1;
        self.renew_view(now);
        self.counter += 1;
        let peers = self.view.draw(self.seed, self.counter, self.settings.fanout);
        peers.iter().filter_map(|id| self.send(now, id)).collect()
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.last_refill);
        let earned = (passed.as_millis() / PUSH_REFILL_INTERVAL.as_millis()) as u32;
        self.push_tokens = self.push_tokens.saturating_add(earned).min(PUSH_BURST);
        self.last_refill += PUSH_REFILL_INTERVAL * earned;
    }

    fn renew_view(&mut self, now: Moment) {
        self.view.renew(now, &self.hosts, &self.me.zone, self.seed, &self.settings);
    }

    fn renew_rank(&mut self) {
        if self.rank_generation == Some(self.hosts.generation()) {
            return;
        }
        let live = self.hosts.iter().filter(|member| member.standing() == Standing::Live);
        let me = (!self.leaving).then_some(&self.me);
        let hosts = live.map(|member| &member.host).chain(me);
        self.rank = watch::Rank::new(hosts.map(|host| (&host.id, &host.zone)));
        self.rank_generation = Some(self.hosts.generation());
    }

    fn detect_pause(&mut self, now: Moment) {
        if self.last_tick + self.pace() * PAUSE_TICKS < now {
            self.unanswered.clear();
            self.probing.clear();
        }
        self.last_tick = now;
    }

    fn draw_silent(&self) -> Option<host::Id> {
        let silent: Vec<&Member> =
            self.hosts.iter().filter(|member| member.health != Health::Live).collect();
        if silent.is_empty() {
            return None;
        }
        let position = pick::index(self.seed, self.counter, silent.len());
        silent.get(position).map(|member| member.host.id.clone())
    }

    fn send(&mut self, now: Moment, id: &str) -> Option<Action> {
        let to = self.hosts.get(id)?.host.clone();
        let heartbeat = self.heartbeat(now, id);
        Some(Action::Send { to, heartbeat })
    }

    fn probe(&mut self, now: Moment, target: &Host) -> Vec<Action> {
        if self.probing.contains_key(&target.id) {
            return Vec::new();
        }
        self.counter += 1;
        let drawn = self.view.draw(self.seed, self.counter, self.settings.indirect_probes + 1);
        let helpers: Vec<Host> = drawn
            .iter()
            .filter(|id| **id != target.id)
            .filter_map(|id| self.hosts.get(id))
            .filter(|member| member.health == Health::Live)
            .take(self.settings.indirect_probes)
            .map(|member| member.host.clone())
            .collect();
        if helpers.is_empty() {
            self.suspect(now, &target.id);
            return Vec::new();
        }
        self.probing.insert(target.id.clone(), helpers.len());
        helpers.into_iter().map(|via| Action::Probe { via, target: target.clone() }).collect()
    }

    fn suspect(&mut self, now: Moment, id: &str) {
        if let Some(status) = self.hosts.suspect(now, id) {
            self.gossip_unless_isolated(status);
        }
    }

    fn gossip_unless_isolated(&mut self, status: Status) {
        if self.failed_in_a_row < ISOLATION_BEATS {
            self.queue.push(Update::Host(status));
        }
    }

    fn heartbeat(&mut self, now: Moment, to: &str) -> Heartbeat {
        let mut from = self.status();
        let introduced = self.introduce_to.remove(to);
        if introduced || now < self.started_at + INTRODUCTION_TIME {
            from.host = Some(Box::new(self.me.clone()));
        }
        let age = |proof| now.saturating_sub(proof).as_millis() as u64;
        let mut heartbeat = Heartbeat {
            from,
            stamp: 0,
            number: self.version(Topic::Config),
            quarantine: self.version(Topic::Quarantine),
            platform_ms: self.platform_proof.map(age),
            accused: self.hosts.get(to).and_then(Member::accusation),
            introduce: false,
            updates: Vec::new(),
            in_flight: self.own_digest(),
        };
        let used = serde_json::to_string(&heartbeat).map_or(0, |text| text.len()) + STAMP_BYTES;
        let left = self.settings.message_bytes.saturating_sub(used);
        heartbeat.updates = self.queue.take(left, self.hosts.present().count() + 1);
        heartbeat
    }

    fn own_digest(&mut self) -> Vec<InFlight> {
        let count = self.own_in_flight.len().min(self.settings.digest_entries);
        let digest = self
            .own_in_flight
            .iter()
            .cycle()
            .skip(self.digest_cursor)
            .take(count)
            .cloned()
            .collect();
        self.digest_cursor =
            (self.digest_cursor + count).checked_rem(self.own_in_flight.len()).unwrap_or_default();
        digest
    }

    fn absorb(&mut self, now: Moment, received: &Heartbeat) -> Vec<Action> {
        if received.from.id == self.me.id {
            return self.refute(&received.from);
        }
        self.failed_in_a_row = 0;
        self.unanswered.remove(&received.from.id);
        self.probing.remove(&received.from.id);
        let mut actions = Vec::new();
        let mut urgent = false;
        let versions = BTreeMap::from([
            (Topic::Config, received.number),
            (Topic::Quarantine, received.quarantine),
        ]);
        let change = self.hosts.record_answer(now, &received.from, &versions);
        urgent |= change.is_urgent();
        if change != Change::None && self.hosts.has_list() {
            self.queue.push(Update::Host(received.from.clone()));
        }
        if let Some(status) = &received.accused {
            actions.extend(self.refute(status));
        }
        if let Some(age) = received.platform_ms {
            let at = now.saturating_sub(std::time::Duration::from_millis(age));
            self.platform_proof = self.platform_proof.max(Some(at));
        }
        for update in &received.updates {
            urgent |= self.absorb_update(now, update, &mut actions);
        }
        let digest = self.peers_in_flight.entry(received.from.id.clone()).or_default();
        digest.take(now, &received.in_flight, self.settings.digest_entries);
        if let Some(member) = self.hosts.get(&received.from.id) {
            let from = member.host.clone();
            let fetches = versions.iter().map(|(topic, number)| (*topic, from.clone(), *number));
            actions.extend(
                fetches.filter_map(|(topic, from, number)| self.fetch(now, topic, from, number)),
            );
        }
        if urgent {
            actions.extend(self.push(now));
        }
        actions
    }

    fn absorb_update(&mut self, now: Moment, update: &Update, actions: &mut Vec<Action>) -> bool {
        match update {
            Update::Host(status) if status.id == self.me.id => {
                actions.extend(self.refute(status));
                false
            }
            Update::Host(status) => {
                let change = self.hosts.apply_update(now, status, self.settings.answer_validity);
                if change != Change::None {
                    self.queue.push(update.clone());
                }
                change.is_urgent()
            }
            Update::Server(observation) => {
                let newly = observation.observer != self.me.id
                    && self.servers.apply_update(now, observation);
                if newly {
                    self.queue.push(update.clone());
                }
                newly
            }
        }
    }

    /// Handles a status about this host itself: stops if a later incarnation is running, and
    /// refutes a suspicion by raising the epoch above it.
    fn refute(&mut self, status: &Status) -> Vec<Action> {
        if self.epoch.run < status.epoch.run {
            self.superseded = true;
            return vec![Action::Superseded];
        }
        let accused = status.health != Health::Live && self.epoch <= status.epoch;
        if accused {
            self.epoch = Epoch { run: self.epoch.run, refuted: status.epoch.refuted + 1 };
            let status = self.status();
            self.queue.push(Update::Host(status));
        }
        Vec::new()
    }
}
