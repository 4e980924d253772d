//! Injects the faults of a schedule, and records what each one disrupted and when.

mod silences;

use std::{
    collections::{BTreeMap, BTreeSet},
    error::Error,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use nix::sys::signal::Signal;
use relay::edge::ObjectKind;
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until};
use types::routed::Declaration;

use super::{
    customers::Holders,
    load::{self, HostEntry},
    record::{Bounds, BrittleTime, Component, Declared, Disruption, HostRun, Leave, Silence, Span},
    schedule::{Fault, Notice, Pairs, PlannedFault},
    site,
};
use crate::routed::{
    links::Delivery,
    lock,
    server::{Fault as ServerFault, OrderFault, Script, Server},
    site::Site,
    store::Faults,
};

/// Delay of the store's answers under [`Fault::Slow`].
const STORE_DELAY: Duration = Duration::from_millis(700);

/// Under [`Fault::Dull`], a server's time for an answer and between two events of a stream.
const SLOW_SERVER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(250));

/// Under [`Fault::Brittle`], a server's time for an answer.
const BRITTLE_WORK_TIME: Duration = Duration::from_millis(200);

/// Time in which undisturbed hosts receive a new declaration.
const APPLY_TIME: Duration = Duration::from_millis(200);

/// Delay after which a late order, or a late write to the store, is executed.
const LATENESS: Duration = Duration::from_millis(900);

/// Interval between checks for servers that have crashed.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time from a server's crash to the start of its replacement.
const RESTART_DELAY: Duration = Duration::from_millis(1_500);

/// How long the store keeps the entry of a replaced server.
const STALE_ENTRY_TIME: Duration = Duration::from_millis(2_000);

type BoxError = Box<dyn Error + Send + Sync>;

/// Injects faults into the site, and collects what is needed to judge the soak afterwards.
#[derive(Debug)]
pub(super) struct Injector {
    pub(super) site: Site,
    pub(super) load: Arc<load::State>,
    pub(super) bounds: Bounds,
    /// Whether the model servers run two versions of their software.
    pub(super) has_versions: bool,
    pub(super) declaration: Declaration,
    /// The holders of keys; `None` if callers are not identified.
    pub(super) holders: Option<Holders>,
    pub(super) declared: Vec<Declared>,
    pub(super) leaves: Vec<Leave>,
    pub(super) disruptions: Vec<Disruption>,
    pub(super) silences: Vec<Silence>,
    /// For each index of [`site::SERVERS`], the current server's id and the number of its
    /// predecessors.
    pub(super) servers: Vec<(String, usize)>,
    /// Indices of servers that the schedule crashes or makes leave now; the end of that fault
    /// replaces them.
    pub(super) faulted: BTreeSet<usize>,
    /// Indices of servers that a request or an order has crashed, and when each is to be replaced.
    pub(super) crashed: BTreeMap<usize, Instant>,
    pub(super) brittle: Vec<BrittleTime>,
    /// Rejections in a second that the servers of brittle services tolerate, by service.
    pub(super) tolerances: BTreeMap<&'static str, u32>,
}

