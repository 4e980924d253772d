//! Load reports: the reader returns all residents although unchanged ones are left out on the wire.

use ::backend::{Client, reports::Reader};
use meter::Meter;
use standin::engine::{Engine, Settings};
use types::{
    order::{Ack, Action, Order},
    prelude::*,
};

fn order(unit: &Unit) -> Order {
    Order {
        id: "order-1".into(),
        server: "lm-1".into(),
        fence: 1,
        sender: "host-1".into(),
        incarnation: 1,
        action: Action::Load { unit: unit.clone(), memory: 100 },
    }
}

fn many_residents() -> Settings {
    let settings = Settings::new("lm-1").with_model("welcome", "v1", 1_000);
    (0..20).fold(settings, |s, place| s.with_adapter("welcome", &format!("lang-{place}"), "v1", 10))
}

#[tokio::test]
async fn known_residents_are_left_out_and_filled_in() {
    let engine = Engine::start(many_residents()).await.unwrap();
    let meter = Meter::default();
    let client = Client::with_meter(meter.clone());
    let mut reader = Reader::new(engine.address());
    let first = reader.read(&client).await.unwrap();
    let full = meter.received();
    let second = reader.read(&client).await.unwrap();
    let brief = meter.received() - full;
    assert_eq!(first.residents.len(), 21);
    assert_eq!(first.residents, second.residents);
    assert!(brief * 3 < full, "second report: {brief} bytes, first: {full} bytes");
}

#[tokio::test]
async fn changed_residents_are_sent_again() {
    let engine = Engine::start(many_residents()).await.unwrap();
    let client = Client::new();
    let mut reader = Reader::new(engine.address());
    reader.read(&client).await.unwrap();
    let unit = Unit::Model { model: "front-desk".into(), version: "v1".into() };
    assert_eq!(client.order(engine.address(), &order(&unit)).await.unwrap(), Ack::Accepted);
    let load = reader.read(&client).await.unwrap();
    assert!(load.residents.iter().any(|resident| resident.unit == unit));
}

#[tokio::test]
async fn a_restarted_engine_is_read_anew() {
    let engine = Engine::start(Settings::new("lm-1")).await.unwrap();
    let client = Client::new();
    let mut reader = Reader::new(engine.address());
    let unit = Unit::Model { model: "front-desk".into(), version: "v1".into() };
    client.order(engine.address(), &order(&unit)).await.unwrap();
    assert_eq!(reader.read(&client).await.unwrap().residents.len(), 1);
    engine.crash();
    engine.restart().await.unwrap();
    assert_eq!(reader.read(&client).await.unwrap().residents, []);
}
