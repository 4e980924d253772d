//! What goes out, and when.

use std::{net::SocketAddr, time::Duration};

use types::{host, time::Moment};

use super::{
    Fleet,
    board::Room,
    candidates::Try,
    fact::Member,
    fanout::Plan,
    hosts::{Company, Peer},
    link::Debt,
    notice::{self, Target},
    wire::{self, Body, DATAGRAM_BYTES, Digest, HEAD_BYTES, Hello, Item, Run, Scope, Wish},
};

/// Between two rounds in which one host hears of some others.
pub(super) const ROUND: Duration = Duration::from_secs(5);

/// Pause between two greetings to a silent host.
const SILENT_PAUSE: Duration = Duration::from_secs(1);

/// Pause between two greetings to a host that is about to be taken for silent.
const MISSED_PAUSE: Duration = Duration::from_millis(200);

/// Seconds for which what was not spent may still be.
const BURST_SECONDS: f64 = 0.25;

/// Bytes of a sign of life on the network.
const HERE_BYTES: usize = 41;

/// Bytes of a greeting without the network's headers, about.
pub(super) const HELLO_BYTES: usize = 60;

/// Share of the budget that signs of life may take.
const FAR_SHARE: f64 = 0.25;

/// Share of the budget that greetings may take in a large deployment, but for first ones; and
/// answers to them as much again.
const GREETING_SHARE: f64 = 0.1;

/// Rounds after which a host that is not told is silent.
const MISSED_ROUNDS: u32 = 4;

/// Bytes that the network's own headers add to a datagram.
const NETWORK_BYTES: usize = 28;

/// What may still be spent in a large deployment.
#[derive(Debug)]
pub(super) struct Purse {
    left: f64,
    rate: f64,
    filled: Moment,
}

impl Purse {
    pub(super) fn new(now: Moment) -> Purse {
        Purse { left: 0.0, rate: 0.0, filled: now }
    }

    fn has_left(&self) -> bool {
        self.left > 0.0
    }

    /// Takes what a datagram costs; a debt never grows beyond a second's worth.
    pub(super) fn spend(&mut self, bytes: usize) {
        self.left = (self.left - (bytes + NETWORK_BYTES) as f64).max(-self.rate);
    }

    /// Takes so many bytes a second from now on.
    fn fill(&mut self, now: Moment, rate: f64) {
        self.rate = rate;
        let span = now.saturating_sub(self.filled).as_secs_f64();
        self.left = (self.left + span * self.rate).min(self.rate * BURST_SECONDS);
        self.filled = now;
    }
}

impl Fleet {
    /// Does what is due.
    pub fn tick(&mut self, now: Moment) {
        if self.next_tick <= now {
            self.next_tick = (self.next_tick + self.plan.tick(&self.settings)).max(now);
            self.tell_store(now);
            self.clean(now);
            let plan = self.make_plan(now);
            self.attend(now, &plan);
            self.sum_up(now, &plan);
            self.tell_targets(now, &plan);
            self.greet_candidates(now, &plan);
            self.greet_missed(now, &plan);
            self.greet_far(now, &plan);
            self.plan = plan;
            self.round(now);
        }
        self.flush_notices(now);
    }

    fn clean(&mut self, now: Moment) {
        for member in self.hosts.forget(now, &self.settings) {
            self.outbox.abandon(member.run());
            self.candidates.try_out(now, member.address);
        }
        let horizon = self.settings.forget_after;
        self.boards.iter_mut().for_each(|board| board.retire(now, horizon));
    }

