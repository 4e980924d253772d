//! Reads the load reports of backend servers, with one task for each server.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use ::backend::reports;
use policy::member::gossip::{Action, Gossip};
use tokio::task::AbortHandle;
use types::prelude::*;

use crate::{context::Context, fleet::Reading, peers};

/// Runs one reader for each listed server.
pub(super) async fn run(context: Arc<Context>) {
    let mut readers: HashMap<backend::Server, Reader> = HashMap::new();
    loop {
        let list = context.fleet.list();
        let listed: HashSet<&backend::Server> =
            list.servers.iter().map(|entry| &entry.server).collect();
        readers.retain(|known, _| listed.contains(known));
        for server in listed {
            if !readers.contains_key(server) {
                readers.insert(server.clone(), Reader::start(&context, server));
            }
        }
        let intervals = &context.settings.intervals;
        tokio::time::sleep(intervals.list.min(intervals.report)).await;
    }
}

/// Reads one server's load reports until dropped.
struct Reader(AbortHandle);

impl Reader {
    fn start(context: &Arc<Context>, server: &backend::Server) -> Reader {
        Reader(tokio::spawn(read(context.clone(), server.clone())).abort_handle())
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.0.abort();
    }
}

async fn read(context: Arc<Context>, server: backend::Server) {
    let interval = context.settings.intervals.report;
    let mut reader = reports::Reader::new(server.address);
    loop {
        let report = reader.read(&context.control);
        match tokio::time::timeout(interval * 4, report).await {
            Ok(Ok(load)) => {
                context.traffic.report(&server.id, &load);
                let (run, leaving) = (load.incarnation, load.leaving);
                update_gossip(&context, |gossip, now| {
                    gossip.server_reported(now, &server.id, run, leaving)
                });
                let reading = Reading { read_at: context.now(), load };
                context.fleet.set_reading(&server.id, reading);
            }
            Ok(Err(error)) => {
                log::debug!("load report not read: {error}");
                context.traffic.unreachable(&server.id);
                update_gossip(&context, |gossip, now| gossip.server_failed(now, &server.id));
                context.fleet.drop_reading(&server.id);
            }
            Err(_) => log::debug!(server = &*server.id; "load report not read: timeout"),
        }
        tokio::time::sleep(interval).await;
    }
}

/// Updates the membership state, and performs the resulting actions.
fn update_gossip(context: &Arc<Context>, update: impl FnOnce(&mut Gossip, Moment) -> Vec<Action>) {
    let actions = update(&mut context.peers.gossip(), context.now());
    peers::perform(context, actions);
}
