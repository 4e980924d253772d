//! Merging of server entries from the store and from peers, which arrive in any order.

use exchange::{Entry, ServerListing, Suspect};
use relay::directory::Directory;
use rstest::rstest;
use types::{
    prelude::*,
    routed::{self, LoadedModel, Server, State},
};

const NOW: Moment = Duration::from_secs(10);
const SUSPECT_UNTIL: Moment = Duration::from_millis(10_700);

fn server(models: &[&str]) -> Server {
    Server {
        id: "s1".into(),
        name: "s1".into(),
        started_at: 0,
        service: "lm".into(),
        software: "".into(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "a".into(),
        slots: 2,
        state: State::Ready,
        remaining: None,
        cold: Duration::ZERO,
        models: models.iter().map(|model| held(model)).collect(),
        resident: vec![],
        on_disk: vec![],
        sequence: 0,
    }
}

fn held(model: &str) -> LoadedModel {
    LoadedModel { model: model.into(), version: 1, adapters: vec![] }
}

fn with_suspect() -> Directory {
    let mut directory = Directory::default();
    directory.put(server(&["m1"]), 5);
    directory.mark_suspect(&"s1".into(), SUSPECT_UNTIL);
    directory
}

/// Guards against a report that clears the suspicion: the host then went on requesting reports from
/// a server for ever although its entry had been deleted.
#[rstest]
fn a_report_does_not_bring_an_entry_back() {
    let mut directory = with_suspect();
    directory.set_models(&"s1".into(), &[held("m1"), held("m2")]);
    assert!(directory.is_suspect(&"s1".into()));
}

#[rstest]
#[case::as_old(5, false)]
#[case::newer(6, false)]
#[case::older(4, true)]
fn an_entry_that_is_written_again_clears_it(#[case] revision: u64, #[case] is_suspect: bool) {
    let mut directory = with_suspect();
    directory.put(server(&["m1"]), revision);
    assert_eq!(directory.is_suspect(&"s1".into()), is_suspect);
}

#[rstest]
fn peers_are_not_told_of_what_is_suspected() {
    let mut directory = with_suspect();
    assert_eq!(directory.listing_for_peer(0, Duration::ZERO, NOW).ids.len(), 0);
    assert!(directory.get(&"s1".into()).is_some(), "a suspected server is still used");
    directory.put(server(&["m1"]), 6);
    assert_eq!(directory.listing_for_peer(0, Duration::ZERO, NOW).servers.len(), 1);
    let reply = directory.listing_for_peer(6, Duration::ZERO, NOW);
    assert_eq!((reply.ids.len(), reply.servers.len()), (1, 0), "the peer already has the entry");
}

#[rstest]
#[case::used_here(directory_at(8, Some(7)), 1)]
#[case::written_here_since(directory_at(8, Some(10)), 0)]
#[case::not_known_here(directory_at(8, None), 0)]
fn a_peers_suspect_is_used_for_the_rest_of_its_time(
    #[case] directory: Directory,
    #[case] suspected: usize,
) {
    let reply = with_suspect().listing_for_peer(0, Duration::ZERO, NOW);
    let left = SUSPECT_UNTIL - NOW;
    assert_eq!(reply.suspects, [Suspect { id: "s1".into(), left }]);
    let delta = directory.diff_peer_list(ServerListing { revision: 9, ..reply });
    assert_eq!(
        (delta.suspected.len(), delta.deleted.len(), delta.upserted.len()),
        (suspected, 0, 0)
    );
}

#[rstest]
#[case::in_time(NOW, Some(SUSPECT_UNTIL - NOW))]
#[case::too_late(SUSPECT_UNTIL + NOW, Some(Duration::ZERO))]
fn a_suspect_has_a_time_to_come_back(#[case] now: Moment, #[case] left: Option<Duration>) {
    let mut directory = with_suspect();
    assert_eq!(directory.suspected_for(&"s1".into(), now), left);
    directory.put(server(&["m1"]), 6);
    assert_eq!(directory.suspected_for(&"s1".into(), now), None);
}

#[rstest]
fn what_is_gone_is_not_suspected() {
    let mut directory = with_suspect();
    directory.remove(&"s1".into());
    assert!(!directory.is_suspect(&"s1".into()));
    assert_eq!(directory.servers().count(), 0);
}

/// Returns the run of the server that started at `started_at`.
fn server_run(started_at: u64) -> Server {
    Server { id: routed::run_id("s1", started_at), started_at, ..server(&["m1"]) }
}

#[rstest]
fn a_later_run_takes_the_name_over() {
    let mut directory = Directory::default();
    directory.put(server_run(1_000), 5);
    directory.put(server_run(2_000), 6);
    let ids: Vec<_> = directory.servers().map(|server| server.id.to_string()).collect();
    assert_eq!(ids, ["s1@2000"]);
    assert_eq!(directory.by_name("s1").map(|server| server.started_at), Some(2_000));
    directory.remove(&"s1@1000".into());
    assert!(
        directory.by_name("s1").is_some(),
        "the removal of the earlier run removed the later one"
    );
    directory.remove(&"s1@2000".into());
    assert!(directory.by_name("s1").is_none());
}

/// The order in which the entries of two runs arrive makes no difference.
#[rstest]
#[case::later_entry(7)]
#[case::same_entry(6)]
#[case::earlier_entry(5)]
fn an_earlier_run_never_goes_before_a_later_one(#[case] written: u64) {
    let mut directory = Directory::default();
    directory.put(server_run(2_000), 6);
    assert!(directory.put(server_run(1_000), written).is_none());
    assert_eq!(directory.by_name("s1").map(|server| server.started_at), Some(2_000));
}

/// Returns a directory that is complete as of `revision`; if `written` is given, it has one server,
/// whose entry was written at that revision.
fn directory_at(revision: u64, written: Option<u64>) -> Directory {
    let mut directory = Directory::default();
    if let Some(written) = written {
        directory.put(server(&["m1"]), written);
    }
    directory.advance(revision);
    directory
}

fn listing(revision: u64, written: Option<u64>) -> ServerListing {
    let entry = |written| Entry { written, server: server(&["m2"]) };
    let servers: Vec<Entry> = written.map(entry).into_iter().collect();
    let ids = servers.iter().map(|entry| entry.server.id.clone()).collect();
    ServerListing { revision, ids, servers, ..ServerListing::default() }
}

/// A host that has seen the deletion of an entry must not take the entry back from a peer that has
/// not seen it.
#[rstest]
#[case::removed_here_peer_still_lists_it(directory_at(8, None), listing(9, Some(5)), 0, 0)]
#[case::written_again_since(directory_at(8, None), listing(9, Some(9)), 1, 0)]
#[case::the_peer_is_as_old(directory_at(8, None), listing(8, Some(5)), 0, 0)]
#[case::the_peer_is_older(directory_at(8, Some(7)), listing(6, None), 0, 0)]
#[case::gone_at_the_peer(directory_at(8, Some(7)), listing(9, None), 0, 1)]
#[case::known_as_it_is(directory_at(8, Some(7)), listing(9, Some(7)), 0, 0)]
#[case::written_here_after_the_list(directory_at(8, Some(10)), listing(9, None), 0, 0)]
#[case::nothing_known_yet(directory_at(0, None), listing(9, Some(5)), 1, 0)]
fn a_peers_list_changes_only_what_it_knows_later(
    #[case] directory: Directory,
    #[case] list: ServerListing,
    #[case] written: usize,
    #[case] removed: usize,
) {
    let delta = directory.diff_peer_list(list);
    assert_eq!((delta.upserted.len(), delta.deleted.len()), (written, removed));
}

/// When the store's change history is lost, its complete list replaces the directory, unless a
/// peer's list has brought the directory to a later revision.
#[rstest]
#[case::lists_what_is_unknown(directory_at(8, None), listing(9, Some(5)), 1, 0)]
#[case::lacks_what_is_known(directory_at(8, Some(7)), listing(9, None), 0, 1)]
#[case::overtaken_by_a_peer(directory_at(8, None), listing(7, Some(5)), 0, 0)]
fn the_stores_list_replaces_what_is_older(
    #[case] directory: Directory,
    #[case] list: ServerListing,
    #[case] written: usize,
    #[case] removed: usize,
) {
    let delta = directory.diff_store_list(list);
    assert_eq!((delta.upserted.len(), delta.deleted.len()), (written, removed));
}

/// The store's change history is read on from the last revision read, even if a peer's list has
/// brought the directory further since. A removal from that history must not delete an entry that
/// was written after it.
#[rstest]
#[case::removed_then_written_again(6, true)]
#[case::removed_after_it_was_written(8, false)]
#[case::revision_not_told(0, false)]
fn a_removal_is_no_news_of_an_entry_written_since(#[case] removed: u64, #[case] is_newer: bool) {
    let directory = directory_at(9, Some(7));
    assert_eq!(directory.is_newer(&"s1".into(), removed), is_newer);
}

#[rstest]
#[case::not_written_since(5, true)]
#[case::written_since(8, false)]
fn a_later_run_of_a_leaving_server_leaves_until_its_entry_is_written(
    #[case] written: u64,
    #[case] is_leaving: bool,
) {
    let mut directory = Directory::default();
    directory.put(server(&[]), 5);
    directory.mark_leaving(&"s1".into(), 7);
    let run = Server { id: "s1@2".into(), started_at: 2, ..server(&[]) };
    directory.put(run, written).expect("a later run replaces the known one");
    assert_eq!(directory.is_leaving(&"s1@2".into()), is_leaving);
}

/// A heartbeat that was written before the server left may be acknowledged, and read, after that.
#[rstest]
fn a_run_that_left_by_its_own_word_is_not_taken_back_by_its_entry() {
    let mut directory = Directory::default();
    directory.put(server(&[]), 5);
    assert!(directory.mark_left(&"s1".into()).is_some());
    assert!(directory.mark_left(&"s1".into()).is_none(), "it is known");
    directory.put(server(&[]), 9);
    assert!(directory.is_leaving(&"s1".into()));
    directory.remove(&"s1".into());
    directory.put(server(&[]), 11);
    assert!(directory.is_leaving(&"s1".into()), "its entry is written again");
    assert_eq!(
        directory.servers().map(|server| server.state).collect::<Vec<_>>(),
        [State::Draining]
    );
    let run = Server { id: "s1@2".into(), started_at: 2, ..server(&[]) };
    directory.put(run, 12).expect("a later run replaces the known one");
    assert!(!directory.is_leaving(&"s1@2".into()), "a later run serves");
}
