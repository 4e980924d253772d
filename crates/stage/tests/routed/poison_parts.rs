//! Requests that crash each server that begins to answer them, because of one part of their prompts.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use http::Method;
use relay::edge::Part;
use rstest::rstest;
use standin::routed::{
    caller::{Caller, RequestSpec},
    server::{Ending, Run, Script, Server, Settings},
    site::{Backend, Site},
};
use tokio::{
    task::JoinSet,
    time::{Instant, interval, interval_at, timeout},
};
use types::backend;

use crate::site::{self, HOST, declaration, engine, start_site};

const HOSTS: usize = 4;

/// Number of model servers that run at the same time.
const SERVERS: usize = 16;

/// Part that all requests of the route begin with.
const FIRST_PART: u64 = 0x5c1e;

/// Part that the caller's requests have in common.
const CALLER_PART: u64 = 0xca11;

/// Part that crashes servers.
const POISON_PART: u64 = 0xbad;

/// Number of crashes after which hosts have to recognise the part.
const CRASHES_TO_DETECT: usize = 5;

/// How many more requests with the part may reach servers once hosts have to recognise it.
const MAX_FURTHER_SENDS: usize = 3;

/// Time within which hosts learn what others know.
const CONTACT: Duration = Duration::from_secs(3);

/// Time after which a crashed server is replaced by one with another id.
const RESTART_DELAY: Duration = Duration::from_secs(2);

/// Time after which the registration of a crashed server ends.
const EXPIRY_DELAY: Duration = Duration::from_millis(3_600);

/// How long only sound requests are sent, and how long they are sent beside the others.
const CALM: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(14);

const POISON_INTERVAL: Duration = Duration::from_millis(100);
const SOUND_INTERVAL: Duration = Duration::from_millis(40);

const TIMEOUT: Duration = Duration::from_secs(4);

/// Where the part that crashes servers stands in a prompt.
#[derive(Clone, Copy, Debug)]
enum Position {
    First,
    Middle,
    LastButOne,
}

/// A request of the caller that no other one is like, with these parts before its own.
fn request(path: &str, number: u64, shared: &[u64]) -> RequestSpec {
    let mut spec = RequestSpec::to(HOST, &format!("{path}{number}"))
        .model("welcome")
        .with_body(Method::POST, format!("letter {number}"))
        .deadline(Some(TIMEOUT));
    let own = 0x1000_0000 + number;
    spec.info.prompt = shared.iter().chain([&own]).map(|id| Part { id: *id, tokens: 40 }).collect();
    spec
}

fn poison_request(path: &str, number: u64, position: Position) -> RequestSpec {
    let shared = match position {
        Position::First => [POISON_PART, FIRST_PART, CALLER_PART],
        Position::Middle => [FIRST_PART, POISON_PART, CALLER_PART],
        Position::LastButOne => [FIRST_PART, CALLER_PART, POISON_PART],
    };
    request(path, number, &shared)
}

async fn site(configure: fn(&mut Script)) -> Site {
    let mut backend = site::backend().await;
    for number in 3..=SERVERS {
        start_server(&mut backend, number, configure).await;
    }
    backend.script(configure);
    backend.declare(&declaration());
    let site = start_site(backend, HOSTS).await;
    site.wait_until_ready().await;
    site
}

fn configure(script: &mut Script) {
    script.poison_part = Some(POISON_PART);
    script.work_time = Duration::from_millis(20);
    script.events = 20;
    script.event_interval = Duration::from_millis(20);
}

fn configure_unframed(script: &mut Script) {
    configure(script);
    script.is_unframed = true;
}

async fn start_server(backend: &mut Backend, number: usize, configure: fn(&mut Script)) {
    let settings = Settings::model(&format!("lm-{number}"), "lm", &engine(), &["welcome"]);
    backend.add_with_script(settings, configure).await.expect("the server starts");
}

/// What a run showed.
struct Observed {
    /// When requests with the part crashed servers.
    crashes: Vec<Instant>,
    /// When requests with the part reached servers.
    sends: Vec<Instant>,
    /// Sound requests: when each was sent, and whether its answer was complete.
    sound: Vec<(Instant, bool)>,
}

impl Observed {
    /// Part of the sound requests sent in this time that were served.
    fn served(&self, from: Instant, to: Instant) -> f64 {
        let sent: Vec<bool> = self
            .sound
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .map(|(_, is_served)| *is_served)
            .collect();
        let served = sent.iter().filter(|is_served| **is_served).count();
        served as f64 / sent.len().max(1) as f64
    }
}

/// Servers that are started in place of crashed ones.
struct Replacements {
    /// Crashed servers, in the order of their crashes.
    crashed: BTreeSet<backend::Id>,
    due: VecDeque<Instant>,
    expiring: VecDeque<(Instant, backend::Id)>,
    /// Number in the id of the newest server.
    newest: usize,
    configure: fn(&mut Script),
}

