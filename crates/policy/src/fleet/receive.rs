//! Handling of received datagrams.

use std::{net::SocketAddr, time::Duration};

use types::time::Moment;

use super::{
    Envelope, Fleet,
    hosts::Freshness,
    link::PendingAck,
    notice::{self, Notice, Target},
    remote_table::RemoteTable,
    send::HELLO_BYTES,
    wire::{self, Body, Digest, Hello, Item, Mark, Reply, Run},
};

/// Least time between two greetings to one host, and between two answers to its greetings.
const GREETING_PAUSE: Duration = Duration::from_millis(200);

/// Most runs whose notices are deduplicated at a time; above it, idle ones are forgotten.
const MAX_WINDOWS: usize = 4_096;

impl Fleet {
    /// Takes a datagram, and returns the notices in it that are received for the first time.
    pub fn receive(&mut self, now: Moment, from: SocketAddr, bytes: &[u8]) -> Vec<Envelope> {
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
                    peer.last_digest = Some(now);
                }
            }
            Body::Answer(digest) => {
                self.take_digest(now, from, run, count, digest);
            }
            Body::Keepalive if self.hosts.observe(now, run, count) == Freshness::UnknownRun => {
                self.on_unknown_run(now, from);
            }
            Body::Keepalive => {}
            Body::Hello(hello) if hello.member.id == self.member.id => {}
            Body::Hello(hello) => self.on_hello(now, run, count, hello),
            Body::Notices(items) => return self.on_notices(now, from, run, items),
            Body::Acks(acked) => self.outbox.acknowledge(run, &acked),
            Body::Bye => self.on_bye(now, run, count),
            Body::OneShot(notice) => return self.on_one_shot(now, from, run, notice),
        }
        Vec::new()
    }

    /// Takes a digest; false if it is stale, from an unknown run, or meant for another run of this
    /// host.
    fn take_digest(
        &mut self,
        now: Moment,
        from: SocketAddr,
        run: Run,
        count: u32,
        digest: Digest,
    ) -> bool {
        match self.hosts.observe(now, run, count) {
            Freshness::Stale => return false,
            Freshness::UnknownRun => {
                self.on_unknown_run(now, from);
                return false;
            }
            Freshness::New => {}
        }
        let is_for_this_run = digest.to == wire::tail(self.member.run());
        let Some(peer) = self.hosts.by_run_mut(run) else { return false };
        if !is_for_this_run {
            // The sender still has an earlier run of this host registered.
            let is_recent = peer.last_greeting.is_some_and(|at| now < at + GREETING_PAUSE);
            peer.last_greeting = if is_recent { peer.last_greeting } else { Some(now) };
            let address = peer.member.address;
            if !is_recent {
                self.greet(address, Reply::Nothing);
            }
            return false;
        }
        for (scope, mark) in digest.marks {
            peer.link.acknowledge(now, scope, mark);
        }
        for delta in digest.deltas {
            let scope = delta.scope;
            let remote = peer.remote_tables.entry(scope).or_insert_with(RemoteTable::default);
            let increments = remote.merge(now, delta);
            let pending_ack = match remote.mark() {
                Mark::Gap(_) => PendingAck::Gap,
                Mark::Read(_) => PendingAck::Read,
            };
            peer.link.pending_ack = peer.link.pending_ack.max(pending_ack);
            self.counters.take(&peer.member.id, scope, increments);
        }
        true
    }

    fn on_unknown_run(&mut self, now: Moment, from: SocketAddr) {
        if self.hosts.has_address(from) {
            // The host that is known at this address has restarted.
            self.greet(from, Reply::Identity);
        } else {
            self.candidates.add_temporary(now, from);
        }
    }

    fn on_hello(&mut self, now: Moment, run: Run, count: u32, hello: Hello) {
        if run != hello.member.run() || self.hosts.observe(now, run, count) == Freshness::Stale {
            return;
        }
        let id = hello.member.id.clone();
        let is_first = self.hosts.by_run(run).is_none();
        if let Some(replaced) = self.hosts.register(now, hello.member, count) {
            self.outbox.abandon(replaced);
        }
        for other in hello.known.into_iter().filter(|other| other.id != self.member.id) {
            if self.hosts.by_run(other.run()).is_none() {
                self.candidates.add_temporary(now, other.address);
            }
        }
        if hello.reply == Reply::Nothing || !(is_first || self.may_answer(now)) {
            return;
        }
        let Some(peer) = self.hosts.get_mut(&id) else { return };
        if peer.last_answer.is_some_and(|at| now < at + GREETING_PAUSE) {
            return;
        }
        peer.last_answer = Some(now);
        let address = peer.member.address;
        match hello.reply {
            Reply::Members => self.introduce_others(address),
            Reply::Identity | Reply::Nothing => self.greet(address, Reply::Nothing),
        }
        if !is_first {
            self.answer_bucket.spend(HELLO_BYTES);
        }
    }

    /// Takes a one-shot notice. Its packet count is not checked: later packets may have overtaken
    /// it, and the code that reads the notice decides whether it is too old.
    fn on_one_shot(
        &mut self,
        now: Moment,
        from: SocketAddr,
        run: Run,
        notice: Notice,
    ) -> Vec<Envelope> {
        let Some(peer) = self.hosts.by_run(run) else {
            self.on_unknown_run(now, from);
            return Vec::new();
        };
        vec![Envelope { origin: Some(peer.member.id.clone()), via: from, notice }]
    }

    fn on_bye(&mut self, now: Moment, run: Run, count: u32) {
        if self.hosts.observe(now, run, count) != Freshness::New {
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
    ) -> Vec<Envelope> {
        let acked = items.iter().map(|item| (item.origin, item.number));
        for batch in notice::pack(acked) {
            self.put(from, Body::Acks(batch));
        }
        let mut received = Vec::new();
        for item in items {
            if item.origin == self.member.run() || !self.is_first(now, &item) {
                continue;
            }
            let mut is_news = true;
            if let Notice::DeclarationInForce { version } = item.notice {
                if version < self.announcements.newest() {
                    continue;
                }
                is_news = self.announcements.observe(version);
            }
            if let Notice::Crash(crash) = &item.notice {
                self.crashes.insert(now, crash.clone());
            } else {
                let origin = self.hosts.by_run(item.origin).map(|peer| peer.member.id.clone());
                received.push(Envelope { origin, via: from, notice: item.notice.clone() });
            }
            if is_news {
                self.forward(now, run, &item);
            }
        }
        self.flush_notices(now);
        received
    }

    fn is_first(&mut self, now: Moment, item: &Item) -> bool {
        if self.windows.len() >= MAX_WINDOWS {
            let horizon = self.settings.forget_after;
            self.windows.retain(|_, window| now < window.last_used + horizon);
        }
        let window = self.windows.entry(item.origin).or_default();
        window.last_used = now;
        window.is_first(item.number)
    }

    /// Returns a host's address and run.
    pub(super) fn locate(&self, id: &str) -> Option<Target> {
        let member = &self.hosts.get(id)?.member;
        Some(Target { run: member.run(), address: member.address })
    }
}
