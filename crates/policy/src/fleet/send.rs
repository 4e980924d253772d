//! Sending of digests, greetings, keepalives and notices when they are due.

use std::{net::SocketAddr, time::Duration};

use types::{host, time::Moment};

use super::{
    Fleet,
    candidates::Attempt,
    fact::Member,
    fanout::Fanout,
    hosts::{Exchange, Peer},
    link::PendingAck,
    local_table::SizeLimit,
    notice,
    wire::{self, Body, DATAGRAM_BYTES, Digest, HEAD_BYTES, Hello, Reply, Scope},
};

/// Time between greetings that each name some of the known hosts to one host, in turn.
pub(super) const INTRODUCTION_INTERVAL: Duration = Duration::from_secs(5);

/// Least time between two greetings to a silent host.
const SILENT_GREETING_PAUSE: Duration = Duration::from_secs(1);

/// Least time between two greetings to a host that sent nothing for half of the silence timeout.
const UNRESPONSIVE_GREETING_PAUSE: Duration = Duration::from_millis(200);

/// Seconds of the rate that a token bucket can hold.
const BURST_SECONDS: f64 = 0.25;

/// Bytes of a keepalive on the network, with all headers.
const KEEPALIVE_BYTES: usize = 41;

/// Approximate bytes of a greeting, without the network's headers.
pub(super) const HELLO_BYTES: usize = 60;

/// Share of the byte budget that keepalives may take.
const KEEPALIVE_SHARE: f64 = 0.25;

/// Share of the byte budget that greetings may take in a grouped deployment, first greetings
/// excepted. Answers to greetings may take as much again.
const GREETING_SHARE: f64 = 0.1;

/// Keepalive rounds without a packet after which a host that gets no digests is silent.
const MISSED_KEEPALIVES: u32 = 4;

/// Bytes of the network's headers around a datagram.
const NETWORK_BYTES: usize = 28;

/// Token bucket for bytes. Only grouped deployments are limited by it.
#[derive(Debug)]
pub(super) struct TokenBucket {
    balance: f64,
    rate: f64,
    last_fill: Moment,
}

impl TokenBucket {
    pub(super) fn new(now: Moment) -> TokenBucket {
        TokenBucket { balance: 0.0, rate: 0.0, last_fill: now }
    }

    fn has_tokens(&self) -> bool {
        self.balance > 0.0
    }

    /// Takes the bytes of a datagram. The balance may become negative, by one second of the rate at
    /// the most.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.balance = (self.balance - (bytes + NETWORK_BYTES) as f64).max(-self.rate);
    }

    /// Adds what accrued since the last call, and sets the rate in bytes a second.
    fn fill(&mut self, now: Moment, rate: f64) {
        self.rate = rate;
        let span = now.saturating_sub(self.last_fill).as_secs_f64();
        self.balance = (self.balance + span * self.rate).min(self.rate * BURST_SECONDS);
        self.last_fill = now;
    }
}

impl Fleet {
    /// Sends everything that is due.
    pub fn tick(&mut self, now: Moment) {
        if self.next_tick <= now {
            self.next_tick = (self.next_tick + self.fanout.tick(&self.settings)).max(now);
            self.publish_store(now);
            self.clean(now);
            let fanout = self.compute_fanout(now);
            self.update_contacts(now, &fanout);
            self.aggregate(now, &fanout);
            self.send_digests(now, &fanout);
            self.greet_candidates(now, &fanout);
            self.greet_unresponsive(now, &fanout);
            self.send_keepalives(now, &fanout);
            self.fanout = fanout;
            self.introduce_in_turn(now);
        }
        self.flush_announcement(now);
        self.flush_notices(now);
    }

    fn clean(&mut self, now: Moment) {
        for member in self.hosts.forget(now, &self.settings) {
            self.outbox.abandon(member.run());
            self.candidates.add_temporary(now, member.address);
        }
        let horizon = self.settings.forget_after;
        self.crashes.expire(now, horizon);
        self.local_tables.iter_mut().for_each(|local| local.expire(now, horizon));
    }

