//! Sound servers that are silent for about a second and then go on.

use std::time::Duration;

use http::StatusCode;
use standin::routed::{caller::RequestSpec, site::Site, until};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

use crate::site::{chat, linked_site, page, status_of, ticket};

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
    for statuses in [tickets, pages, chats] {
        let failed = statuses.iter().filter(|status| **status != StatusCode::OK).count();
        assert_eq!(failed, 0, "of {}", statuses.len());
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
