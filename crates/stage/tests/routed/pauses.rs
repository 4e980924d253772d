//! Sound servers that are silent for about a second and then go on.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    server::{Fault, Script},
    site::Site,
    until,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use types::routed::Kind;

use crate::site::{
    chat, declaration, draft, linked_site, linked_site_with, page, route, status_of, ticket,
};

const PAUSE: Duration = Duration::from_millis(1_200);

/// Time after a pause within which hosts use the server again.
const RETURN_TIME: Duration = Duration::from_secs(2);

/// Sends requests through all hosts for a while, and returns the statuses of their answers.
async fn send_for(site: &Site, time: Duration, spec: fn() -> RequestSpec) -> Vec<StatusCode> {
    let mut sending = JoinSet::new();
    let began = Instant::now();
    while began.elapsed() < time {
        for host in &site.hosts {
            let mut caller = host.caller();
            sending.spawn(async move { caller.fetch(&spec()).await });
        }
        sleep(Duration::from_millis(40)).await;
    }
    let answers = sending.join_all().await;
    answers.into_iter().map(|answer| answer.expect("an answer").status).collect()
}

#[tokio::test]
async fn nothing_is_lost_while_a_sound_server_is_silent_for_a_second() {
    let site = linked_site(3).await;
    let (plain, model) = (site.backend.server("app-1"), site.backend.server("lm-1"));
    let links = site.backend.server_links();
    let pausing = async {
        sleep(PAUSE / 4).await;
        [plain, model].iter().for_each(|server| links.pause(server.address()));
        sleep(PAUSE).await;
        [plain, model].iter().for_each(|server| links.resume(server.address()));
    };
    let time = PAUSE * 2;
    let (_, tickets, pages, chats) = tokio::join!(
        pausing,
        send_for(&site, time, ticket),
        send_for(&site, time, page),
        send_for(&site, time, chat),
    );
    for (kind, statuses) in [("tickets", tickets), ("pages", pages), ("chats", chats)] {
        let failed: Vec<_> = statuses.iter().filter(|status| **status != StatusCode::OK).collect();
        assert!(failed.is_empty(), "{failed:?} of {} {kind}", statuses.len());
    }
    assert!(plain.crashed_at().is_none() && model.crashed_at().is_none());
}

#[tokio::test]
async fn a_server_that_was_silent_for_a_second_is_used_again_at_once() {
    let site = linked_site(2).await;
    let server = site.backend.server("app-1");
    let links = site.backend.server_links();
    links.pause(server.address());
    send_for(&site, PAUSE, page).await;
    links.resume(server.address());
    let runs = server.runs().len();
    let resumed = Instant::now();
    until("the server is used", async || {
        for host in &site.hosts {
            assert_eq!(status_of(host, &page()).await, Some(StatusCode::OK));
        }
        runs + 4 < server.runs().len()
    })
    .await;
    assert!(resumed.elapsed() < RETURN_TIME, "after {:?}", resumed.elapsed());
}

#[tokio::test]
async fn no_model_is_loaded_elsewhere_for_a_silence_of_a_second() {
    let site = linked_site(2).await;
    // The only server with this model.
    let desk = RequestSpec::to(crate::site::HOST, "/chat/2f").model("desk");
    until("the model is served", async || {
        status_of(&site.hosts[0], &desk.with_new_id()).await == Some(StatusCode::OK)
    })
    .await;
    sleep(RETURN_TIME).await;
    let orders = |site: &Site| -> usize {
        let other = site.backend.server("lm-2");
        other.orders().iter().filter(|order| &*order.order.model == "desk").count()
    };
    let before = orders(&site);
    let server = site.backend.server("lm-1");
    site.backend.server_links().pause(server.address());
    sleep(PAUSE).await;
    site.backend.server_links().resume(server.address());
    sleep(RETURN_TIME).await;
    assert_eq!(orders(&site), before);
}

/// When a silence begins, in a stream of ten events with 100 ms between them.
#[derive(Clone, Copy)]
enum Begins {
    /// Before the first event.
    BeforeTheHead,
    /// After the third event.
    Midway,
}

#[rstest]
#[case::before_the_head(Begins::BeforeTheHead, 300, 2)]
#[case::before_the_head_with_three_attempts(Begins::BeforeTheHead, 300, 3)]
#[case::midway(Begins::Midway, 1_000, 2)]
#[case::midway_with_three_attempts(Begins::Midway, 300, 3)]
#[tokio::test]
async fn a_stream_at_a_silent_server_goes_on_there_while_others_reject(
    #[case] begins: Begins,
    #[case] goal_ms: u64,
    #[case] attempts: u32,
) {
    let mut declared = declaration();
    for route in &mut declared.routes {
        (route.goal, route.attempts) = (Duration::from_millis(goal_ms), attempts);
    }
    let site = linked_site_with(1, &declared).await;
    let (server, other) = (site.backend.server("lm-1"), site.backend.server("lm-2"));
    let work_time = match begins {
        Begins::BeforeTheHead => Duration::from_millis(900),
        Begins::Midway => Duration::from_millis(2),
    };
    server.script(|script| {
        let event_interval = Duration::from_millis(100);
        *script = Script { work_time, events: 10, event_interval, ..Script::default() };
    });
    other.script(|script| {
        script.default_fault = Some(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    });
    let mut caller = site.hosts[0].caller();
    let silence = async {
        until("the request is at the server", async || !server.runs().is_empty()).await;
        if let Begins::Midway = begins {
            sleep(Duration::from_millis(250)).await;
        }
        site.backend.server_links().pause(server.address());
        sleep(PAUSE).await;
        site.backend.server_links().resume(server.address());
    };
    let request = draft().deadline(Some(Duration::from_secs(10)));
    let (answer, ()) = tokio::join!(caller.fetch(&request), silence);
    let answer = answer.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.events(), (1..=10).collect::<Vec<_>>());
    assert!(answer.is_complete, "the answer is cut");
    assert_eq!(server.runs().len(), 1);
}