    fn tell_targets(&mut self, now: Moment, plan: &Plan) {
        let settings = &self.settings;
        let heartbeat = plan.heartbeat(settings);
        let told = plan.tells().filter_map(|(id, _)| self.hosts.get(id)?.link.told);
        // Others answer in rounds of their own, which are about as late.
        let oldest = told.min().map_or(Duration::ZERO, |told| now.saturating_sub(told));
        let resend = plan.resend(settings) + oldest.saturating_sub(heartbeat) * 2;
        let room = plan.room(settings);
        let slack = plan.tick(settings) / 4;
        let mut due = Vec::new();
        for (id, scopes) in plan.tells() {
            let Some(peer) = self.hosts.get_mut(id) else { continue };
            peer.link.resend(now, resend);
            let has_news = peer.link.debt >= plan.urgent_debt()
                || scopes.iter().any(|&s| peer.link.lacks(s, &self.boards[s as usize]));
            let wait = match has_news {
                true => plan.interval(settings, &self.member.zone, &peer.member.zone),
                false => heartbeat,
            };
            if peer.link.told.is_none_or(|told| told + wait <= now + slack) {
                due.push((peer.link.told, id.clone(), scopes));
            }
        }
        due.sort();
        self.purse.fill(now, plan.budget(&self.settings));
        for (_, id, scopes) in due {
            if plan.is_grouped() && !self.purse.has_left() {
                break;
            }
            self.tell(now, &id, scopes, room);
        }
    }

    fn tell(&mut self, now: Moment, id: &host::Id, scopes: &[Scope], room: usize) {
        let Some(peer) = self.hosts.get_mut(id) else { return };
        let marks: Vec<_> = peer.views.iter().map(|(scope, view)| (*scope, view.mark())).collect();
        let mut room = Room { usual: room, most: DATAGRAM_BYTES - HEAD_BYTES };
        let mut tables = Vec::new();
        for &scope in scopes {
            let board = &mut self.boards[scope as usize];
            let Some(table) = peer.link.table(now, scope, board, room) else { continue };
            room = room.without(wire::size(&table));
            tables.push(table);
        }
        peer.link.told = Some(now);
        peer.link.debt = Debt::Nothing;
        let to = wire::tail(peer.member.run());
        let address = peer.member.address;
        let digest = Digest { to, marks, tables };
        // Two hosts that only answer each other would never stop.
        let body = if scopes.is_empty() { Body::Answer(digest) } else { Body::Digest(digest) };
        self.put(address, body);
    }

    /// Notes who is told from now on, and who is no longer heard.
    fn attend(&mut self, now: Moment, plan: &Plan) {
        let silence = plan.silence(&self.settings);
        let far_silence = self.far_round(plan) * MISSED_ROUNDS;
        for peer in self.hosts.iter_mut() {
            match plan.has(&peer.member.id) {
                true => peer.attend(now, silence, Company::Together),
                false => peer.attend(now, far_silence, Company::Apart),
            }
        }
    }

    /// Time in which each host that is not told gets a sign of life, within a share of the budget.
    fn far_round(&self, plan: &Plan) -> Duration {
        let far = self.hosts.iter().filter(|peer| !plan.has(&peer.member.id)).count();
        let share = plan.budget(&self.settings) * FAR_SHARE;
        let span = Duration::from_secs_f64((far * HERE_BYTES) as f64 / share.max(1.0));
        span.max(self.settings.keepalive_interval)
    }

    fn greet_candidates(&mut self, now: Moment, plan: &Plan) {
        self.greeting_purse.fill(now, plan.budget(&self.settings) * GREETING_SHARE);
        let (hosts, own) = (&self.hosts, self.member.address);
        let is_known = |address| address == own || hosts.has_address(address);
        let again = match plan.is_grouped() {
            true => usize::from(self.greeting_purse.has_left()),
            false => usize::MAX,
        };
        for (address, wish, which) in self.candidates.due(now, again, is_known) {
            self.greet(address, wish);
            if which == Try::Again {
                self.greeting_purse.spend(HELLO_BYTES);
            }
        }
    }

    /// Greets hosts that are missed, the longest ungreeted first.
    fn greet_missed(&mut self, now: Moment, plan: &Plan) {
        let silence = plan.silence(&self.settings);
        let is_due = |peer: &&Peer| {
            let pause = greeting_pause(now, silence, peer);
            pause.is_some_and(|pause| peer.greeted.is_none_or(|at| at + pause <= now))
        };
        let due = self.hosts.iter().filter(is_due);
        let mut due: Vec<_> = due.map(|peer| (peer.greeted, peer.member.id.clone())).collect();
        due.sort();
        for (_, id) in due {
            if plan.is_grouped() && !self.greeting_purse.has_left() {
                return;
            }
            let Some(peer) = self.hosts.get_mut(&id) else { continue };
            peer.greeted = Some(now);
            let address = peer.member.address;
            self.greet(address, Wish::Identity);
            self.greeting_purse.spend(HELLO_BYTES);
        }
    }

