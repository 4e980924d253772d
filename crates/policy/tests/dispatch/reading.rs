//! Simulation of several hosts in front of servers that prefill prompts between the tokens of
//! running streams.

use std::collections::VecDeque;

use policy::dispatch::{Dispatcher, End, RequestSpec, Ticket, Verdict, Work};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use types::{prelude::*, routed::Server};

use crate::fixture::{among, at, generation, server};

const HOSTS: usize = 9;
const SERVERS: usize = 4;
const SLOTS: u32 = 32;
const MODEL: &str = "m1";
const PAUSE: Duration = Duration::from_millis(250);
/// Prompt tokens that a server prefills in a millisecond.
const PREFILL_TOKENS_PER_MS: u64 = 26;
/// Prompt tokens above which the prefill, together with the tokens of the streams in between, makes
/// too long a pause.
const MAX_PREFILL_TOKENS: u64 = 200 * PREFILL_TOKENS_PER_MS;
const MEAN_PROMPT: f64 = 1_200.0;
const REQUESTS_PER_MS: f64 = 0.05;
/// How long a stream lasts after its prompt is prefilled.
const STREAM_MS: u64 = 1_500;
const SPAN_MS: u64 = 30_000;

#[derive(Default)]
struct Node {
    /// Prompts that wait to be prefilled: host, ticket, tokens left.
    prompts: VecDeque<(usize, Ticket, u64)>,
}

impl Node {
    fn pending_tokens(&self) -> u64 {
        self.prompts.iter().map(|(.., tokens)| tokens).sum()
    }

    /// Prefills for a millisecond, and returns the requests whose prompt is done.
    fn prefill(&mut self) -> Vec<(usize, Ticket)> {
        let (mut left, mut done) = (PREFILL_TOKENS_PER_MS, Vec::new());
        while let Some((host, ticket, tokens)) = self.prompts.front_mut() {
            let now = left.min(*tokens);
            (left, *tokens) = (left - now, *tokens - now);
            if 0 < *tokens {
                break;
            }
            done.push((*host, *ticket));
            self.prompts.pop_front();
        }
        done
    }
}

struct World {
    hosts: Vec<Dispatcher>,
    nodes: Vec<Node>,
    ends: VecDeque<(u64, usize, Ticket)>,
    arrived: u32,
    prefilled: u32,
    /// Prompts that, together with those already waiting at their server, exceed what it can
    /// prefill in a pause.
    long_pauses: u32,
}

fn host() -> Dispatcher {
    let registration =
        |n| Server { slots: SLOTS, ..server(&format!("s{n}"), "a", &[(MODEL, &[])]) };
    among(HOSTS, (0..SERVERS).map(registration))
}

impl World {
    fn carry_out(&mut self, host: usize, ticket: Ticket, input: u32, verdict: &Verdict) {
        let Verdict::Send(server) = verdict else { return };
        let index: usize = server[1..].parse().unwrap();
        let node = &mut self.nodes[index];
        self.long_pauses += u32::from(
            0 < node.pending_tokens()
                && MAX_PREFILL_TOKENS < node.pending_tokens() + u64::from(input),
        );
        node.prompts.push_back((host, ticket, input.into()));
    }

    fn step(&mut self, millis: u64) {
        let now = at(millis);
        for node in 0..SERVERS {
            for (host, ticket) in self.nodes[node].prefill() {
                self.prefilled += 1;
                self.hosts[host].first_byte(ticket, now);
                self.ends.push_back((millis + STREAM_MS, host, ticket));
            }
        }
        while let Some(&(_, host, ticket)) = self.ends.front().filter(|(end, ..)| *end <= millis) {
            self.ends.pop_front();
            self.hosts[host].ended(ticket, End::Completed, now);
        }
    }
}

/// Simulates hosts that send each other their requests in flight every `digest` ms; each digest
/// arrives `digest` ms later.
fn play(digest: u64) -> World {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let (hosts, nodes) = ((0..HOSTS).map(|_| host()).collect(), Vec::new());
    let mut world =
        World { hosts, nodes, ends: VecDeque::new(), arrived: 0, prefilled: 0, long_pauses: 0 };
    world.nodes.resize_with(SERVERS, Node::default);
    let mut inputs: Vec<u32> = Vec::new();
    let mut digests: Vec<Vec<Work>> = vec![Vec::new(); HOSTS];
    for millis in 0..SPAN_MS {
        world.step(millis);
        if millis % digest == 0 {
            for host in 0..HOSTS {
                let others = digests.iter().enumerate().filter(|(other, _)| *other != host);
                let work: Vec<Work> = others.flat_map(|(_, work)| work.clone()).collect();
                world.hosts[host].peer(&"peers".into(), &work, at(millis));
            }
            digests = world.hosts.iter().map(Dispatcher::work).collect();
        }
        if random.random_bool(REQUESTS_PER_MS) {
            let ticket = inputs.len() as Ticket;
            let uniform: f64 = random.random_range(1e-9..1.0);
            let input = ((-uniform.ln() * MEAN_PROMPT) as u32).clamp(50, 4_000);
            inputs.push(input);
            world.arrived += 1;
            let host = random.random_range(0..HOSTS);
            let request = generation(ticket, MODEL, at(millis));
            let (pause, goal) = (Some(PAUSE), Duration::from_millis(800));
            let deadline = at(millis + 8_000);
            let request =
                RequestSpec { input, pause, goal, deadline, fingerprint: ticket, ..request };
            let verdict = world.hosts[host].arrive(request, at(millis));
            world.carry_out(host, ticket, input, &verdict);
        }
        for host in 0..HOSTS {
            for change in world.hosts[host].pump(at(millis)) {
                let input = inputs[change.ticket as usize];
                world.carry_out(host, change.ticket, input, &change.verdict);
            }
        }
    }
    world
}

/// Of 1,486 prompts 110 made too long a pause if hosts received each other's digests 60 to 120 ms
/// late, and 7 if they received them 5 to 10 ms late.
#[rstest]
#[case::told_at_once(5, 0.0, 0.01)]
#[case::told_late(60, 0.05, 1.0)]
fn hosts_that_hear_at_once_what_others_sent_make_few_long_pauses(
    #[case] digest: u64,
    #[case] least: f64,
    #[case] most: f64,
) {
    let World { arrived, prefilled, long_pauses, .. } = play(digest);
    let share = f64::from(long_pauses) / f64::from(prefilled);
    assert!(f64::from(arrived) * 0.97 < f64::from(prefilled), "prefilled {prefilled} of {arrived}");
    assert!((least..most).contains(&share), "{long_pauses} long pauses in {prefilled} prompts");
}