/// Two servers work on the stream for the time of a head only.
#[rstest]
#[case::before_the_head(Begins::BeforeTheHead, 300, 2)]
#[case::midway(Begins::Midway, 1_000, 2)]
#[case::midway_with_three_attempts(Begins::Midway, 300, 3)]
#[tokio::test]
async fn a_stream_at_a_silent_server_goes_on_there_while_others_break_off_after_the_head(
    #[case] begins: Begins,
    #[case] goal_ms: u64,
    #[case] attempts: u32,
) {
    let mut declared = declaration();
    for route in &mut declared.routes {
        (route.goal, route.attempts) = (Duration::from_millis(goal_ms), attempts);
    }
    let site = linked_site_with(1, &declared).await;
    let (server, other) = (site.backend.server("lm-1"), site.backend.server("lm-2"));
    let work_time = match begins {
        Begins::BeforeTheHead => Duration::from_millis(900),
        Begins::Midway => Duration::from_millis(2),
    };
    server.script(|script| {
        let event_interval = Duration::from_millis(100);
        *script = Script { work_time, events: 10, event_interval, ..Script::default() };
    });
    // Until the first server has the request.
    other.script(|script| {
        script.default_fault = Some(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    });
    // A stream that has begun is left with its server for longer.
    let pause = match begins {
        Begins::BeforeTheHead => PAUSE,
        Begins::Midway => PAUSE * 3 / 2,
    };
    let mut caller = site.hosts[0].caller();
    let silence = async {
        until("the request is at the server", async || !server.runs().is_empty()).await;
        other.script(|script| {
            (script.is_unframed, script.default_fault) = (true, Some(Fault::Short { events: 0 }));
        });
        if let Begins::Midway = begins {
            sleep(Duration::from_millis(250)).await;
        }
        site.backend.server_links().pause(server.address());
        sleep(pause).await;
        site.backend.server_links().resume(server.address());
    };
    let request = draft().deadline(Some(Duration::from_secs(10)));
    let (answer, ()) = tokio::join!(caller.fetch(&request), silence);
    let answer = answer.expect("an answer");
    assert!(!other.runs().is_empty(), "the other server was not asked");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.events(), (1..=10).collect::<Vec<_>>());
    assert!(answer.is_complete, "the answer is cut");
}

/// What callers got of streams.
#[derive(Debug, Default, PartialEq, Eq)]
struct Ends {
    whole: usize,
    refused: usize,
    /// Neither an answer nor a refusal: cut, or ended by the host with an unclear status.
    cut: usize,
}

/// Sends streams to a server that falls silent again and again, while the other one rejects what it
/// gets, and lets `change` do something between two of them.
async fn stream_beside(site: &Site, mut change: impl FnMut(u32)) -> Ends {
    const ROUNDS: u32 = 6;
    let (server, links) = (site.backend.server("lm-1"), site.backend.server_links());
    let mut sending = JoinSet::new();
    for round in 0..ROUNDS {
        for turn in 0..24 {
            let mut caller = site.hosts[turn % site.hosts.len()].caller();
            let spec = draft().with_new_prompt().deadline(Some(Duration::from_secs(4)));
            sending.spawn(async move { caller.fetch(&spec).await });
            match turn {
                6 => links.pause(server.address()),
                21 => links.resume(server.address()),
                _ => {}
            }
            if turn % 5 == 0 {
                change(round * 24 + turn as u32);
            }
            sleep(Duration::from_millis(60)).await;
        }
    }
    let mut ends = Ends::default();
    for answer in sending.join_all().await {
        match answer {
            Ok(answer) if answer.status == StatusCode::OK && answer.is_complete => ends.whole += 1,
            Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => ends.refused += 1,
            Ok(_) | Err(_) => ends.cut += 1,
        }
    }
    ends
}

/// Requests were cut beside a change of the configuration while their server was silent.
#[tokio::test]
async fn changes_of_the_declaration_cut_no_streams_at_silent_servers() {
    let declared = declaration();
    let site = linked_site_with(3, &declared).await;
    site.backend.server("lm-1").script(|script| {
        (script.events, script.event_interval) = (5, Duration::from_millis(40));
        script.work_time = Duration::from_millis(100);
    });
    site.backend.server("lm-2").script(|script| {
        script.default_fault = Some(Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE));
    });
    let without = stream_beside(&site, |_| {}).await;
    let beside = stream_beside(&site, |step| {
        let mut declared = declared.clone();
        declared.version = 4 + u64::from(step * step);
        for (number, route) in declared.routes.iter_mut().enumerate() {
            let wave = u64::from(step) * 7 + number as u64;
            route.timeout = Duration::from_secs(5 + wave % 7);
            route.goal = Duration::from_millis(300 + 100 * (wave % 9));
            route.attempts = 2 + (wave % 3) as u32;
            route.priority = (wave % 4) as u8;
        }
        let prefix = format!("/pages/step-{step}/");
        declared.routes.push(route(&prefix, Kind::Idempotent, &[("other", 1)]));
        site.backend.declare(&declared);
    })
    .await;
    assert!(
        0 < without.whole && 0 < beside.whole,
        "{without:?} without, {beside:?} beside changes"
    );
    assert_eq!((without.cut, beside.cut), (0, 0), "{without:?} without, {beside:?} beside changes");
}
