//! Servers that refuse requests, fail, close connections early or give wrong answers.

use std::time::Duration;

use http::StatusCode;
use rstest::rstest;
use standin::routed::{
    caller::RequestSpec,
    server::{Ending, Fault, Settings},
    until,
};

use crate::{
    site::{HOST, chat, page, server_of, site, status_of, ticket},
    stories::{metrics, value, wait_for_retries},
};

const DEADLINE: Duration = Duration::from_secs(2);

#[rstest]
#[case::full(StatusCode::SERVICE_UNAVAILABLE)]
#[case::too_many(StatusCode::TOO_MANY_REQUESTS)]
#[case::misdirected(StatusCode::MISDIRECTED_REQUEST)]
#[tokio::test]
async fn what_a_server_did_not_run_is_tried_elsewhere(
    #[case] status: StatusCode,
    #[values(page(), ticket(), chat())] request: RequestSpec,
) {
    let site = site(1).await;
    // A host has no retry budget until its registration is in the store.
    until("the host may retry", async || {
        let text = metrics(&site.hosts[0]).await;
        let retry_budget =
            |service| value(&text, &format!("cyclamenstage_routed_budget{{service={service:?}}}"));
        ["app", "lm"]
            .into_iter()
            .all(|service| retry_budget(service).is_some_and(|budget| 1.0 <= budget))
    })
    .await;
    for id in ["app-1", "lm-1"] {
        site.backend.server(id).script(|script| script.default_fault = Some(Fault::NotRun(status)));
    }
    for _ in 0..4 {
        let copy = request.with_new_id();
        assert_eq!(status_of(&site.hosts[0], &copy).await, Some(StatusCode::OK));
        assert_eq!(site.backend.runs_of(&copy.id()), 1);
    }
}

#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[case::stream(chat())]
#[tokio::test]
async fn what_no_server_ran_is_refused_as_not_run(#[case] request: RequestSpec) {
    let site = site(1).await;
    let full = Fault::NotRun(StatusCode::SERVICE_UNAVAILABLE);
    site.backend.script(|script| script.default_fault = Some(full));
    let request = request.deadline(Some(DEADLINE));
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.metadata.seal, None);
    assert_eq!(site.backend.runs(), 0);
}

#[rstest]
#[case::lost(Fault::Lost)]
#[case::truncated(Fault::Truncated)]
#[case::garbled(Fault::Garbled)]
#[case::unsealed(Fault::Unsealed)]
#[case::of_another_request(Fault::OtherId)]
#[case::under_an_encoding(Fault::Encoded)]
#[case::reset(Fault::UnframedReset)]
#[tokio::test]
async fn a_non_idempotent_request_never_runs_twice(#[case] fault: Fault) {
    let site = site(1).await;
    site.backend.script(|script| script.default_fault = Some(fault));
    for _ in 0..3 {
        let request = ticket();
        let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
        let unresolved = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT];
        assert!(
            unresolved.contains(&answer.status),
            "got {} for a request that ran",
            answer.status
        );
        assert_eq!(site.backend.runs_of(&request.id()), 1);
    }
}

#[rstest]
#[case::lost(Fault::Lost)]
#[case::truncated(Fault::Truncated)]
#[case::garbled(Fault::Garbled)]
#[case::unsealed(Fault::Unsealed)]
#[case::of_another_request(Fault::OtherId)]
#[case::under_an_encoding(Fault::Encoded)]
#[case::reset(Fault::UnframedReset)]
#[tokio::test]
async fn an_idempotent_request_is_tried_elsewhere(#[case] fault: Fault) {
    let site = site(1).await;
    wait_for_retries(&site.hosts[0], "app").await;
    site.backend.server("app-1").script(|script| script.default_fault = Some(fault));
    for _ in 0..4 {
        let request = page();
        let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
        let log = site.hosts[0].log().into_iter().map(|line| line["message"].to_string());
        let log = log.filter(|line| line.contains(&*request.id())).collect::<Vec<_>>();
        let seen = (answer.status, answer.is_complete);
        assert_eq!(seen, (StatusCode::OK, true), "{log:#?}");
        assert_eq!(answer.field("server"), "app-2");
        assert_eq!(answer.field("request"), *request.id());
        assert!(site.backend.runs_of(&request.id()) <= 2);
    }
}

#[rstest]
#[case::garbled(Fault::Garbled)]
#[case::unsealed(Fault::Unsealed)]
#[case::of_another_request(Fault::OtherId)]
#[case::under_an_encoding(Fault::Encoded)]
#[case::lost(Fault::Lost)]
#[tokio::test]
async fn a_wrong_answer_to_a_stream_never_passes(#[case] fault: Fault) {
    let site = site(1).await;
    site.backend.script(|script| script.default_fault = Some(fault));
    let request = chat();
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert!(answer.status.is_server_error(), "{}", answer.status);
    assert_eq!((answer.events(), answer.metadata.seal), (vec![], None));
    assert_eq!(site.backend.runs_of(&request.id()), 1);
}

