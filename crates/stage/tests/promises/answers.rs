//! A caller receives the whole answer to its own request.

use std::time::Duration;

use rstest::rstest;
use standin::{
    engine::Settings,
    fault::{Direction, Fault, Interception},
};

use crate::common::{Ask, Builder, Chat, Crowd, Ending, Site, until};

const MODEL: &str = "lector";

fn engine(id: &str) -> Settings {
    Settings::new(id).with_model(MODEL, "v1", 900)
}

async fn site() -> Site {
    Builder::new(2).engine(engine("lm-1")).engine(engine("lm-2")).linked().start().await
}

fn ask(name: &'static str) -> Ask {
    Ask { name, models: vec![MODEL.into()], tokens: 60 }
}

#[tokio::test]
async fn whole_answer_when_an_engine_dies_mid_stream() {
    let site = site().await;
    let crowd = Crowd::start(8, &site.entrances(), ask("dies"));
    until("both engines run requests", async || site.engines().iter().all(|e| 1 < e.in_flight()))
        .await;

    site.engines()[0].crash();
    until("calls go on", async || 24 <= crowd.endings().whole()).await;

    let endings = crowd.stop().await;
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.end().await;
}

#[rstest]
#[case::in_the_head(40)]
#[case::after_the_first_token(400)]
#[case::far_in(3_000)]
#[tokio::test]
async fn whole_answer_when_streams_are_cut(#[case] bytes: u64) {
    let site = site().await;
    let link = site.links().server("lm-1");
    let crowd = Crowd::start(6, &site.entrances(), ask("cut"));
    until("streams run", async || 0 < site.engines()[0].in_flight()).await;

    link.set(Direction::ToClient, Fault::ResetAfter(bytes));
    until("calls go on", async || 12 <= crowd.endings().whole()).await;
    link.heal();

    let endings = crowd.stop().await;
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.end().await;
}

#[tokio::test]
async fn whole_answer_when_it_comes_a_byte_at_a_time() {
    let site = site().await;
    ["lm-1", "lm-2"].iter().for_each(|id| site.links().server(id).slice(1));

    for number in 0..4 {
        let chat = Chat::new(format!("slow-{number}"), MODEL, 30);
        let host = &site.hosts()[number % 2];
        assert_eq!(chat.send(host.callers()).await, Ending::Whole);
    }
    site.end().await;
}

#[tokio::test]
async fn whole_answers_to_their_own_requests_when_they_come_out_of_order() {
    let site = site().await;
    // The answer of the first is kept back until the second has its own.
    let traps = ["lm-1", "lm-2"]
        .map(|id| site.links().server(id).intercept("letter first", Interception::HoldAnswer));
    let callers = site.hosts()[0].callers();
    let first = tokio::spawn(async move { Chat::new("first", MODEL, 20).send(callers).await });
    until("the first answer is held", async || traps.iter().any(|trap| trap.has_triggered())).await;

    assert_eq!(Chat::new("second", MODEL, 20).send(callers).await, Ending::Whole);
    assert!(!first.is_finished());
    traps.iter().for_each(|trap| trap.release());

    assert_eq!(first.await.unwrap(), Ending::Whole);
    site.end().await;
}

#[tokio::test]
async fn whole_answer_when_it_comes_late() {
    let site = site().await;
    let crowd = Crowd::start(6, &site.entrances(), ask("late"));
    until("streams run", async || 0 < site.engines()[0].in_flight()).await;

    let link = site.links().server("lm-1");
    link.set(Direction::ToClient, Fault::Hold);
    tokio::time::sleep(Duration::from_millis(500)).await;
    link.heal();
    until("calls go on", async || 12 <= crowd.endings().whole()).await;

    let endings = crowd.stop().await;
    assert_eq!(endings.others(), [], "of {}", endings.all().len());
    site.end().await;
}
