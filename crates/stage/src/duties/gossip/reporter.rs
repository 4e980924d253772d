//! Reports membership to operators: an event for each change of standing, and metrics.

use std::collections::BTreeMap;

use observe::{
    Event, event,
    metrics::{Listener, Member},
};
use policy::member::Standing;
use types::prelude::*;

use crate::context::Context;

/// Membership state last reported.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    hosts: BTreeMap<host::Id, Standing>,
    servers: BTreeMap<backend::Id, Standing>,
    refused: u64,
}

impl Reporter {
    /// Reports what changed since the last call.
    pub(super) fn update(&mut self, context: &Context) {
        self.report_members(context);
        let refused = context.peers.refused();
        (self.refused..refused).for_each(|_| context.metrics.denied(Listener::Peers));
        self.refused = refused;
    }

    fn report_members(&mut self, context: &Context) {
        let now = context.now();
        let gossip = context.peers.gossip();
        let hosts: BTreeMap<_, _> = gossip
            .hosts()
            .iter()
            .map(|member| (member.host.id.clone(), member.standing()))
            .collect();
        for (id, standing) in changed(&self.hosts, &hosts) {
            let run = gossip.hosts().get(id).map_or(0, |member| member.epoch.run);
            let kind = event::Kind::Member {
                member: id.clone(),
                member_incarnation: run,
                standing: label(standing).into(),
            };
            context.events.record(Event::new(kind));
        }
        let servers: BTreeMap<_, _> = gossip
            .servers()
            .iter()
            .map(|member| (member.server.id.clone(), member.standing(now)))
            .collect();
        for (id, standing) in changed(&self.servers, &servers) {
            let kind = event::Kind::Server { standing: label(standing).into() };
            context.events.record(Event::new(kind).server(id));
        }
        for standing in STANDINGS {
            let count = |standings: usize| standings as u64;
            let hosts = hosts.values().filter(|other| **other == standing).count();
            let servers = servers.values().filter(|other| **other == standing).count();
            context.metrics.members(Member::Host, label(standing), count(hosts));
            context.metrics.members(Member::Server, label(standing), count(servers));
        }
        (self.hosts, self.servers) = (hosts, servers);
    }
}

const STANDINGS: [Standing; 4] =
    [Standing::Live, Standing::Suspected, Standing::Leaving, Standing::Gone];

fn changed<'a>(
    before: &'a BTreeMap<Arc<str>, Standing>,
    after: &'a BTreeMap<Arc<str>, Standing>,
) -> impl Iterator<Item = (&'a Arc<str>, Standing)> {
    after
        .iter()
        .filter(|(id, standing)| before.get(*id) != Some(standing))
        .map(|(id, standing)| (id, *standing))
}

fn label(standing: Standing) -> &'static str {
    match standing {
        Standing::Live => "live",
        Standing::Suspected => "suspected",
        Standing::Leaving => "leaving",
        Standing::Gone => "gone",
    }
}
