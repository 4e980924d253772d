//! What arrives.

use std::{net::SocketAddr, time::Duration};

use types::time::Moment;

use super::{
    Fleet, ReceivedNotice,
    hosts::Word,
    link::Debt,
    notice::{self, Notice, Target},
    tell::HELLO_BYTES,
    view::View,
    wire::{self, Body, Digest, Hello, Item, Mark, Run, Wish},
};

/// Pause between two greetings to one host, and between two answers.
const GREETING_PAUSE: Duration = Duration::from_millis(200);

/// Most runs whose notices are told apart.
const MOST_WINDOWS: usize = 4_096;

impl Fleet {
    /// Takes a datagram; the notices in it that are new here.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) -> Vec<ReceivedNotice> {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let Some(packet) = wire::decode(bytes) else {
            self.counts.unreadable += 1;
            return Vec::new();
        };
        let (run, count) = (packet.run, packet.count);
        if run == self.member.run() {
            return Vec::new();
        }
        match packet.body {
            Body::Digest(digest) => {
                if self.take_digest(now, from, run, count, digest)
                    && let Some(peer) = self.hosts.by_run_mut(run)
                {
                    peer.asked = Some(now);
                }
            }
            Body::Answer(digest) => {
                self.take_digest(now, from, run, count, digest);
            }
            Body::Here if self.hosts.hear(now, run, count) == Word::Unknown => {
                self.on_stranger(now, from);
            }
            Body::Here => {}
            Body::Hello(hello) if hello.member.id == self.member.id => {}
            Body::Hello(hello) => self.on_hello(now, run, count, hello),
            Body::Notices(items) => return self.on_notices(now, from, run, items),
            Body::Acks(taken) => self.outbox.acknowledge(run, &taken),
            Body::Bye => self.on_bye(now, run, count),
            Body::Once(notice) => return self.on_once(now, from, run, notice),
        }
        Vec::new()
    }

    /// Takes a digest, if it is new and meant for this run.
    fn take_digest(
        &mut self,
        now: Moment,
        from: SocketAddr,
        run: Run,
        count: u32,
        digest: Digest,
    ) -> bool {
        match self.hosts.hear(now, run, count) {
            Word::Old => return false,
            Word::Unknown => {
                self.on_stranger(now, from);
                return false;
            }
            Word::New => {}
        }
        let is_meant = digest.to == wire::tail(self.member.run());
        let Some(peer) = self.hosts.by_run_mut(run) else { return false };
        if !is_meant {
            // It takes this host for a run of it that is over.
            let is_soon = peer.greeted.is_some_and(|at| now < at + GREETING_PAUSE);
            peer.greeted = if is_soon { peer.greeted } else { Some(now) };
            let address = peer.member.address;
            if !is_soon {
                self.greet(address, Wish::Nothing);
            }
            return false;
        }
        for (scope, mark) in digest.marks {
            peer.link.acknowledge(now, scope, mark);
        }
        for table in digest.tables {
            let scope = table.scope;
            let view = peer.views.entry(scope).or_insert_with(View::default);
            let news = view.take(now, table);
            let debt = match view.mark() {
                Mark::Gap(_) => Debt::Gap,
                Mark::Read(_) => Debt::Receipt,
            };
            peer.link.debt = peer.link.debt.max(debt);
            self.sums.take(&peer.member.id, scope, news);
        }
        true
    }

    fn on_stranger(&mut self, now: Moment, from: SocketAddr) {
        if self.hosts.has_address(from) {
            // The host that is known there runs anew.
            self.greet(from, Wish::Identity);
        } else {
            self.candidates.try_out(now, from);
        }
    }

    fn on_hello(&mut self, now: Moment, run: Run, count: u32, hello: Hello) {
        if run != hello.member.run() || self.hosts.hear(now, run, count) == Word::Old {
            return;
        }
        let id = hello.member.id.clone();
        let is_first = self.hosts.by_run(run).is_none();
        if let Some(replaced) = self.hosts.learn(now, hello.member, count) {
            self.outbox.abandon(replaced);
        }
        for other in hello.known.into_iter().filter(|other| other.id != self.member.id) {
            if self.hosts.by_run(other.run()).is_none() {
                self.candidates.try_out(now, other.address);
            }
        }
        if hello.wish == Wish::Nothing || !(is_first || self.may_answer(now)) {
            return;
        }
        let Some(peer) = self.hosts.get_mut(&id) else { return };
        if peer.answered.is_some_and(|at| now < at + GREETING_PAUSE) {
            return;
        }
        peer.answered = Some(now);
        let address = peer.member.address;
        match hello.wish {
            Wish::Everyone => self.introduce_others(address),
            Wish::Identity | Wish::Nothing => self.greet(address, Wish::Nothing),
        }
        if !is_first {
            self.answer_purse.spend(HELLO_BYTES);
        }
    }

    /// Takes a notice that is sent once. It may be older than what was heard since: whoever reads it tells.
    fn on_once(
        &mut self,
        now: Moment,
        from: SocketAddr,
        run: Run,
        notice: Notice,
    ) -> Vec<ReceivedNotice> {
        let Some(peer) = self.hosts.by_run(run) else {
            self.on_stranger(now, from);
            return Vec::new();
        };
        vec![ReceivedNotice { origin: Some(peer.member.id.clone()), via: from, notice }]
    }

    fn on_bye(&mut self, now: Moment, run: Run, count: u32) {
        if self.hosts.hear(now, run, count) != Word::New {
            return;
        }
        let Some(id) = self.hosts.by_run(run).map(|peer| peer.member.id.clone()) else { return };
        self.hosts.remove(now, &id);
        self.outbox.abandon(run);
    }

    fn on_notices(
        &mut self,
        now: Moment,
        from: SocketAddr,
        run: Run,
        items: Vec<Item>,
    ) -> Vec<ReceivedNotice> {
        let taken = items.iter().map(|item| (item.origin, item.number));
        for lot in notice::pack(taken) {
            self.put(from, Body::Acks(lot));
        }
        let mut heard = Vec::new();
        for item in items {
            if item.origin == self.member.run() || !self.is_first(now, &item) {
                continue;
            }
            let origin = self.hosts.by_run(item.origin).map(|peer| peer.member.id.clone());
            heard.push(ReceivedNotice { origin, via: from, notice: item.notice.clone() });
            self.pass_on(now, run, &item);
        }
        self.flush_notices(now);
        heard
    }

    fn is_first(&mut self, now: Moment, item: &Item) -> bool {
        if self.windows.len() >= MOST_WINDOWS {
            let horizon = self.settings.forget_after;
            self.windows.retain(|_, window| now < window.used + horizon);
        }
        let window = self.windows.entry(item.origin).or_default();
        window.used = now;
        window.is_first(item.number)
    }

    /// Where a host listens, and its run.
    pub(super) fn locate(&self, id: &str) -> Option<Target> {
        let member = &self.hosts.get(id)?.member;
        Some(Target { run: member.run(), address: member.address })
    }
}
