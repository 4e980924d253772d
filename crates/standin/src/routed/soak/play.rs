//! Makes the faults of a schedule, and notes when each was.

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use nix::sys::signal::Signal;
use relay::edge::Kind;
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};
use types::routed::Declaration;

use super::{
    load::{Crowd, Seat},
    record::{Bounds, Declared, Leave, Life, Place, Span, Trouble},
    schedule::{Fault, Notice, Pairs, Planned},
    site,
};
use crate::routed::{
    links::Delivery,
    lock,
    server::{OrderFault, Server},
    site::Site,
    store::Faults,
};

/// What the store's delay is while it is slow.
const SLOW: Duration = Duration::from_millis(700);

/// What a slow server takes for an answer, and between events.
const DULL: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(250));

/// Time in which hosts in calm take a declaration in.
const SEEN: Duration = Duration::from_millis(200);

/// How late a late order, or a late write, is carried out.
const LATE: Duration = Duration::from_millis(900);

/// Pause between looks at which servers have crashed.
const LOOK: Duration = Duration::from_millis(50);

/// From a server's crash to the start of another one.
const BACK: Duration = Duration::from_millis(1_500);

/// The entry of a crashed server stays for so long.
const STALE: Duration = Duration::from_millis(2_000);

type Failed = Box<dyn Error + Send + Sync>;

/// Makes the faults.
#[derive(Debug)]
pub(super) struct Player {
    pub(super) site: Site,
    pub(super) crowd: Arc<Crowd>,
    pub(super) bounds: Bounds,
    pub(super) declaration: Declaration,
    pub(super) declared: Vec<Declared>,
    pub(super) leaves: Vec<Leave>,
    pub(super) troubles: Vec<Trouble>,
    /// The id of the server at each place now, and how many there were before.
    pub(super) servers: Vec<(String, usize)>,
    /// Places whose server is in a fault of its own.
    pub(super) faulted: BTreeSet<usize>,
    /// Places whose server was crashed by a request, and when another one starts there.
    pub(super) crashed: BTreeMap<usize, Instant>,
}

