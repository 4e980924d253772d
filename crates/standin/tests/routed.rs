//! Tests of the stand-ins for a routed deployment: the codecs of both ends agree, and the store and
//! the servers answer a host's platform adapter as the platform's protocol requires.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use platform::{
    Platform,
    remote::{entry, server},
};
use relay::edge::{
    Change, Dialect, Object, ObjectKind, Operation, Order, OrderStatus, StoreCall, StoreReply,
    WatchBatch,
};
use rstest::rstest;
use serde_json::{Value, json};
use standin::routed::{
    caller::{Caller, RequestSpec},
    server::{OrderFault, Overload, Server, Settings},
    site::{self, Backend},
    store::{Faults, Refusal, Store},
    until,
};
use tokio::{net::TcpStream, task::JoinSet};
use types::routed::{
    self, Declaration, Engine, Kind, Limits, LoadedModel, Model, Report, Route, Service, Share,
    State,
};

/// How long a call waits for its answer before it counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after which a late call is judged; far longer than a test needs for its calls before
/// that.
const LATENESS: Duration = Duration::from_secs(2);

/// Sends a call as a host does; `None` if it isn't answered within [`ANSWER_TIMEOUT`].
async fn exchange(address: SocketAddr, request: Request<Bytes>) -> Option<Response<Bytes>> {
    let sending = async {
        let stream = TcpStream::connect(address).await.ok()?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        let response = sender.send_request(request.map(Full::new)).await.ok()?;
        let (head, body) = response.into_parts();
        Some(Response::from_parts(head, body.collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(ANSWER_TIMEOUT, sending).await.ok()?
}

async fn store_reply(address: SocketAddr, call: &StoreCall<'_>) -> StoreReply {
    match exchange(address, Platform.store_call(call)).await {
        Some(response) => Platform.store_reply(call, &response),
        None => StoreReply::Unclear,
    }
}

async fn store() -> (Store, SocketAddr) {
    let store = Store::new();
    let address = store.open("main").await.unwrap();
    (store, address)
}

fn create<'a>(name: &'a str, content: &'a Value) -> StoreCall<'a> {
    StoreCall::Create { kind: ObjectKind::Lease, name, content }
}

fn replace<'a>(name: &'a str, revision: u64, content: &'a Value) -> StoreCall<'a> {
    StoreCall::Replace { kind: ObjectKind::Lease, name, revision, content }
}

fn engine() -> Engine {
    let model = |name: &str| Model {
        name: name.into(),
        weights: 1000,
        load: Duration::from_millis(1500),
        warm: Duration::from_millis(300),
        disk: Duration::from_millis(500),
        adapters: 3,
        adapter_weights: 10,
    };
    Engine {
        slots: 8,
        kv_tokens: 50_000,
        weights: 2100,
        adapter_slots: 1,
        loads_per_s: 1.5,
        host_memory: 4000,
        disk: 8000,
        stride: 6,
        backups: true,
        moves: true,
        models: ["m1", "m2", "m3"].map(model).into(),
    }
}

fn declaration() -> Declaration {
    let share = |service: &str, weight| Share { service: service.into(), weight };
    let route = Route {
        name: "drafts".into(),
        host: "a.example".into(),
        prefix: "/drafts/".into(),
        kind: Kind::Stream,
        resumable: true,
        sticky: true,
        timeout: Duration::from_millis(12_000),
        goal: Duration::from_millis(400),
        gap: Some(Duration::from_millis(150)),
        silence: Some(Duration::from_secs(2)),
        attempts: 3,
        priority: 2,
        split: vec![share("lm", 3), share("lm-next", 1)],
        public: false,
    };
    let plain = Route {
        kind: Kind::NonIdempotent,
        gap: None,
        silence: None,
        split: vec![share("app", 1)],
        ..route.clone()
    };
    let service = |name: &str, engine| Service {
        name: name.into(),
        health: "/health".into(),
        connections: 300,
        engine,
    };
    Declaration {
        version: 7,
        routes: vec![route, plain],
        services: vec![service("lm", Some(engine())), service("app", None)],
        limits: Limits::default(),
        customers: None,
    }
}

fn object(name: &str, content: Value) -> Object {
    Object { name: name.into(), revision: 1, content }
}

#[test]
fn a_declaration_is_read_as_it_was_written() {
    let content = entry::declaration(&declaration());
    assert_eq!(Platform.declaration(&object("main", content)), Ok(declaration()));
}

/// A stream may be silent for the longest of two seconds, four latency objectives and eight gaps.
#[rstest]
#[case::least(400, 150, 2_000)]
#[case::objective(800, 250, 3_200)]
#[case::pause(100, 500, 4_000)]
fn how_long_a_streams_caller_bears_silence_is_known(
    #[case] goal: u64,
    #[case] gap: u64,
    #[case] silence: u64,
) {
    let mut written = declaration();
    written.routes[0].goal = Duration::from_millis(goal);
    written.routes[0].gap = Some(Duration::from_millis(gap));
    let read = Platform.declaration(&object("main", entry::declaration(&written))).unwrap();
    assert_eq!(read.routes[0].silence, Some(Duration::from_millis(silence)));
    assert_eq!(read.routes[1].silence, None, "only streams have a limit of silence");
}

#[test]
fn a_registration_is_read_as_it_was_written() {
    let registered = routed::Server {
        id: routed::run_id("lm-1", 1_785_971_202_000),
        name: "lm-1".into(),
        started_at: 1_785_971_202_000,
        service: "lm".into(),
        software: "3.2-rc1".into(),
        address: "127.0.0.1:4000".parse().unwrap(),
        zone: "mobile-hall".into(),
        slots: 48,
        state: State::Draining,
        remaining: Some(Duration::from_millis(900)),
        cold: Duration::from_millis(1200),
        models: vec![LoadedModel { model: "m1".into(), version: 2, adapters: vec!["a1".into()] }],
        resident: vec!["m2".into()],
        on_disk: vec!["m1".into(), "m2".into()],
        sequence: 5,
    };
    let content = entry::server(&registered);
    assert_eq!(Platform.server(&object("lm-1", content)), Some(registered));
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let report = Report {
        models: vec![LoadedModel { model: "m1".into(), version: 2, adapters: vec!["a1".into()] }],
        started_at: 1_785_971_202_000,
        busy: true,
        sequence: 5,
        queued: 2,
        running: 7,
        kv_used: 800,
        kv_total: 50_000,
        adapters_loading: vec![("m1".into(), "a2".into())],
        resident: vec!["m2".into()],
        on_disk: vec!["m1".into()],
    };
    assert_eq!(Platform.report(server::report(&report).body()), Some(report));
}

#[tokio::test]
async fn objects_change_only_under_their_condition() {
    let (store, endpoint) = store().await;
    let (first, second) = (json!({"n": 1}), json!({"n": 2}));
    let StoreReply::Object(created) = store_reply(endpoint, &create("x", &first)).await else {
        panic!("the object was not created")
    };
    assert!(
        matches!(store_reply(endpoint, &create("x", &second)).await, StoreReply::Conflict(Some(held)) if held.content == first)
    );
    let stale = store_reply(endpoint, &replace("x", created.revision - 1, &second)).await;
    assert!(matches!(stale, StoreReply::Conflict(Some(held)) if held.revision == created.revision));
    let StoreReply::Object(same) =
        store_reply(endpoint, &replace("x", created.revision, &first)).await
    else {
        panic!("the object was not replaced")
    };
    assert_eq!(same.revision, created.revision, "an unchanged object keeps its revision");
    let StoreReply::Object(replaced) =
        store_reply(endpoint, &replace("x", created.revision, &second)).await
    else {
        panic!("the object was not replaced")
    };
    assert!(created.revision < replaced.revision);
    assert!(matches!(store_reply(endpoint, &replace("y", 1, &second)).await, StoreReply::Absent));

    let delete = |revision| StoreCall::Delete { kind: ObjectKind::Lease, name: "x", revision };
    assert!(matches!(
        store_reply(endpoint, &delete(created.revision)).await,
        StoreReply::Conflict(_)
    ));
    assert!(matches!(store_reply(endpoint, &delete(replaced.revision)).await, StoreReply::Absent));
    assert!(matches!(
        store_reply(endpoint, &StoreCall::Get { kind: ObjectKind::Lease, name: "x" }).await,
        StoreReply::Absent
    ));
    assert_eq!((store.count("main").reads, store.count("main").writes), (1, 8));
}

#[tokio::test]
async fn a_list_comes_in_pages() {
    let (store, endpoint) = store().await;
    store.set_page_size(2);
    for name in ["c", "a", "b"] {
        store_reply(endpoint, &create(name, &json!({}))).await;
    }
    let list = |after| StoreCall::List { kind: ObjectKind::Lease, after };
    let StoreReply::Page(first) = store_reply(endpoint, &list(None)).await else {
        panic!("the reply is not a page")
    };
    let names: Vec<&str> = first.objects.iter().map(|object| &*object.name).collect();
    assert_eq!((names, first.more, first.revision), (vec!["a", "b"], true, store.revision()));
    let StoreReply::Page(second) = store_reply(endpoint, &list(Some("b"))).await else {
        panic!("the reply is not a page")
    };
    assert_eq!((second.objects.len(), second.more), (1, false));
}

#[tokio::test]
async fn a_watch_sees_each_change_once_until_history_is_gone() {
    let (store, endpoint) = store().await;
    let watch = |since| StoreCall::Watch {
        kind: ObjectKind::Lease,
        since,
        wait: Duration::from_millis(200),
    };
    let since = store.revision();
    let waiting = tokio::spawn(async move { store_reply(endpoint, &watch(since)).await });
    until("the watch is waiting", async || store.count("main").watches == 1).await;
    store_reply(endpoint, &create("x", &json!({}))).await;
    let StoreReply::Seen(WatchBatch { changes, revision }) = waiting.await.unwrap() else {
        panic!("the reply is not a batch of changes")
    };
    assert!(matches!(&changes[..], [Change::Written(object)] if &*object.name == "x"));
    let StoreReply::Seen(none) = store_reply(endpoint, &watch(revision)).await else {
        panic!("the reply is not a batch of changes")
    };
    assert!(none.changes.is_empty());

    store.remove(&platform::remote::store::kind(ObjectKind::Lease), "x");
    let StoreReply::Seen(seen) = store_reply(endpoint, &watch(revision)).await else {
        panic!("the reply is not a batch of changes")
    };
    assert!(matches!(&seen.changes[..], [Change::Removed { name, .. }] if &**name == "x"));
    store.compact();
    assert!(matches!(store_reply(endpoint, &watch(revision)).await, StoreReply::Compacted));
    assert!(matches!(store_reply(endpoint, &watch(store.revision())).await, StoreReply::Seen(_)));
}

#[rstest]
#[case::down(Refusal::Down)]
#[case::too_many(Refusal::TooMany)]
#[case::reset(Refusal::Reset)]
#[case::silence(Refusal::Silence)]
#[tokio::test]
async fn a_caller_that_is_turned_away_changes_nothing(#[case] refusal: Refusal) {
    let (store, endpoint) = store().await;
    let other = store.open("other").await.unwrap();
    store.set_faults("main", |faults| faults.refusal = Some(refusal));
    let refused = store_reply(endpoint, &create("x", &json!({}))).await;
    let is_answered = matches!(refusal, Refusal::Down | Refusal::TooMany);
    assert_eq!(matches!(refused, StoreReply::Refused), is_answered, "{refused:?}");
    assert!(matches!(store_reply(other, &create("x", &json!({}))).await, StoreReply::Object(_)));
    assert_eq!((store.count("main").refused, store.count("other").refused), (1, 0));
}

#[rstest]
#[case::lost_after_its_effect(|faults: &mut Faults| faults.lost_replies = 1)]
#[case::carried_out_late(|faults: &mut Faults| faults.late_write = Some(LATENESS))]
#[tokio::test]
async fn a_write_without_an_answer_takes_effect(#[case] change: fn(&mut Faults)) {
    let (store, endpoint) = store().await;
    store.set_faults("main", change);
    assert!(matches!(store_reply(endpoint, &create("x", &json!({}))).await, StoreReply::Unclear));
    let kind = platform::remote::store::kind(ObjectKind::Lease);
    until("the write takes effect", async || store.object(&kind, "x").is_some()).await;
}

#[tokio::test]
async fn a_late_write_whose_condition_no_longer_holds_does_nothing() {
    let (store, endpoint) = store().await;
    let StoreReply::Object(created) = store_reply(endpoint, &create("x", &json!(1))).await else {
        panic!("the object was not created")
    };
    store.set_faults("main", |faults| faults.late_write = Some(LATENESS));
    assert!(matches!(
        store_reply(endpoint, &replace("x", created.revision, &json!(2))).await,
        StoreReply::Unclear
    ));
    let StoreReply::Object(replaced) =
        store_reply(endpoint, &replace("x", created.revision, &json!(3))).await
    else {
        panic!("the object was not replaced")
    };
    until("the late write has been applied or rejected", async || {
        store.count("main").late_writes == 1
    })
    .await;
    let kind = platform::remote::store::kind(ObjectKind::Lease);
    let held = store.object(&kind, "x").unwrap();
    assert_eq!((held.revision, held.content), (replaced.revision, json!(3)));
}

fn order(operation: Operation, model: &str, adapter: Option<&str>, expected: u64) -> Order {
    Order {
        server: "lm-1".into(),
        operation,
        model: model.into(),
        adapter: adapter.map(Into::into),
        expected,
        holder: "host-1".into(),
        fence: 3,
    }
}

async fn order_status(server: &Server, order: &Order) -> OrderStatus {
    let response = exchange(server.address(), Platform.order_call(order)).await;
    response.map_or(OrderStatus::Unknown, |response| Platform.order_reply(&response).status)
}

async fn model_server() -> Server {
    Server::start(Settings::model("lm-1", "lm", &engine(), &["m1"])).await.unwrap()
}

fn load(model: &str, expected: u64) -> Order {
    order(Operation::Load, model, None, expected)
}

#[tokio::test]
async fn orders_are_judged_by_what_is_expected() {
    let server = model_server().await;
    assert_eq!(order_status(&server, &load("m1", 0)).await, OrderStatus::Holds);
    assert_eq!(order_status(&server, &load("m2", 1)).await, OrderStatus::Conflict);
    assert_eq!(order_status(&server, &load("m9", 0)).await, OrderStatus::Invalid);
    assert_eq!(order_status(&server, &load("m2", 0)).await, OrderStatus::Accepted);
    assert_eq!(
        order_status(&server, &load("m3", 1)).await,
        OrderStatus::Conflict,
        "the server is loading another model"
    );
    let adapter = |operation, expected| order(operation, "m1", Some("a1"), expected);
    assert_eq!(order_status(&server, &adapter(Operation::Load, 1)).await, OrderStatus::Accepted);
    let registration = server.registration();
    until("the model and the adapter are held", async || {
        let held = registration.borrow().models.clone();
        held.len() == 2 && held[0].adapters.len() == 1
    })
    .await;
    assert_eq!(order_status(&server, &adapter(Operation::Unload, 2)).await, OrderStatus::Holds);
    assert_eq!(registration.borrow().sequence, 3);
    let elsewhere = Order { server: "lm-2".into(), ..load("m3", 3) };
    assert_eq!(order_status(&server, &elsewhere).await, OrderStatus::NotThere);
    assert_eq!(server.overload(), None);
}

#[rstest]
#[case::lost(OrderFault::Lost)]
#[case::late(OrderFault::Late(LATENESS))]
#[tokio::test]
async fn an_order_without_an_answer_is_carried_out(#[case] fault: OrderFault) {
    let server = model_server().await;
    server.script(|script| script.order_faults = [fault].into());
    assert_eq!(order_status(&server, &load("m2", 0)).await, OrderStatus::Unknown);
    let registration = server.registration();
    until("the order is applied", async || registration.borrow().models.len() == 2).await;
    assert_eq!(registration.borrow().sequence, 1);
}

#[tokio::test]
async fn a_late_order_after_another_does_nothing() {
    let server = model_server().await;
    server.script(|script| script.order_faults = [OrderFault::Late(LATENESS)].into());
    assert_eq!(order_status(&server, &load("m2", 0)).await, OrderStatus::Unknown);
    assert_eq!(order_status(&server, &load("m3", 0)).await, OrderStatus::Accepted);
    until("the late order has been judged", async || server.orders().len() == 2).await;
    assert_eq!(server.orders()[1].outcome, OrderStatus::Conflict);
}

#[tokio::test]
async fn a_server_that_is_ordered_too_much_ends() {
    let server = model_server().await;
    assert_eq!(order_status(&server, &load("m2", 0)).await, OrderStatus::Accepted);
    let registration = server.registration();
    until("the model is held", async || registration.borrow().models.len() == 2).await;
    order_status(&server, &load("m3", 1)).await;
    assert_eq!(server.overload(), Some(Overload::Weights));
    assert_eq!(order_status(&server, &load("m1", 1)).await, OrderStatus::Unknown);
}

/// Requests that a full server rejects must not change its count of waiting requests.
#[tokio::test]
async fn a_full_server_takes_as_many_as_before_once_it_has_room() {
    let settings = Settings { slots: 1, queue: 1, ..Settings::plain("app-1", "app") };
    let server = Server::start(settings).await.unwrap();
    server.script(|script| script.work_time = Duration::from_millis(300));
    let request = || RequestSpec::to("a.example", "/pages/x");
    for _ in 0..2 {
        let mut callers = JoinSet::new();
        for _ in 0..5 {
            let mut caller = Caller::new(server.address());
            callers.spawn(async move { caller.fetch(&request()).await.unwrap().status });
        }
        let statuses = callers.join_all().await;
        let taken = statuses.iter().filter(|status| status.is_success()).count();
        assert_eq!(taken, 2, "one request runs and one waits: {statuses:?}");
    }
}

/// Guards against a host or server being mistaken for one of another site that had its port before.
#[tokio::test]
async fn sites_side_by_side_have_addresses_of_their_own() {
    let mut addresses = BTreeSet::new();
    for _ in 0..3 {
        let backend = Backend::start(vec![Settings::plain("app-1", "app")]).await.unwrap();
        let endpoint = backend.store.open("host-0").await.unwrap();
        let settings = site::settings("host-0", 0, endpoint, &[]);
        let host: SocketAddr = settings["host"]["peers"].as_str().unwrap().parse().unwrap();
        let server = backend.server("app-1").address();
        assert!([endpoint, host, server].into_iter().all(|address| addresses.insert(address.ip())));
    }
}
