//! Work of advancing many servers of which few have changed. Work for all servers at each tick is
//! most of what a small host has to spare.

use policy::slots::{Slots, Want};
use rstest::rstest;
use types::prelude::*;

use crate::net::{at, names};

/// Interval at which queues advance without any event.
const TICK_MS: u64 = 20;

/// Interval at which owners are told again what is used, as in the design of slots.
const REFRESH_MS: u64 = 400;

fn ids(servers: usize) -> Vec<backend::Id> {
    (0..servers).map(|number| format!("s{number}").as_str().into()).collect()
}

/// A host with a long request at each of these servers, after owners were told of them.
fn settled(ids: &[backend::Id]) -> Slots {
    let mut slots = Slots::new("h0".into(), 1);
    slots.set_live(&names());
    for id in ids {
        slots.set_wanted(id, Want { slots: 1, ..Want::default() }, at(0));
        slots.set_wanted(id, Want::default(), at(0));
        slots.set_use(id, 1, 0);
        slots.set_capacity(id, Some(8));
    }
    for now in 0..3 {
        slots.tick(at(now));
        slots.outgoing();
    }
    slots
}

#[rstest]
#[case(112)]
#[case(770)]
fn no_server_is_advanced_while_nothing_changes(#[case] servers: usize) {
    let mut slots = settled(&ids(servers));
    let before = slots.counts().advanced;
    slots.tick(at(TICK_MS));
    assert_eq!(slots.counts().advanced - before, 0);
}

#[rstest]
#[case(112)]
#[case(770)]
fn servers_are_advanced_when_they_change_or_owners_are_told_again(#[case] servers: usize) {
    const CHANGED: usize = 4;
    let ids = ids(servers);
    let mut slots = settled(&ids);
    let (before, ticks) = (slots.counts().advanced, REFRESH_MS / TICK_MS);
    for tick in 1..=ticks {
        for id in &ids[..CHANGED] {
            slots.set_use(id, 1 + (tick % 2) as u32, 0);
        }
        slots.tick(at(tick * TICK_MS));
    }
    let advanced = slots.counts().advanced - before;
    let changes = ticks * CHANGED as u64;
    assert!(changes <= advanced, "{advanced} for {changes} changes");
    assert!(advanced <= changes + servers as u64, "{advanced} for {changes} changes");
}

#[test]
fn an_unchanged_use_is_told_again_before_the_owner_drops_it() {
    let ids = ids(112);
    let mut slots = settled(&ids);
    let mut told = 0;
    for tick in 1..=2 * REFRESH_MS / TICK_MS {
        slots.tick(at(tick * TICK_MS));
        told += slots.outgoing().iter().map(|(_, message)| message.entries.len()).sum::<usize>();
    }
    // One host of twenty owns the slots of few servers, and tells nobody of these.
    assert!(2 * ids.len() * 4 / 5 <= told, "{told} entries");
}