/// One end of a fault.
enum Step<'a> {
    Begin(&'a Planned),
    /// What its beginning noted.
    End(&'a Planned),
}

impl Player {
    /// Starts the server at a place.
    pub(super) async fn serve(&mut self, place: usize) -> Result<(), Failed> {
        let run = self.servers.get(place).map_or(0, |(_, run)| run + 1);
        let server = self.site.backend.add(site::server(place, run)).await?;
        site::calm(server, self.bounds.events);
        let seat = (server.id().to_string(), run);
        match self.servers.get_mut(place) {
            Some(server) => *server = seat,
            None => self.servers.push(seat),
        }
        Ok(())
    }

    /// Tells callers of a host that has started.
    pub(super) fn seat(&mut self, place: usize) {
        let host = &self.site.hosts[place];
        let (callers, operators) = (host.callers(), host.operators());
        let mut seats = lock(&self.crowd.seats);
        let start = seats.get(place).map_or(0, |seat| seat.life.start + 1);
        let life = Life { host: place, start };
        let seat = Seat { life, callers, operators, is_ready: false };
        match seats.get_mut(place) {
            Some(old) => *old = seat,
            None => seats.push(seat),
        }
    }

    /// Writes a declaration into the store.
    pub(super) fn declare(&mut self, declaration: Declaration) {
        let (version, services) = (declaration.version, site::services(&declaration));
        self.site.backend.declare(&declaration);
        self.declared.push(Declared { version, at: self.now(), services });
        self.declaration = declaration;
    }

    fn now(&self) -> Duration {
        self.crowd.since(Instant::now())
    }

    /// Plays all faults to their ends.
    pub(super) async fn play(
        &mut self,
        schedule: &[Planned],
        began: Instant,
    ) -> Result<(), Failed> {
        let ends = schedule.iter().map(|planned| (planned.at + planned.lasts, Step::End(planned)));
        let mut steps: Vec<(Duration, Step<'_>)> =
            schedule.iter().map(|planned| (planned.at, Step::Begin(planned))).collect();
        steps.extend(ends);
        // A fault without a length ends after it has begun: the sort is stable.
        steps.sort_by_key(|(at, _)| *at);
        for (at, step) in steps {
            self.wait(began + at).await?;
            match step {
                Step::Begin(planned) => {
                    if planned.fault == Fault::SILENCE {
                        self.align().await?;
                    }
                    self.begin(planned)?;
                }
                Step::End(planned) => self.end(planned).await?,
            }
        }
        Ok(())
    }

    /// Lets all hosts watch the store from the same moment on, as a declaration does: what then
    /// happens to one watch happens to all.
    async fn align(&mut self) -> Result<(), Failed> {
        self.make(Fault::Declare)?;
        sleep(SEEN).await;
        Ok(())
    }

    /// Waits, and starts servers anew that a request has crashed.
    pub(super) async fn wait(&mut self, until: Instant) -> Result<(), Failed> {
        loop {
            self.revive().await?;
            let now = Instant::now();
            if until <= now {
                return Ok(());
            }
            sleep_until(until.min(now + LOOK)).await;
        }
    }

    async fn revive(&mut self) -> Result<(), Failed> {
        for place in 0..self.servers.len() {
            if self.faulted.contains(&place) || self.crashed.contains_key(&place) {
                continue;
            }
            if let Some(at) = self.server(place).crashed_at() {
                let from = self.crowd.since(at);
                let span = Span { from, to: from + BACK };
                let place_of = Place::Server(self.servers[place].0.clone());
                self.troubles.push(Trouble { place: place_of, what: "crashed".into(), span });
                self.crashed.insert(place, at + BACK);
            }
        }
        let now = Instant::now();
        let due: Vec<usize> =
            self.crashed.iter().filter(|(_, at)| **at <= now).map(|(place, _)| *place).collect();
        for place in due {
            self.crashed.remove(&place);
            self.replace(place).await?;
        }
        Ok(())
    }

    fn server(&self, place: usize) -> &Server {
        self.site.backend.server(&self.servers[place].0)
    }

    /// Notes a fault that is as long as planned.
    fn note(&mut self, place: Place, planned: &Planned) {
        let from = self.now();
        let span = Span { from, to: from + planned.lasts };
        self.troubles.push(Trouble { place, what: format!("{:?}", planned.fault), span });
    }

    fn begin(&mut self, planned: &Planned) -> Result<(), Failed> {
        for place in self.places(planned.fault) {
            self.note(place, planned);
        }
        self.make(planned.fault)
    }

    /// What a fault puts in trouble.
    fn places(&self, fault: Fault) -> Vec<Place> {
        let server = |place: usize| Place::Server(self.servers[place].0.clone());
        match fault {
            Fault::Kill(host) | Fault::Freeze(host) => vec![Place::Host(host)],
            Fault::Stop(host) | Fault::Reload(host) => vec![Place::Planned(host)],
            Fault::TurnAway(host, _) => vec![Place::Door(host)],
            Fault::Crash(at) | Fault::Leave(at, _) | Fault::Grey(at, _) | Fault::Dull(at) => {
                vec![server(at)]
            }
            Fault::AllGrey(at, _) => site::alike(at).map(server).collect(),
            Fault::Links(pairs, _) => {
                let hosts = self.site.hosts.len();
                let ends = pairs.among(hosts).flat_map(|(from, to)| [from, to]);
                let ends: BTreeSet<usize> = ends.collect();
                ends.into_iter().map(Place::Host).collect()
            }
            Fault::Down(_) | Fault::Slow | Fault::Lost(_) | Fault::LateWrite | Fault::Compact => {
                vec![Place::Store]
            }
            Fault::Orders(_)
            | Fault::Declare
            | Fault::Burst
            | Fault::Poison
            | Fault::Limited(..)
            | Fault::AllLimited(..) => Vec::new(),
        }
    }

    /// Sets the links of some pairs of hosts.
    fn link(&self, pairs: Pairs, delivery: Delivery) {
        let links = self.site.links();
        pairs
            .among(self.site.hosts.len())
            .for_each(|(from, to)| links.set_delivery(from, to, delivery));
    }

    fn make(&mut self, fault: Fault) -> Result<(), Failed> {
        let store = self.site.backend.store.clone();
        match fault {
            Fault::Kill(host) => self.site.hosts[host].kill(),
            Fault::Stop(host) => self.site.hosts[host].signal(Signal::SIGTERM),
            Fault::Freeze(host) => self.site.hosts[host].signal(Signal::SIGSTOP),
            Fault::Reload(host) => self.reload(host)?,
            Fault::Down(refusal) => {
                store.set_faults_everywhere(|faults| faults.refusal = Some(refusal))
            }
            Fault::Slow => store.set_faults_everywhere(|faults| faults.delay = SLOW),
            Fault::Lost(answers) => {
                store.set_faults_everywhere(|faults| faults.lost_replies = answers)
            }
            Fault::LateWrite => {
                store.set_faults_everywhere(|faults| faults.late_write = Some(LATE))
            }
            Fault::Compact => store.compact(),
            Fault::TurnAway(host, refusal) => {
                store.set_faults(&self.site.hosts[host].name, |faults| {
                    faults.refusal = Some(refusal)
                });
            }
            Fault::Crash(server) => {
                self.faulted.insert(server);
                self.server(server).kill();
            }
            Fault::Leave(server, notice) => {
                self.faulted.insert(server);
                let id = self.servers[server].0.clone();
                match notice {
                    Notice::Told => self.server(server).drain(None),
                    Notice::Untold => self.site.backend.deregister(&id),
                }
                let at = self.now();
                self.leaves.push(Leave { server: id, at });
            }
            Fault::Grey(server, grey) => {
                self.server(server).script(|script| script.default_fault = Some(grey));
            }
            Fault::AllGrey(server, grey) => site::alike(server).for_each(|place| {
                self.server(place).script(|script| script.default_fault = Some(grey));
            }),
            Fault::Links(pairs, delivery) => self.link(pairs, delivery),
            Fault::Dull(server) => {
                self.server(server)
                    .script(|script| (script.work_time, script.event_interval) = DULL);
            }
            Fault::Orders(server) => self.server(server).script(|script| {
                script.order_faults = [OrderFault::Lost, OrderFault::Late(LATE)].into();
            }),
            Fault::Declare => {
                let next = site::next(&self.declaration);
                let version = next.version;
                self.declare(next);
                lock(&self.crowd.versions).push(version);
            }
            Fault::Burst => self.crowd.is_burst.store(true, Ordering::Relaxed),
            Fault::Poison => self.crowd.is_poisoned.store(true, Ordering::Relaxed),
            Fault::Limited(server, limit) => self.limit([server], Some(limit)),
            Fault::AllLimited(server, limit) => self.limit(site::alike(server), Some(limit)),
        }
        Ok(())
    }

    /// Lets servers name a limit, in hundredths of a request a second, or none any more.
    fn limit(&self, places: impl IntoIterator<Item = usize>, limit: Option<u32>) {
        let named = limit.map(|limit| f64::from(limit) / 100.0);
        for place in places {
            let named = named.map(|limit| limit.to_string().into());
            self.server(place).script(|script| script.limit = named);
        }
    }

    /// Changes what a host may use at once, and tells it.
    fn reload(&mut self, host: usize) -> Result<(), Failed> {
        let host = &self.site.hosts[host];
        let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(host.settings())?)?;
        let extra = settings["routed"]["retry"]["extra"].as_u64().unwrap_or_default();
        settings["routed"]["retry"]["extra"] = (extra + 1).into();
        std::fs::write(host.settings(), settings.to_string())?;
        host.signal(Signal::SIGHUP);
        Ok(())
    }

    async fn end(&mut self, planned: &Planned) -> Result<(), Failed> {
        let store = self.site.backend.store.clone();
        match planned.fault {
            Fault::Kill(host) | Fault::Stop(host) => self.restart(host, planned).await?,
            Fault::Freeze(host) => {
                self.site.hosts[host].signal(Signal::SIGCONT);
                self.ends(&Place::Host(host));
            }
            Fault::Reload(host) => {
                let apply = self.bounds.apply;
                let last = self.troubles.iter_mut().rfind(|t| t.place == Place::Planned(host));
                last.into_iter().for_each(|trouble| trouble.span.to += apply);
            }
            Fault::Down(_) | Fault::Slow | Fault::Lost(_) | Fault::LateWrite | Fault::Compact => {
                store.set_faults_everywhere(|faults| {
                    let Faults { delay, lost_replies, late_write, .. } = Faults::default();
                    (faults.lost_replies, faults.late_write, faults.delay) =
                        (lost_replies, late_write, delay);
                    if let Fault::Down(refusal) = planned.fault
                        && faults.refusal == Some(refusal)
                    {
                        faults.refusal = None;
                    }
                });
                self.ends(&Place::Store);
                if planned.fault == Fault::SILENCE {
                    self.make(Fault::Declare)?;
                }
            }
            Fault::TurnAway(host, _) => {
                store.set_faults(&self.site.hosts[host].name, |faults| faults.refusal = None);
                self.ends(&Place::Door(host));
            }
            Fault::Crash(server) | Fault::Leave(server, _) => {
                self.faulted.remove(&server);
                self.crashed.remove(&server);
                self.replace(server).await?;
            }
            Fault::Grey(server, _) | Fault::Dull(server) => {
                site::calm(self.server(server), self.bounds.events);
                self.ends(&Place::Server(self.servers[server].0.clone()));
            }
            Fault::AllGrey(server, _) => {
                for place in site::alike(server).collect::<Vec<_>>() {
                    site::calm(self.server(place), self.bounds.events);
                }
            }
            Fault::Links(pairs, _) => self.link(pairs, Delivery::Passes),
            Fault::Burst => self.crowd.is_burst.store(false, Ordering::Relaxed),
            Fault::Poison => self.crowd.is_poisoned.store(false, Ordering::Relaxed),
            Fault::Limited(server, _) => self.limit([server], None),
            Fault::AllLimited(server, _) => self.limit(site::alike(server), None),
            Fault::Orders(_) | Fault::Declare => {}
        }
        Ok(())
    }

    /// Notes that the last trouble of a place ends now.
    fn ends(&mut self, place: &Place) {
        let now = self.now();
        let last = self.troubles.iter_mut().rfind(|trouble| trouble.place == *place);
        last.into_iter().for_each(|trouble| trouble.span.to = now);
    }

    async fn restart(&mut self, host: usize, planned: &Planned) -> Result<(), Failed> {
        if matches!(planned.fault, Fault::Stop(_)) {
            // It has ended by itself, or is taken away as the platform does it.
            self.site.hosts[host].kill();
        }
        self.ends(&Place::Host(host));
        self.ends(&Place::Planned(host));
        let from = self.now();
        self.site.restart(host).await?;
        self.seat(host);
        // A machine that starts isn't in touch.
        let span = Span { from, to: self.now() };
        self.troubles.push(Trouble { place: Place::Host(host), what: "start".into(), span });
        Ok(())
    }

    /// A server of the same service comes in a server's place.
    async fn replace(&mut self, place: usize) -> Result<(), Failed> {
        let old = self.servers[place].0.clone();
        self.server(place).kill();
        self.ends(&Place::Server(old.clone()));
        // Nothing is heard of it, and its entry goes a little later.
        self.site.backend.stop_registering(&old);
        let store = self.site.backend.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(STALE).await;
            store.remove(&platform::remote::store::kind(Kind::Server), &old);
        });
        self.serve(place).await
    }
}