    fn send_digests(&mut self, now: Moment, fanout: &Fanout) {
        let settings = &self.settings;
        let heartbeat = fanout.heartbeat(settings);
        let sent = fanout.targets().filter_map(|(id, _)| self.hosts.get(id)?.link.last_digest);
        // The others check for due digests about as rarely as this host does, so their
        // acknowledgements are about as late.
        let oldest = sent.min().map_or(Duration::ZERO, |sent| now.saturating_sub(sent));
        let resend = fanout.resend(settings) + oldest.saturating_sub(heartbeat) * 2;
        let limit = fanout.delta_bytes(settings);
        let slack = fanout.tick(settings) / 4;
        let mut due = Vec::new();
        for (id, scopes) in fanout.targets() {
            let Some(peer) = self.hosts.get_mut(id) else { continue };
            peer.link.resend(now, resend);
            let has_changes = peer.link.pending_ack >= fanout.urgent_ack()
                || scopes.iter().any(|&s| peer.link.has_unsent(s, &self.local_tables[s as usize]));
            let wait = match has_changes {
                true => fanout.interval(settings, &self.member.zone, &peer.member.zone),
                false => heartbeat,
            };
            if peer.link.last_digest.is_none_or(|sent| sent + wait <= now + slack) {
                due.push((peer.link.last_digest, id.clone(), scopes));
            }
        }
        due.sort();
        self.digest_bucket.fill(now, fanout.budget(&self.settings));
        for (_, id, scopes) in due {
            if fanout.is_grouped() && !self.digest_bucket.has_tokens() {
                break;
            }
            self.send_digest(now, &id, scopes, limit);
        }
    }

    fn send_digest(&mut self, now: Moment, id: &host::Id, scopes: &[Scope], limit: usize) {
        let Some(peer) = self.hosts.get_mut(id) else { return };
        let marks: Vec<_> =
            peer.remote_tables.iter().map(|(scope, remote)| (*scope, remote.mark())).collect();
        let mut limit = SizeLimit { normal: limit, max: DATAGRAM_BYTES - HEAD_BYTES };
        let mut deltas = Vec::new();
        for &scope in scopes {
            let local = &mut self.local_tables[scope as usize];
            let Some(delta) = peer.link.delta(now, scope, local, limit) else { continue };
            limit = limit.without(wire::size(&delta));
            deltas.push(delta);
        }
        peer.link.last_digest = Some(now);
        peer.link.pending_ack = PendingAck::Nothing;
        let to = wire::tail(peer.member.run());
        let address = peer.member.address;
        let digest = Digest { to, marks, deltas };
        // Answers are not answered: two hosts would never stop answering each other.
        let body = if scopes.is_empty() { Body::Answer(digest) } else { Body::Digest(digest) };
        self.put(address, body);
    }

    /// Records which hosts are targets of digests from now on, and marks hosts silent whose timeout
    /// has passed.
    fn update_contacts(&mut self, now: Moment, fanout: &Fanout) {
        let silence = fanout.silence_timeout(&self.settings);
        let keepalive_silence = self.keepalive_round(fanout) * MISSED_KEEPALIVES;
        for peer in self.hosts.iter_mut() {
            match fanout.has(&peer.member.id) {
                true => peer.update_contact(now, silence, Exchange::Digests),
                false => peer.update_contact(now, keepalive_silence, Exchange::Keepalives),
            }
        }
    }

    /// Time between keepalives to each host that gets no digests, such that all of them stay within
    /// their share of the budget.
    fn keepalive_round(&self, fanout: &Fanout) -> Duration {
        let peers = self.hosts.iter().filter(|peer| !fanout.has(&peer.member.id)).count();
        let share = fanout.budget(&self.settings) * KEEPALIVE_SHARE;
        let span = Duration::from_secs_f64((peers * KEEPALIVE_BYTES) as f64 / share.max(1.0));
        span.max(self.settings.keepalive_interval)
    }

    fn greet_candidates(&mut self, now: Moment, fanout: &Fanout) {
        self.greeting_bucket.fill(now, fanout.budget(&self.settings) * GREETING_SHARE);
        let (hosts, own) = (&self.hosts, self.member.address);
        let is_known = |address| address == own || hosts.has_address(address);
        let max_repeats = match fanout.is_grouped() {
            true => usize::from(self.greeting_bucket.has_tokens()),
            false => usize::MAX,
        };
        for (address, reply, attempt) in self.candidates.due(now, max_repeats, is_known) {
            self.greet(address, reply);
            if attempt == Attempt::Repeat {
                self.greeting_bucket.spend(HELLO_BYTES);
            }
        }
    }