/// Start or end of a planned fault.
enum Step<'a> {
    Begin(&'a PlannedFault),
    End(&'a PlannedFault),
}

impl Injector {
    /// Starts the server of an index, or the replacement of the one that it had.
    pub(super) async fn start_server(&mut self, index: usize) -> Result<(), BoxError> {
        let run = self.servers.get(index).map_or(0, |(_, run)| run + 1);
        let tolerance = self.tolerances.get(site::SERVERS[index]).copied();
        let script = |script: &mut Script| {
            *script = site::script(self.bounds.stream_events);
            set_tolerance(script, tolerance);
        };
        let settings = site::server_settings(index, run, self.has_versions);
        let server = self.site.backend.add_with_script(settings, script).await?;
        let entry = (server.id().to_string(), run);
        match self.servers.get_mut(index) {
            Some(server) => *server = entry,
            None => self.servers.push(entry),
        }
        Ok(())
    }

    /// Gives callers the addresses of a host that has started.
    pub(super) fn register_host(&mut self, index: usize) {
        let host = &self.site.hosts[index];
        let (callers, operators) = (host.callers(), host.operators());
        let mut hosts = lock(&self.load.hosts);
        let start = hosts.get(index).map_or(0, |entry| entry.host_run.start + 1);
        let host_run = HostRun { host: index, start };
        let entry = HostEntry { host_run, callers, operators, is_ready: false };
        match hosts.get_mut(index) {
            Some(old) => *old = entry,
            None => hosts.push(entry),
        }
    }

    /// Writes a declaration to the store and records when.
    pub(super) fn declare(&mut self, declaration: Declaration) {
        let (version, services) = (declaration.version, site::services(&declaration));
        match &self.holders {
            Some(holders) => self.site.backend.declare_with(&declaration, &holders.customers()),
            None => self.site.backend.declare(&declaration),
        }
        let holders = self.holders.clone();
        lock(&self.load.holders).clone_from(&holders);
        self.declared.push(Declared { version, at: self.now(), services, holders });
        self.declaration = declaration;
    }

    fn now(&self) -> Duration {
        self.load.since(Instant::now())
    }

    /// Runs the schedule until its last fault has ended.
    pub(super) async fn run(
        &mut self,
        schedule: &[PlannedFault],
        load_started_at: Instant,
    ) -> Result<(), BoxError> {
        let ends =
            schedule.iter().map(|planned| (planned.at + planned.duration, Step::End(planned)));
        let mut steps: Vec<(Duration, Step<'_>)> =
            schedule.iter().map(|planned| (planned.at, Step::Begin(planned))).collect();
        steps.extend(ends);
        // The sort is stable, so that a fault of zero duration begins before it ends.
        steps.sort_by_key(|(at, _)| *at);
        for (at, step) in steps {
            self.wait(load_started_at + at).await?;
            match step {
                Step::Begin(planned) => {
                    if planned.fault == Fault::STORE_SILENCE {
                        self.align_watches().await?;
                    }
                    self.begin(planned)?;
                }
                Step::End(planned) => self.end(planned).await?,
            }
        }
        Ok(())
    }

    /// Makes all hosts start a new watch of the store at the same time, by writing a declaration,
    /// so that the watches of all hosts are affected alike.
    async fn align_watches(&mut self) -> Result<(), BoxError> {
        self.apply(Fault::Declare)?;
        sleep(APPLY_TIME).await;
        Ok(())
    }

    /// Waits, and meanwhile replaces servers that a request or an order has crashed.
    pub(super) async fn wait(&mut self, until: Instant) -> Result<(), BoxError> {
        loop {
            self.restart_crashed().await?;
            let now = Instant::now();
            if until <= now {
                return Ok(());
            }
            sleep_until(until.min(now + CRASH_POLL_INTERVAL)).await;
        }
    }

    async fn restart_crashed(&mut self) -> Result<(), BoxError> {
        for index in 0..self.servers.len() {
            if self.faulted.contains(&index) || self.crashed.contains_key(&index) {
                continue;
            }
            if let Some(at) = self.server(index).crashed_at() {
                let from = self.load.since(at);
                let span = Span { from, to: from + RESTART_DELAY };
                let component = Component::Server(self.servers[index].0.clone());
                self.disruptions.push(Disruption { component, what: "crashed".into(), span });
                self.crashed.insert(index, at + RESTART_DELAY);
            }
        }
        let now = Instant::now();
        let due: Vec<usize> =
            self.crashed.iter().filter(|(_, at)| **at <= now).map(|(index, _)| *index).collect();
        for index in due {
            self.crashed.remove(&index);
            self.replace_server(index).await?;
        }
        Ok(())
    }

    fn server(&self, index: usize) -> &Server {
        self.site.backend.server(&self.servers[index].0)
    }

    /// Records a disruption of the planned duration.
    fn record_disruption(&mut self, component: Component, planned: &PlannedFault) {
        let from = self.now();
        let span = Span { from, to: from + planned.duration };
        self.disruptions.push(Disruption { component, what: format!("{:?}", planned.fault), span });
    }

    fn begin(&mut self, planned: &PlannedFault) -> Result<(), BoxError> {
        for component in self.affected(planned.fault) {
            self.record_disruption(component, planned);
        }
        self.apply(planned.fault)
    }

    /// Components that a fault disrupts.
    fn affected(&self, fault: Fault) -> Vec<Component> {
        let server = |index: usize| Component::Server(self.servers[index].0.clone());
        match fault {
            Fault::Kill(host) | Fault::Freeze(host) => vec![Component::Host(host)],
            Fault::Stop(host) | Fault::Reload(host) => vec![Component::HostPlanned(host)],
            Fault::TurnAway(host, _) => vec![Component::StoreEndpoint(host)],
            Fault::Crash(at) | Fault::Leave(at, _) | Fault::Grey(at, _) | Fault::Dull(at) => {
                vec![server(at)]
            }
            Fault::AllGrey(at, _) => site::same_service(at).map(server).collect(),
            // Rejections excuse nothing, as the silent server goes on.
            Fault::Silence(at, ServerFault::Broken { .. }) => {
                site::same_service(at).filter(|other| *other != at).map(server).collect()
            }
            Fault::Links(pairs, _) => {
                let hosts = self.site.hosts.len();
                let ends = pairs.among(hosts).flat_map(|(from, to)| [from, to]);
                let ends: BTreeSet<usize> = ends.collect();
                ends.into_iter().map(Component::Host).collect()
            }
            Fault::Down(_) | Fault::Slow | Fault::Lost(_) | Fault::LateWrite | Fault::Compact => {
                vec![Component::Store]
            }
            Fault::Partition(partitioned, _) => {
                partitioned.among(self.site.hosts.len()).map(Component::ServerLinks).collect()
            }
            Fault::Orders(_)
            | Fault::Declare
            | Fault::Customers
            | Fault::Keys(_)
            | Fault::Burst
            | Fault::Poison
            | Fault::PoisonPart
            | Fault::Brittle(..)
            | Fault::Versions
            | Fault::Silence(..)
            | Fault::Limited(..)
            | Fault::AllLimited(..) => Vec::new(),
        }
    }

    /// Sets how datagrams are delivered between some pairs of hosts.
    fn set_links(&self, pairs: Pairs, delivery: Delivery) {
        let links = self.site.links();
        pairs
            .among(self.site.hosts.len())
            .for_each(|(from, to)| links.set_delivery(from, to, delivery));
    }

    fn apply(&mut self, fault: Fault) -> Result<(), BoxError> {
        let store = self.site.backend.store.clone();
        match fault {
            Fault::Kill(host) => self.site.hosts[host].kill(),
            Fault::Stop(host) => self.site.hosts[host].signal(Signal::SIGTERM),
            Fault::Freeze(host) => self.site.hosts[host].signal(Signal::SIGSTOP),
            Fault::Reload(host) => self.reload(host)?,
            Fault::Down(refusal) => {
                store.set_faults_everywhere(|faults| faults.refusal = Some(refusal))
            }
            Fault::Slow => store.set_faults_everywhere(|faults| faults.delay = STORE_DELAY),
            Fault::Lost(answers) => {
                store.set_faults_everywhere(|faults| faults.lost_replies = answers)
            }
            Fault::LateWrite => {
                store.set_faults_everywhere(|faults| faults.late_write = Some(LATENESS))
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
                self.server(server).script(|script| script.is_leaving = true);
                match notice {
                    Notice::Told => self.server(server).drain(None),
                    Notice::Untold => self.site.backend.deregister(&id),
                }
                let at = self.now();
                self.leaves.push(Leave { server: id, at });
            }
            Fault::Grey(server, server_fault) => {
                self.server(server).script(|script| script.default_fault = Some(server_fault));
            }
            Fault::AllGrey(server, server_fault) => site::same_service(server).for_each(|index| {
                self.server(index).script(|script| script.default_fault = Some(server_fault));
            }),
            Fault::Links(pairs, delivery) => self.set_links(pairs, delivery),
            Fault::Dull(server) => {
                self.server(server)
                    .script(|script| (script.work_time, script.event_interval) = SLOW_SERVER);
            }
            Fault::Orders(server) => self.server(server).script(|script| {
                script.order_faults = [OrderFault::Lost, OrderFault::Late(LATENESS)].into();
            }),
            Fault::Declare => {
                let next = site::next_declaration(&self.declaration);
                let version = next.version;
                self.declare(next);
                lock(&self.load.versions).push(version);
            }
            Fault::Customers => {}
            Fault::Keys(seed) => {
                self.holders.iter_mut().for_each(|holders| holders.change(seed));
                let mut next = self.declaration.clone();
                next.version += 1;
                self.declare(next);
            }
            Fault::Burst => self.load.is_burst.store(true, Ordering::Relaxed),
            Fault::Poison => self.load.is_poisoned.store(true, Ordering::Relaxed),
            Fault::PoisonPart => self.load.is_part_poisoned.store(true, Ordering::Relaxed),
            Fault::Silence(server, fault) => self.begin_silence(server, fault),
            Fault::Brittle(server, tolerated) => {
                let (service, from) = (site::SERVERS[server], self.now());
                self.tolerances.insert(service, tolerated);
                let servers = site::same_service(server).count();
                let span = Span { from, to: Duration::MAX };
                self.brittle.push(BrittleTime { service: service.into(), servers, span });
                self.set_tolerances(server);
                self.load.is_pressed.store(true, Ordering::Relaxed);
            }
            Fault::Versions => self.load.has_readers.store(true, Ordering::Relaxed),
            Fault::Partition(partitioned, cut) => {
                let links = self.site.backend.server_links();
                let hosts = partitioned.among(self.site.hosts.len());
                hosts.for_each(|host| links.cut(host, cut));
            }
            Fault::Limited(server, limit) => self.set_limit([server], Some(limit)),
            Fault::AllLimited(server, limit) => {
                self.set_limit(site::same_service(server), Some(limit))
            }
        }
        Ok(())
    }

    /// Makes all servers of a server's service brittle, if the service is.
    fn set_tolerances(&self, server: usize) {
        let tolerated = self.tolerances.get(site::SERVERS[server]).copied();
        for index in site::same_service(server) {
            self.server(index).script(|script| set_tolerance(script, tolerated));
        }
    }

    /// Makes servers state a limit, in hundredths of a request per second, or withdraw it.
    fn set_limit(&self, indices: impl IntoIterator<Item = usize>, limit: Option<u32>) {
        let limit = limit.map(|limit| f64::from(limit) / 100.0);
        for index in indices {
            let limit = limit.map(|limit| limit.to_string().into());
            self.server(index).script(|script| script.limit = limit);
        }
    }

    /// Changes a setting of a host that takes effect on a reload, and sends it SIGHUP.
    fn reload(&mut self, host: usize) -> Result<(), BoxError> {
        let host = &self.site.hosts[host];
        let mut settings: Value = serde_json::from_str(&std::fs::read_to_string(host.settings())?)?;
        let extra = settings["routed"]["retry"]["extra"].as_u64().unwrap_or_default();
        settings["routed"]["retry"]["extra"] = (extra + 1).into();
        std::fs::write(host.settings(), settings.to_string())?;
        host.signal(Signal::SIGHUP);
        Ok(())
    }

    async fn end(&mut self, planned: &PlannedFault) -> Result<(), BoxError> {
        let store = self.site.backend.store.clone();
        match planned.fault {
            Fault::Kill(host) | Fault::Stop(host) => self.restart(host, planned).await?,
            Fault::Freeze(host) => {
                self.site.hosts[host].signal(Signal::SIGCONT);
                self.end_disruption(&Component::Host(host));
            }
            Fault::Reload(host) => {
                let apply = self.bounds.apply;
                let last = self
                    .disruptions
                    .iter_mut()
                    .rfind(|disruption| disruption.component == Component::HostPlanned(host));
                last.into_iter().for_each(|disruption| disruption.span.to += apply);
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
                self.end_disruption(&Component::Store);
                if planned.fault == Fault::STORE_SILENCE {
                    self.apply(Fault::Declare)?;
                }
            }
            Fault::TurnAway(host, _) => {
                store.set_faults(&self.site.hosts[host].name, |faults| faults.refusal = None);
                self.end_disruption(&Component::StoreEndpoint(host));
            }
            Fault::Crash(server) | Fault::Leave(server, _) => {
                self.faulted.remove(&server);
                self.crashed.remove(&server);
                self.replace_server(server).await?;
            }
            Fault::Grey(server, _) | Fault::Dull(server) => {
                site::reset_script(self.server(server), self.bounds.stream_events);
                self.set_tolerances(server);
                self.end_disruption(&Component::Server(self.servers[server].0.clone()));
            }
            Fault::AllGrey(server, _) => {
                for index in site::same_service(server).collect::<Vec<_>>() {
                    site::reset_script(self.server(index), self.bounds.stream_events);
                }
                self.set_tolerances(server);
            }
            Fault::Links(pairs, _) => self.set_links(pairs, Delivery::Passes),
            Fault::Burst => self.load.is_burst.store(false, Ordering::Relaxed),
            Fault::Poison => self.load.is_poisoned.store(false, Ordering::Relaxed),
            Fault::PoisonPart => self.load.is_part_poisoned.store(false, Ordering::Relaxed),
            Fault::Silence(server, fault) => self.end_silence(server, fault),
            Fault::Brittle(server, _) => {
                self.tolerances.remove(site::SERVERS[server]);
                let now = self.now();
                self.brittle.last_mut().into_iter().for_each(|time| time.span.to = now);
                self.load.is_pressed.store(false, Ordering::Relaxed);
                for index in site::same_service(server) {
                    site::reset_script(self.server(index), self.bounds.stream_events);
                }
            }
            Fault::Versions => self.load.has_readers.store(false, Ordering::Relaxed),
            Fault::Partition(partitioned, _) => {
                for host in partitioned.among(self.site.hosts.len()) {
                    self.site.backend.server_links().heal(host);
                    self.end_disruption(&Component::ServerLinks(host));
                }
            }
            Fault::Limited(server, _) => self.set_limit([server], None),
            Fault::AllLimited(server, _) => self.set_limit(site::same_service(server), None),
            Fault::Orders(_) | Fault::Declare | Fault::Customers | Fault::Keys(_) => {}
        }
        Ok(())
    }

    /// Records that the last disruption of a component ends now.
    fn end_disruption(&mut self, component: &Component) {
        let now = self.now();
        let last =
            self.disruptions.iter_mut().rfind(|disruption| disruption.component == *component);
        last.into_iter().for_each(|disruption| disruption.span.to = now);
    }

    async fn restart(&mut self, host: usize, planned: &PlannedFault) -> Result<(), BoxError> {
        if matches!(planned.fault, Fault::Stop(_)) {
            // The process has exited after SIGTERM, or is killed now as the platform would do.
            self.site.hosts[host].kill();
        }
        self.end_disruption(&Component::Host(host));
        self.end_disruption(&Component::HostPlanned(host));
        let from = self.now();
        self.site.restart(host).await?;
        self.register_host(host);
        // A host that is starting is not in contact with the store and its peers yet.
        let span = Span { from, to: self.now() };
        self.disruptions.push(Disruption {
            component: Component::Host(host),
            what: "start".into(),
            span,
        });
        Ok(())
    }

    /// Ends a server and starts another one of the same service.
    async fn replace_server(&mut self, index: usize) -> Result<(), BoxError> {
        let old = self.servers[index].0.clone();
        self.server(index).kill();
        self.end_disruption(&Component::Server(old.clone()));
        // The old server stops registering at once; its entry is removed from the store a little
        // later.
        self.site.backend.stop_registering(&old);
        let store = self.site.backend.store.clone();
        tokio::spawn(async move {
            tokio::time::sleep(STALE_ENTRY_TIME).await;
            store.remove(&platform::remote::store::kind(ObjectKind::Server), &old);
        });
        self.start_server(index).await
    }
}

/// Makes a server brittle, and slow enough that callers can send more than it can serve.
fn set_tolerance(script: &mut Script, tolerated: Option<u32>) {
    if let Some(tolerated) = tolerated {
        script.brittle = Some(tolerated);
        script.work_time = BRITTLE_WORK_TIME;
    }
}
