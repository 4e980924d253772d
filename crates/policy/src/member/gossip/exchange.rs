//! Heartbeats, answers and silences.

use std::collections::BTreeMap;

use types::{
    host::{self, Host},
    time::Moment,
};

use super::{
    ALONE, Action, Change, Gossip, Heartbeat, INTRODUCTION, News, PAUSED_PACES, PUSH_REFILL,
    PUSHES, Probe, Topic, Word, pick,
};
use crate::member::{Epoch, Health, Standing, heartbeat::InFlight, hosts::Member, watch};

/// Of this many beats, one tries a host that is suspected or was given up.
const SILENT_EVERY: u64 = 4;

/// Room kept for the clock's stamp, which is set when a heartbeat is sent.
const STAMP_BYTES: usize = "\"stamp\":,".len() + 20;

/// Beats without an answer after which others are asked to try.
const TRIES: u32 = 3;

impl Gossip {
    /// Does what is due once in each pace.
    pub fn tick(&mut self, now: Moment) -> Vec<Action> {
        if self.superseded {
            return vec![Action::Superseded];
        }
        self.note_pause(now);
        for word in self.hosts.expire(now, &self.settings) {
            self.tell_unless_alone(word);
        }
        self.servers.expire(now);
        self.renew_view(now);
        self.renew_rank();
        self.counter += 1;
        let silent =
            self.counter.is_multiple_of(SILENT_EVERY).then(|| self.draw_silent()).flatten();
        let target = silent.or_else(|| self.view.next());
        let is_large = self.settings.small < self.hosts.present().count() + 1;
        let watcher = is_large.then(|| self.rank.watched_by(&self.me.id).cloned()).flatten();
        let targets = target.into_iter().chain(watcher);
        targets.filter_map(|id| self.send(now, &id)).collect()
    }

    /// A heartbeat for a host of which only the address is known.
    pub fn hello(&mut self, now: Moment) -> Heartbeat {
        let mut heartbeat = self.heartbeat(now, "");
        heartbeat.from.host = Some(Box::new(self.me.clone()));
        heartbeat.introduce = true;
        heartbeat
    }

    /// Takes in a heartbeat; gives the answer to it.
    pub fn receive(&mut self, now: Moment, heartbeat: &Heartbeat) -> (Heartbeat, Vec<Action>) {
        let actions = self.absorb(now, heartbeat);
        let mut answer = self.heartbeat(now, &heartbeat.from.id);
        answer.introduce = self.hosts.get(&heartbeat.from.id).is_none();
        if heartbeat.introduce {
            answer.from.host = Some(Box::new(self.me.clone()));
        }
        (answer, actions)
    }

    /// Takes in the answer to a heartbeat.
    pub fn answer(&mut self, now: Moment, answer: &Heartbeat) -> Vec<Action> {
        if answer.introduce {
            self.introduce_to.insert(answer.from.id.clone());
        }
        self.absorb(now, answer)
    }

    /// Notes that a heartbeat got no answer.
    pub fn silence(&mut self, now: Moment, id: &str) -> Vec<Action> {
        let Some(member) = self.hosts.get(id) else { return Vec::new() };
        if member.health != Health::Live {
            return Vec::new();
        }
        let target = member.host.clone();
        let tries = self.unanswered.entry(target.id.clone()).or_default();
        *tries += 1;
        if *tries < TRIES {
            return self.send(now, id).into_iter().collect();
        }
        self.unanswered.remove(id);
        self.alone = self.alone.saturating_add(1);
        self.probe(now, &target)
    }

    /// Takes in what a host that was asked to try another found.
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

    /// Sends urgent news on to a few peers, unless that was done too often of late.
    pub(super) fn push(&mut self, now: Moment) -> Vec<Action> {
        self.refill(now);
        if self.pushes == 0 {
            return Vec::new();
        }
        self.pushes -= 1;
        self.renew_view(now);
        self.counter += 1;
        let peers = self.view.draw(self.seed, self.counter, self.settings.fanout);
        peers.iter().filter_map(|id| self.send(now, id)).collect()
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.refilled);
        let earned = (passed.as_millis() / PUSH_REFILL.as_millis()) as u32;
        self.pushes = self.pushes.saturating_add(earned).min(PUSHES);
        self.refilled += PUSH_REFILL * earned;
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

    fn note_pause(&mut self, now: Moment) {
        if self.ticked + self.pace() * PAUSED_PACES < now {
            self.unanswered.clear();
            self.probing.clear();
        }
        self.ticked = now;
    }