    /// Hosts that this one does not tell get a sign of life now and then.
    fn greet_far(&mut self, now: Moment, plan: &Plan) {
        let round = self.far_round(plan);
        let pace = plan.tick(&self.settings).as_secs_f64() / round.as_secs_f64();
        let far = self.hosts.iter_mut().filter(|peer| !plan.has(&peer.member.id));
        let mut far: Vec<_> = far.collect();
        let most = (far.len() as f64 * pace).ceil() as usize;
        far.sort_by_key(|peer| peer.greeted);
        let due = far.iter_mut().filter(|peer| peer.greeted.is_none_or(|at| at + round <= now));
        let addresses: Vec<_> = due
            .take(most)
            .map(|peer| {
                peer.greeted = Some(now);
                peer.member.address
            })
            .collect();
        addresses.into_iter().for_each(|address| self.put(address, Body::Here));
    }

    /// One host in turn hears of some of the others, in case that it never met them.
    fn round(&mut self, now: Moment) {
        if now < self.next_round {
            return;
        }
        self.next_round = now + ROUND;
        self.rounds += 1;
        let live = self.live_members();
        let lots = notice::pack(live.iter().cloned());
        let Some(target) = live.get(self.rounds % live.len().max(1)) else { return };
        let known = lots.get(self.rounds / live.len() % lots.len()).cloned().unwrap_or_default();
        let hello = Hello { member: self.member.clone(), wish: Wish::Nothing, known };
        self.put(target.address, Body::Hello(hello));
    }

    /// Whether there is budget to answer a host that is known.
    pub(super) fn may_answer(&mut self, now: Moment) -> bool {
        self.answer_purse.fill(now, self.plan.budget(&self.settings) * GREETING_SHARE);
        !self.plan.is_grouped() || self.answer_purse.has_left()
    }

    /// Says who this host is.
    pub(super) fn greet(&mut self, address: SocketAddr, wish: Wish) {
        let hello = Hello { member: self.member.clone(), wish, known: Vec::new() };
        self.put(address, Body::Hello(hello));
    }

    /// Says who this host is and whom it knows.
    pub(super) fn introduce_others(&mut self, address: SocketAddr) {
        let others = self.live_members().into_iter().filter(|other| other.address != address);
        let mut lots = notice::pack(others);
        if lots.is_empty() {
            lots.push(Vec::new());
        }
        for known in lots {
            let hello = Hello { member: self.member.clone(), wish: Wish::Nothing, known };
            self.put(address, Body::Hello(hello));
        }
    }

    /// Other hosts that are not silent.
    fn live_members(&self) -> Vec<Member> {
        let live = self.hosts.iter().filter(|peer| !peer.is_silent());
        live.map(|peer| peer.member.clone()).collect()
    }

    /// Passes a notice on, if this host is a relay.
    pub(super) fn pass_on(&mut self, now: Moment, from: Run, item: &Item) {
        if self.plan.is_relay() {
            self.spread(now, item, Some(from));
        }
    }

    /// Sends a notice to all whom this host tells, but not back.
    pub(super) fn spread(&mut self, now: Moment, item: &Item, but: Option<Run>) {
        let targets = self.plan.tells().filter_map(|(id, _)| self.hosts.get(id)).filter(|peer| {
            let run = peer.member.run();
            Some(run) != but && run != item.origin
        });
        let targets: Vec<_> = targets
            .map(|peer| Target { run: peer.member.run(), address: peer.member.address })
            .collect();
        for target in targets {
            self.outbox.push(now, target, item.clone());
        }
    }

    pub(super) fn flush_notices(&mut self, now: Moment) {
        for (address, items) in self.outbox.due(now) {
            self.put(address, Body::Notices(items));
        }
    }
}

/// How often a host that is missed is greeted; none if it is not missed.
fn greeting_pause(now: Moment, silence: Duration, peer: &Peer) -> Option<Duration> {
    if peer.is_silent() {
        return Some(SILENT_PAUSE);
    }
    let is_missed = peer.joined.is_some_and(|at| at.max(peer.heard) + silence / 2 <= now);
    is_missed.then_some(MISSED_PAUSE)
}