#[rstest]
#[case::without_a_length(Fault::Unframed)]
#[case::and_closes(Fault::Closing)]
#[case::and_another_follows(Fault::Doubled)]
#[tokio::test]
async fn each_caller_gets_its_own_answer(#[case] fault: Fault) {
    let site = site(1).await;
    site.backend.script(|script| script.default_fault = Some(fault));
    let mut caller = site.hosts[0].caller();
    for _ in 0..10 {
        let request = page();
        let answer = caller.fetch(&request).await.unwrap();
        assert_eq!((answer.status, answer.is_complete), (StatusCode::OK, true));
        assert_eq!(answer.metadata.id, Some(request.id()));
        assert_eq!(answer.field("request"), *request.id());
    }
    assert_eq!(caller.connections(), 1);
}

#[rstest]
#[case::at_once(Fault::Doubled)]
#[case::late(Fault::DoubledLate)]
#[tokio::test]
async fn a_second_answer_is_nobodys(#[case] fault: Fault) {
    let site = site(1).await;
    site.backend.script(|script| script.default_fault = Some(fault));
    let mut caller = site.hosts[0].caller();
    for _ in 0..20 {
        let request = ticket();
        let answer = caller.fetch(&request).await.unwrap();
        assert_eq!(site.backend.runs_of(&request.id()), 1);
        if answer.status == StatusCode::OK {
            assert_eq!(answer.metadata.id, Some(request.id()));
            assert_eq!(answer.field("request"), *request.id());
        } else {
            // The extra answer arrived in place of this request's own, which is lost.
            assert_eq!((answer.status, answer.metadata.seal), (StatusCode::BAD_GATEWAY, None));
        }
    }
}

#[tokio::test]
async fn a_servers_own_failure_is_handed_on() {
    let site = site(1).await;
    let failed = Fault::Failed(StatusCode::INTERNAL_SERVER_ERROR);
    site.backend.script(|script| script.default_fault = Some(failed));
    let request = ticket();
    let answer = site.hosts[0].caller().fetch(&request).await.unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(answer.metadata.seal.is_some());
    assert_eq!(
        (answer.field("request"), site.backend.runs_of(&request.id())),
        (request.id().as_ref().into(), 1)
    );
}

#[tokio::test]
async fn an_address_that_another_service_took_over_runs_nothing() {
    let mut site = site(1).await;
    let address = site.backend.server("app-1").address();
    site.backend.server("app-1").kill();
    site.backend.add_at(address, Settings::plain("other-2", "other")).await.unwrap();
    for _ in 0..10 {
        let request = ticket();
        assert_eq!(server_of(&site.hosts[0], &request).await.as_deref(), Some("app-2"));
    }
    assert_eq!(site.backend.server("other-2").runs().len(), 0);
}

#[tokio::test]
async fn a_server_that_is_gone_without_a_word_costs_nothing() {
    let site = site(1).await;
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::OK));
    site.backend.server("app-1").kill();
    for _ in 0..10 {
        assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::OK));
        assert_eq!(status_of(&site.hosts[0], &ticket()).await, Some(StatusCode::OK));
    }
}

#[rstest]
#[case::idempotent(page())]
#[case::non_idempotent(ticket())]
#[case::stream(chat())]
#[tokio::test]
async fn a_caller_that_leaves_closes_the_servers_connection(#[case] request: RequestSpec) {
    let site = site(1).await;
    site.backend.script(|script| script.default_fault = Some(Fault::Silent));
    let mut caller = site.hosts[0].caller();
    let pending = tokio::spawn(async move { caller.fetch(&request).await });
    until("the request runs", async || site.backend.runs() == 1).await;
    pending.abort();
    until("the server sees that the caller has closed the connection", async || {
        let runs = site.backend.servers.iter().flat_map(|server| server.runs());
        runs.into_iter().all(|run| run.ending == Some(Ending::CallerClosed))
    })
    .await;
    assert_eq!(site.backend.runs(), 1);
}

#[tokio::test]
async fn a_request_that_crashes_servers_is_stopped() {
    let mut site = site(1).await;
    for number in 3..7 {
        site.backend.add(Settings::plain(&format!("app-{number}"), "app")).await.unwrap();
    }
    site.wait_until_observed().await;
    site.backend.script(|script| script.poison = Some("poison"));
    let poison = RequestSpec::to(HOST, "/pages/x")
        .with_body(http::Method::POST, "poison")
        .deadline(Some(DEADLINE));
    for _ in 0..6 {
        let status = status_of(&site.hosts[0], &poison.with_new_id()).await;
        assert!(status.is_some_and(|status| status.is_server_error()), "{status:?}");
    }
    let crashed = |run: &standin::routed::server::Run| run.ending == Some(Ending::Crashed);
    let runs = site.backend.servers.iter().flat_map(|server| server.runs());
    let crashes = runs.into_iter().filter(crashed).count();
    assert!(crashes <= 3, "the request crashed {crashes} servers");
    assert_eq!(status_of(&site.hosts[0], &page()).await, Some(StatusCode::OK));
}