    /// Greets hosts that are silent or sent nothing for half of the silence timeout; those that
    /// were not greeted for the longest time come first.
    fn greet_unresponsive(&mut self, now: Moment, fanout: &Fanout) {
        let silence = fanout.silence_timeout(&self.settings);
        let is_due = |peer: &&Peer| {
            let pause = greeting_pause(now, silence, peer);
            pause.is_some_and(|pause| peer.last_greeting.is_none_or(|at| at + pause <= now))
        };
        let due = self.hosts.iter().filter(is_due);
        let mut due: Vec<_> =
            due.map(|peer| (peer.last_greeting, peer.member.id.clone())).collect();
        due.sort();
        for (_, id) in due {
            if fanout.is_grouped() && !self.greeting_bucket.has_tokens() {
                return;
            }
            let Some(peer) = self.hosts.get_mut(&id) else { continue };
            peer.last_greeting = Some(now);
            let address = peer.member.address;
            self.greet(address, Reply::Identity);
            self.greeting_bucket.spend(HELLO_BYTES);
        }
    }

    /// Sends keepalives to hosts that get no digests, spread evenly over the round.
    fn send_keepalives(&mut self, now: Moment, fanout: &Fanout) {
        let round = self.keepalive_round(fanout);
        let pace = fanout.tick(&self.settings).as_secs_f64() / round.as_secs_f64();
        let peers = self.hosts.iter_mut().filter(|peer| !fanout.has(&peer.member.id));
        let mut peers: Vec<_> = peers.collect();
        let most = (peers.len() as f64 * pace).ceil() as usize;
        peers.sort_by_key(|peer| peer.last_greeting);
        let due =
            peers.iter_mut().filter(|peer| peer.last_greeting.is_none_or(|at| at + round <= now));
        let addresses: Vec<_> = due
            .take(most)
            .map(|peer| {
                peer.last_greeting = Some(now);
                peer.member.address
            })
            .collect();
        addresses.into_iter().for_each(|address| self.put(address, Body::Keepalive));
    }

    /// Names some of the known hosts to one host, in turn, in case it does not know them.
    fn introduce_in_turn(&mut self, now: Moment) {
        if now < self.next_introduction {
            return;
        }
        self.next_introduction = now + INTRODUCTION_INTERVAL;
        self.introductions += 1;
        let live = self.live_members();
        let batches = notice::pack(live.iter().cloned());
        let Some(target) = live.get(self.introductions % live.len().max(1)) else { return };
        let known = batches
            .get(self.introductions / live.len() % batches.len())
            .cloned()
            .unwrap_or_default();
        let hello = Hello { member: self.member.clone(), reply: Reply::Nothing, known };
        self.put(target.address, Body::Hello(hello));
    }

    /// Whether the budget allows an answer to the greeting of a host that is already known.
    pub(super) fn may_answer(&mut self, now: Moment) -> bool {
        self.answer_bucket.fill(now, self.fanout.budget(&self.settings) * GREETING_SHARE);
        !self.fanout.is_grouped() || self.answer_bucket.has_tokens()
    }

    /// Sends a greeting with this host's identity.
    pub(super) fn greet(&mut self, address: SocketAddr, reply: Reply) {
        let hello = Hello { member: self.member.clone(), reply, known: Vec::new() };
        self.put(address, Body::Hello(hello));
    }

    /// Sends greetings that name all other hosts that are not silent.
    pub(super) fn introduce_others(&mut self, address: SocketAddr) {
        let others = self.live_members().into_iter().filter(|other| other.address != address);
        let mut batches = notice::pack(others);
        if batches.is_empty() {
            batches.push(Vec::new());
        }
        for known in batches {
            let hello = Hello { member: self.member.clone(), reply: Reply::Nothing, known };
            self.put(address, Body::Hello(hello));
        }
    }

    fn live_members(&self) -> Vec<Member> {
        let live = self.hosts.iter().filter(|peer| !peer.is_silent());
        live.map(|peer| peer.member.clone()).collect()
    }
}

/// Returns the pause between greetings to a host that is silent or, as a target of digests, sent
/// nothing for half of the silence timeout; none for other hosts.
fn greeting_pause(now: Moment, silence: Duration, peer: &Peer) -> Option<Duration> {
    if peer.is_silent() {
        return Some(SILENT_GREETING_PAUSE);
    }
    let is_unresponsive =
        peer.target_since.is_some_and(|at| at.max(peer.last_received) + silence / 2 <= now);
    is_unresponsive.then_some(UNRESPONSIVE_GREETING_PAUSE)
}
