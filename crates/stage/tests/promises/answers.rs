//! A caller receives the complete answer to its own request.

use std::time::Duration;

use rstest::rstest;
use standin::{
    engine::Settings,
    fault::{Direction, Fault, Interception},
};

use crate::common::{Builder, Chat, Ending, LoadGenerator, Site, Workload, until};

const MODEL: &str = "lector";

fn engine(id: &str) -> Settings {
    Settings::new(id).with_model(MODEL, "v1", 900)
}

async fn site() -> Site {
    Builder::new(2).engine(engine("lm-1")).engine(engine("lm-2")).with_proxies().start().await
}

fn workload(name: &'static str) -> Workload {
    Workload { name, models: vec![MODEL.into()], tokens: 60 }
}

#[tokio::test]
async fn whole_answer_when_an_engine_dies_mid_stream() {
    let site = site().await;
    let generator = LoadGenerator::start(8, &site.host_addresses(), workload("dies"));
    until("both engines run requests", async || site.engines().iter().all(|e| 1 < e.in_flight()))
        .await;

    site.engines()[0].crash();
    until("enough calls have completed", async || 24 <= generator.endings().complete_count()).await;

    let endings = generator.stop().await;
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.shut_down().await;
}

#[rstest]
#[case::in_the_head(40)]
#[case::after_the_first_token(400)]
#[case::far_in(3_000)]
#[tokio::test]
async fn whole_answer_when_streams_are_cut(#[case] bytes: u64) {
    let site = site().await;
    let link = site.links().server("lm-1");
    let generator = LoadGenerator::start(6, &site.host_addresses(), workload("cut"));
    until("the engine runs requests", async || 0 < site.engines()[0].in_flight()).await;

    link.set(Direction::ToClient, Fault::ResetAfter(bytes));
    until("enough calls have completed", async || 12 <= generator.endings().complete_count()).await;
    link.heal();

    let endings = generator.stop().await;
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.shut_down().await;
}

#[tokio::test]
async fn whole_answer_when_it_comes_a_byte_at_a_time() {
    let site = site().await;
    ["lm-1", "lm-2"].iter().for_each(|id| site.links().server(id).slice(1));

    for number in 0..4 {
        let chat = Chat::new(format!("slow-{number}"), MODEL, 30);
        let host = &site.hosts()[number % 2];
        assert_eq!(chat.send(host.callers()).await, Ending::Complete);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn whole_answers_to_their_own_requests_when_they_come_out_of_order() {
    let site = site().await;
    // The answer to the first request is held back until the second has been answered.
    let interceptors = ["lm-1", "lm-2"]
        .map(|id| site.links().server(id).intercept("letter first", Interception::HoldAnswer));
    let callers = site.hosts()[0].callers();
    let first = tokio::spawn(async move { Chat::new("first", MODEL, 20).send(callers).await });
    until("the first answer is held back", async || {
        interceptors.iter().any(|interceptor| interceptor.has_triggered())
    })
    .await;

    assert_eq!(Chat::new("second", MODEL, 20).send(callers).await, Ending::Complete);
    assert!(!first.is_finished());
    interceptors.iter().for_each(|interceptor| interceptor.release());

    assert_eq!(first.await.unwrap(), Ending::Complete);
    site.shut_down().await;
}

#[tokio::test]
async fn whole_answer_when_it_comes_late() {
    let site = site().await;
    let generator = LoadGenerator::start(6, &site.host_addresses(), workload("late"));
    until("the engine runs requests", async || 0 < site.engines()[0].in_flight()).await;

    let link = site.links().server("lm-1");
    link.set(Direction::ToClient, Fault::Hold);
    tokio::time::sleep(Duration::from_millis(500)).await;
    link.heal();
    until("enough calls have completed", async || 12 <= generator.endings().complete_count()).await;

    let endings = generator.stop().await;
    assert_eq!(endings.failures(), [], "failures among {} calls", endings.all().len());
    site.shut_down().await;
}
