//! Ranking of servers for an adapter, and the choice among them.

use std::{sync::Arc, time::Duration};

use placement::{
    choice::{self, Candidate, Costs},
    popularity::Popularity,
    rendezvous::{self, Server},
};

fn servers(count: usize) -> Vec<Server> {
    let zones = ["a", "b", "c", "d"];
    let server = |index: usize| {
        let name = Arc::from(format!("engine-{index}"));
        Server::new(name, Arc::from(zones[index % zones.len()]), 1)
    };
    (0..count).map(server).collect()
}

fn adapters() -> impl Iterator<Item = u64> {
    (0..3000).map(|number| rendezvous::hash(&format!("council-{number:03}")))
}

#[test]
fn removing_server_moves_only_its_adapters() {
    let before = servers(20);
    let after: Vec<_> =
        before.iter().filter(|server| &*server.name != "engine-7").cloned().collect();

    for adapter in adapters() {
        let old = &before[rendezvous::preferred(adapter, &before, 1)[0]].name;
        let new = &after[rendezvous::preferred(adapter, &after, 1)[0]].name;
        assert!(old == new || &**old == "engine-7");
    }
}

#[test]
fn spreads_adapters_evenly() {
    let servers = servers(20);
    let mut counts = [0u32; 20];
    adapters().for_each(|adapter| counts[rendezvous::preferred(adapter, &servers, 1)[0]] += 1);

    let mean = 3000 / 20;
    assert!(counts.iter().all(|count| mean / 2 < *count && *count < mean * 2), "{counts:?}");
}

#[test]
fn spreads_replicas_over_zones() {
    let servers = servers(20);

    for adapter in adapters() {
        let ranking = rendezvous::preferred(adapter, &servers, 4);
        let mut zones: Vec<_> = ranking.iter().map(|index| &servers[*index].zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(zones.len(), 4);
    }
}

#[test]
fn prefers_resident_adapter_unless_its_queue_is_long() {
    let costs = Costs::default();
    let resident =
        |queued_tokens| Candidate { queued_tokens, is_resident: true, ..Candidate::default() };
    let idle = Candidate { has_free_slot: true, ..Candidate::default() };

    assert_eq!(choice::best(&costs, &[resident(100), idle]), Some(0));
    assert_eq!(choice::best(&costs, &[resident(10_000), idle]), Some(1));
}

#[test]
fn gives_popular_adapter_more_replicas() {
    let mut popularity = Popularity::new(Duration::from_secs(30));
    let mut rate = 0.0;
    for tick in 0..3000 {
        rate = popularity.record(Duration::from_millis(tick * 50), "hot");
    }

    assert!((18.0..22.0).contains(&rate), "20 requests per second were measured as {rate}");
    assert_eq!(choice::replica_count(rate, 4.0, 20), (rate / 4.0).ceil() as usize);
    assert_eq!(choice::replica_count(0.01, 4.0, 20), 1);
    assert_eq!(choice::replica_count(1e9, 4.0, 20), 20);
}