impl Replacements {
    /// Ends the registrations of crashed servers, and starts others, as they are due.
    async fn update(&mut self, backend: &mut Backend) {
        let crashed = backend.servers.iter().filter(|server| server.crashed_at().is_some());
        let crashed: Vec<backend::Id> = crashed.map(|server| server.id().clone()).collect();
        for id in crashed {
            if self.crashed.insert(id.clone()) {
                backend.stop_registering(&id);
                self.due.push_back(Instant::now() + RESTART_DELAY);
                self.expiring.push_back((Instant::now() + EXPIRY_DELAY, id));
            }
        }
        while self.expiring.front().is_some_and(|(due, _)| *due <= Instant::now()) {
            let expired = self.expiring.pop_front();
            expired.iter().for_each(|(_, id)| backend.deregister(id));
        }
        while self.due.front().is_some_and(|due| *due <= Instant::now()) {
            self.due.pop_front();
            self.newest += 1;
            start_server(backend, self.newest, self.configure).await;
        }
    }
}

/// Sends sound requests, and from [`CALM`] on requests with the part that crashes servers, through
/// all hosts in turn. Returns what was seen, and when the first request was sent.
async fn observe(
    path: &'static str,
    position: Position,
    configure: fn(&mut Script),
) -> (Observed, Instant) {
    let mut site = site(configure).await;
    let start = Instant::now();
    let mut replacements = Replacements {
        crashed: BTreeSet::new(),
        due: VecDeque::new(),
        expiring: VecDeque::new(),
        newest: SERVERS,
        configure,
    };
    let (mut sound, mut poison) = (JoinSet::new(), JoinSet::new());
    let mut sound_due = interval(SOUND_INTERVAL);
    let mut poison_due = interval_at(start + CALM, POISON_INTERVAL);
    for number in 0_u64.. {
        if LENGTH <= start.elapsed() {
            break;
        }
        let mut caller = site.hosts[number as usize % HOSTS].caller();
        tokio::select! {
            at = sound_due.tick() => {
                let spec = request(path, number, &[FIRST_PART, CALLER_PART]);
                sound.spawn(async move { (at, is_served(&mut caller, &spec).await) });
            }
            _ = poison_due.tick() => {
                let spec = poison_request(path, number, position);
                poison.spawn(async move { is_served(&mut caller, &spec).await });
            }
        }
        replacements.update(&mut site.backend).await;
    }
    let sound = sound.join_all().await;
    poison.shutdown().await;
    (Observed { crashes: crashes(&site), sends: sends(&site), sound }, start)
}

async fn is_served(caller: &mut Caller, spec: &RequestSpec) -> bool {
    let answer = timeout(TIMEOUT, caller.fetch(spec)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success() && answer.is_complete)
}

fn has_part(run: &Run) -> bool {
    run.request.prompt.iter().any(|part| part.id == POISON_PART)
}

fn crashes(site: &Site) -> Vec<Instant> {
    let is_crash = |server: &&Server| {
        server.runs().iter().any(|run| run.ending == Some(Ending::Crashed) && has_part(run))
    };
    let crashed = site.backend.servers.iter().filter(is_crash);
    let mut crashes: Vec<Instant> = crashed.filter_map(Server::crashed_at).collect();
    crashes.sort();
    crashes
}

fn sends(site: &Site) -> Vec<Instant> {
    let runs = site.backend.servers.iter().flat_map(Server::runs);
    runs.filter(has_part).map(|run| run.arrived_at).collect()
}

#[rstest]
#[case::of_streams("/chat/", Position::Middle, configure)]
#[case::of_streams_that_resume("/draft/", Position::Middle, configure)]
#[case::at_the_start("/chat/", Position::First, configure)]
#[case::just_before_the_last("/chat/", Position::LastButOne, configure)]
#[case::of_streams_without_framing("/draft/", Position::Middle, configure_unframed)]
#[tokio::test]
async fn a_prompt_part_that_crashes_servers_is_stopped_and_others_are_served(
    #[case] path: &'static str,
    #[case] position: Position,
    #[case] configure: fn(&mut Script),
) {
    let (observed, start) = observe(path, position, configure).await;
    let calm = observed.served(start, start + CALM - Duration::from_secs(1));
    assert!(0.9 <= calm, "served before: {calm}");
    let last =
        observed.crashes.iter().take(CRASHES_TO_DETECT).next_back().expect("servers crashed");
    let late = observed.sends.iter().filter(|at| *last + CONTACT < **at).count();
    let crashed = observed.crashes.len();
    assert!(
        late <= MAX_FURTHER_SENDS,
        "sent {late} times after the fifth crash; {crashed} crashed"
    );
    let served = observed.served(*last + 2 * CONTACT, start + LENGTH);
    assert!(calm / 2.0 <= served, "served while the part is sent: {served}, before: {calm}");
}