    fn draw_silent(&self) -> Option<host::Id> {
        let silent: Vec<&Member> =
            self.hosts.iter().filter(|member| member.health != Health::Live).collect();
        if silent.is_empty() {
            return None;
        }
        let place = pick::index(self.seed, self.counter, silent.len());
        silent.get(place).map(|member| member.host.id.clone())
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
        let drawn = self.view.draw(self.seed, self.counter, self.settings.indirect + 1);
        let helpers: Vec<Host> = drawn
            .iter()
            .filter(|id| **id != target.id)
            .filter_map(|id| self.hosts.get(id))
            .filter(|member| member.health == Health::Live)
            .take(self.settings.indirect)
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
        if let Some(word) = self.hosts.unreachable(now, id) {
            self.tell_unless_alone(word);
        }
    }

    fn tell_unless_alone(&mut self, word: Word) {
        if self.alone < ALONE {
            self.queue.push(News::Host(word));
        }
    }

    fn heartbeat(&mut self, now: Moment, to: &str) -> Heartbeat {
        let mut from = self.word();
        let introduced = self.introduce_to.remove(to);
        if introduced || now < self.started + INTRODUCTION {
            from.host = Some(Box::new(self.me.clone()));
        }
        let age = |proof| now.saturating_sub(proof).as_millis() as u64;
        let mut heartbeat = Heartbeat {
            from,
            stamp: 0,
            number: self.version(Topic::Config),
            quarantine: self.version(Topic::Quarantine),
            platform_ms: self.proof.map(age),
            accused: self.hosts.get(to).and_then(Member::accusation),
            introduce: false,
            news: Vec::new(),
            in_flight: self.own_digest(),
        };
        let used = serde_json::to_string(&heartbeat).map_or(0, |text| text.len()) + STAMP_BYTES;
        let left = self.settings.message_bytes.saturating_sub(used);
        heartbeat.news = self.queue.take(left, self.hosts.present().count() + 1);
        heartbeat
    }

    fn own_digest(&mut self) -> Vec<InFlight> {
        let count = self.own.len().min(self.settings.digest);
        let digest = self.own.iter().cycle().skip(self.cursor).take(count).cloned().collect();
        self.cursor = (self.cursor + count).checked_rem(self.own.len()).unwrap_or_default();
        digest
    }

    fn absorb(&mut self, now: Moment, heard: &Heartbeat) -> Vec<Action> {
        if heard.from.id == self.me.id {
            return self.refute(&heard.from);
        }
        self.alone = 0;
        self.unanswered.remove(&heard.from.id);
        self.probing.remove(&heard.from.id);
        let mut actions = Vec::new();
        let mut urgent = false;
        let held =
            BTreeMap::from([(Topic::Config, heard.number), (Topic::Quarantine, heard.quarantine)]);
        let change = self.hosts.answered(now, &heard.from, &held);
        urgent |= change.is_urgent();
        if change != Change::None && self.hosts.is_listed() {
            self.queue.push(News::Host(heard.from.clone()));
        }
        if let Some(word) = &heard.accused {
            actions.extend(self.refute(word));
        }
        if let Some(age) = heard.platform_ms {
            let at = now.saturating_sub(std::time::Duration::from_millis(age));
            self.proof = self.proof.max(Some(at));
        }
        for news in &heard.news {
            urgent |= self.absorb_news(now, news, &mut actions);
        }
        let digest = self.peers_in_flight.entry(heard.from.id.clone()).or_default();
        digest.take(now, &heard.in_flight, self.settings.digest);
        if let Some(member) = self.hosts.get(&heard.from.id) {
            let from = member.host.clone();
            let fetches = held.iter().map(|(topic, number)| (*topic, from.clone(), *number));
            actions.extend(
                fetches.filter_map(|(topic, from, number)| self.fetch(now, topic, from, number)),
            );
        }
        if urgent {
            actions.extend(self.push(now));
        }
        actions
    }

    fn absorb_news(&mut self, now: Moment, news: &News, actions: &mut Vec<Action>) -> bool {
        match news {
            News::Host(word) if word.id == self.me.id => {
                actions.extend(self.refute(word));
                false
            }
            News::Host(word) => {
                let change = self.hosts.told(now, word, self.settings.fresh);
                if change != Change::None {
                    self.queue.push(news.clone());
                }
                change.is_urgent()
            }
            News::Server(mark) => {
                let newly = mark.by != self.me.id && self.servers.told(now, mark);
                if newly {
                    self.queue.push(news.clone());
                }
                newly
            }
        }
    }

    /// Answers a word on this host itself: raises the epoch above a suspicion.
    fn refute(&mut self, word: &Word) -> Vec<Action> {
        if self.epoch.run < word.epoch.run {
            self.superseded = true;
            return vec![Action::Superseded];
        }
        let accused = word.health != Health::Live && self.epoch <= word.epoch;
        if accused {
            self.epoch = Epoch { run: self.epoch.run, refuted: word.epoch.refuted + 1 };
            let word = self.word();
            self.queue.push(News::Host(word));
        }
        Vec::new()
    }
}
