//! Requests of each kind that succeed, and what the server receives of them.

use std::time::Duration;

use http::{Method, StatusCode};
use rstest::rstest;
use standin::routed::{caller::RequestSpec, server::Ending, until};

use crate::site::{HOST, chat, draft, page, site, ticket};

#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[case::with_a_body(RequestSpec::to(HOST, "/pages/form").with_body(Method::PUT, vec![b'x'; 100_000]))]
#[case::method_of_its_own(RequestSpec::to(HOST, "/pages/form").with_body(Method::DELETE, ""))]
#[tokio::test]
async fn a_plain_request_is_served(#[case] request: RequestSpec) {
    let site = site(1).await;
    let sent = request.request();
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(answer.metadata.id, Some(request.id()));
    let server = answer.field("server").as_str().unwrap().to_owned();
    let seal = format!("{server}.{}", request.id());
    assert_eq!(answer.metadata.seal.as_deref(), Some(&*seal));

    let runs = site.backend.server(&server).runs();
    assert_eq!(runs.len(), 1);
    let path = sent.uri().path_and_query().unwrap().as_str();
    assert_eq!((&runs[0].method, &*runs[0].path), (sent.method(), path));
    assert_eq!(runs[0].body, *sent.body());
    assert_eq!(runs[0].ending, Some(Ending::Answered));
}

#[rstest]
#[case::stream(chat(), 1)]
#[case::resumable(draft(), 1)]
#[case::resumed_by_the_caller(draft(), 3)]
#[tokio::test]
async fn a_stream_is_served(#[case] mut request: RequestSpec, #[case] first: u64) {
    let site = site(1).await;
    if let 2.. = first {
        let mut caller = site.hosts[0].caller();
        let mut opened = caller.open(&request).await.unwrap();
        assert!(opened.event(first - 1).await);
        request = request.with_new_id().take_up(&request.id(), first - 1);
    }
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
    assert_eq!(answer.events(), (first..=5).collect::<Vec<_>>());
    assert!(answer.metadata.seal.is_some());
    assert_eq!(site.backend.runs_of(&request.id()), 1);
}

#[tokio::test]
async fn a_model_that_one_server_holds_is_served() {
    let site = site(1).await;
    for _ in 0..4 {
        let request = chat().model("desk");
        let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(site.backend.runs_of(&request.id()), 1);
    }
}

#[rstest]
#[case::adapter(chat().adapter("a1"))]
#[case::model(chat().model("notes"))]
#[tokio::test]
async fn what_no_server_holds_is_loaded(#[case] request: RequestSpec) {
    let site = site(2).await;
    let mut caller = site.hosts[0].caller();
    until("the request is served", async || {
        let answer = caller.fetch(&request.with_new_id()).await.unwrap();
        let allowed = [StatusCode::OK, StatusCode::SERVICE_UNAVAILABLE];
        assert!(allowed.contains(&answer.status), "{}", answer.status);
        answer.events() == [1, 2, 3, 4, 5]
    })
    .await;
    for server in &site.backend.servers {
        assert_eq!(server.overload(), None, "{} got {:?}", server.id(), server.orders());
    }
}

#[rstest]
#[case::plain(page())]
#[case::stream(chat())]
#[tokio::test]
async fn headers_that_are_the_systems_are_dropped_from_strangers(#[case] request: RequestSpec) {
    let site = site(1).await;
    let request = request.with_reserved_headers();
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!(
        answer.status,
        StatusCode::OK,
        "a forged header of the caller changed the choice of server"
    );
    let runs = site.backend.servers.iter().flat_map(|server| server.runs());
    for run in runs.filter(|run| run.request.id == Some(request.id())) {
        assert_eq!(run.request.controls, Vec::<http::HeaderName>::new());
        assert_ne!(run.request.priority, Some(7));
        assert_eq!(run.request.version, None);
    }
}

#[tokio::test]
async fn headers_of_one_connection_stay_there_and_others_pass() {
    let site = site(1).await;
    let request = page()
        .header("connection", "x-mine, keep-alive")
        .header("x-mine", "1")
        .header("te", "trailers")
        .header("x-room", "12");
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    let server = answer.field("server").as_str().unwrap().to_owned();
    let headers = site.backend.server(&server).runs()[0].headers.clone();
    assert_eq!(headers["x-room"], "12");
    assert!(!headers.contains_key("x-mine") && !headers.contains_key("te"), "{headers:?}");
}

#[tokio::test]
async fn the_deadline_passed_on_is_what_is_left() {
    let site = site(1).await;
    let request = page().deadline(Some(Duration::from_secs(5)));
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    let server = answer.field("server").as_str().unwrap().to_owned();
    let deadline = site.backend.server(&server).runs()[0].request.deadline.unwrap();
    assert!(deadline <= Duration::from_secs(5), "{deadline:?}");

    let answer = site.hosts[0].caller().fetch(&page().deadline(None)).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let runs = site.backend.servers.iter().flat_map(|server| server.runs());
    assert!(
        runs.into_iter().all(|run| run.request.deadline.is_some()),
        "a request reached a server without a deadline"
    );
}

#[tokio::test]
async fn a_callers_connection_is_kept() {
    let site = site(1).await;
    let mut caller = site.hosts[0].caller();
    for request in [page(), ticket(), chat(), page()] {
        assert_eq!(caller.fetch(&request).await.unwrap().status, StatusCode::OK);
    }
    assert_eq!(caller.connections(), 1);
}
