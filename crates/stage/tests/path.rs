//! End-to-end calls through real host processes to stand-in backend servers.

mod common;

use common::{Site, answer_text, events, post_chat};
use serde_json::json;
use standin::{engine, plain::Plain};

#[tokio::test]
async fn streamed_chat_goes_through_each_host_process() {
    let site =
        Site::start(2, vec![engine::Settings::new("lm-1").with_model("welcome", "v1", 900)]).await;
    for host in site.hosts() {
        let body = json!({
            "model": "welcome", "stream": true, "max_tokens": 12,
            "messages": [{"role": "user", "content": "Bienvenue"}],
        });
        let response = post_chat(host.callers(), &body).await;
        assert_eq!(response.status, 200, "{}", response.text());
        let events = events(&response.text());
        assert_eq!(events.last().map(|e| e.data.as_str()), Some("[DONE]"));
        let offsets: Vec<u64> = events.iter().filter_map(|e| e.id).collect();
        assert_eq!(offsets, (0..12).collect::<Vec<u64>>());
        assert_eq!(answer_text(&events), site.expected_text(&body, 12));
    }
    site.shut_down().await;
}

#[tokio::test]
async fn whole_chat_answer_equals_the_stream() {
    let site =
        Site::start(1, vec![engine::Settings::new("lm-1").with_model("welcome", "v1", 900)]).await;
    let body = json!({
        "model": "welcome", "max_tokens": 5, "messages": [{"role": "user", "content": "hola"}],
    });
    let response = post_chat(site.hosts()[0].callers(), &body).await;
    assert_eq!(response.status, 200, "{}", response.text());
    let answer = response.json();
    assert_eq!(answer["choices"][0]["message"]["content"], site.expected_text(&body, 5));
    site.shut_down().await;
}

#[tokio::test]
async fn plain_call_passes_method_path_query_and_body() {
    let plain = Plain::start("app-1").await.unwrap();
    let site = Site::start_with(2, Vec::new(), vec![plain]).await;
    for host in site.hosts() {
        let uri = "/services/tickets/rooms/12?lang=es";
        let response = common::send(host.callers(), "PUT", uri, &[], "a long letter").await;
        assert_eq!(response.status, 200, "{}", response.text());
        let echo = response.json();
        assert_eq!(echo["method"], "PUT");
        assert_eq!(echo["path"], "/rooms/12");
        assert_eq!(echo["bytes"], "a long letter".len());
    }
    assert_eq!(site.plains()[0].total(), 2);
    site.shut_down().await;
}

#[tokio::test]
async fn unknown_names_are_refused_as_not_run() {
    let site = Site::start(1, Vec::new()).await;
    let address = site.hosts()[0].callers();
    let body = json!({"model": "nobody", "messages": []});
    let response = post_chat(address, &body).await;
    assert_eq!(response.status, 404);
    assert_eq!(response.json()["type"], "urn:cyclamenstage:problem:unknown-model");
    assert_eq!(response.json()["ran"], "did-not-run");
    let response = common::send(address, "GET", "/services/nobody/x", &[], "").await;
    assert_eq!(response.json()["type"], "urn:cyclamenstage:problem:unknown-service");
    site.shut_down().await;
}
