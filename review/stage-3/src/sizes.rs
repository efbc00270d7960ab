//! A replica whose memory holds fewer adapters than it has places for.

use std::{io, path::Path, thread, time::Duration};

use crate::{
    Verdict, client,
    engine::{Engine, SITE_SIZES, Sizes},
    fleet::{self, Net, Process},
    record::Record,
    store::Store,
};

/// The sizes of the site, with larger adapters: four fit beside the model, and there are places for six.
const SIZES: Sizes = Sizes { lora_mb: 400, ..SITE_SIZES };

/// Slots and memory in tokens of the replicas of the site.
const SLOTS: usize = 64;
const MEMORY: u64 = 127_623;

pub fn run(root: &Path, record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let net = Net::new()?;
    let store = Store::start(net.address(1, 0))?;
    store.put("keyed.op", "config", client::manifest(SIZES, SLOTS, MEMORY));
    let engine = Engine::start(
        ("i-7f3a91c2", "v1"),
        net.app(21),
        (SLOTS, 192, MEMORY),
        SIZES,
        &store,
        record,
    )?;
    let _side = Process::start(root, &net, store.address, "side", 21, "a")?;
    let _entry = Process::start(root, &net, store.address, "entry", 11, "a")?;
    fleet::wait_until_ready(net.ready(11), Duration::from_secs(15))?;
    thread::sleep(Duration::from_millis(2000));
    let send = |model: &'static str, name: &'static str, out: u64| {
        let (record, address) = (record.clone(), net.front(11));
        thread::spawn(move || {
            client::stream(&record, address, model, name, (500, out), Duration::from_secs(20))
        })
    };
    let long = send("m0/a1", "long", 1600);
    let mut short = Vec::new();
    // After the second one, demand moves on by two adapters; without the trouble, it stays.
    let models = if has_trouble {
        ["m0/a2", "m0/a3", "m0/a4", "m0/a5"]
    } else {
        ["m0/a2", "m0/a3", "m0/a2", "m0/a3"]
    };
    for (model, name) in models.into_iter().zip(["first", "second", "third", "fourth"]) {
        thread::sleep(Duration::from_millis(1500));
        short.push(send(model, name, 100));
    }
    for client in short {
        let _seen = client.join();
    }
    let seen = long.join().map_err(|_| io::Error::other("a client has failed"))?;
    if seen.status != 200 || seen.events.is_empty() {
        return Err(io::Error::other("the long stream did not begin"));
    }
    let orders = ["\"event\":\"order\""];
    net.log_lines("side-a-21", &orders)
        .iter()
        .for_each(|line| record.line(format!("log of side-a-21: {line}")));
    Ok(match engine.excess() {
        Some(order) => {
            record.line(format!(
                "judged: the replica was ordered to load more than size_mb holds: {order}"
            ));
            record.line(format!(
                "the long stream, which ran there: {} events of 80, complete: {}",
                seen.events.len(),
                seen.is_complete
            ));
            Verdict::Broken
        }
        None => Verdict::Held,
    })
}
