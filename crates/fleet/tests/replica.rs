//! Guards against replicas of the configuration that diverge or go back to an
//! older state, under expiry of records, late starts, concurrent operators and
//! updates from peers.

use std::sync::Arc;

use rand::RngExt as _;

use fleet::{
    change::{Change, Record, Rejection},
    digest::Digest,
    replica::{Entry, Replica, Update},
    state::State,
};
use seeds::Random;

/// A log whose oldest records may have expired.
#[derive(Default)]
struct Log {
    first: usize,
    records: Vec<Arc<Record>>,
}

impl Log {
    fn append(&mut self, record: Record) {
        self.records.push(Arc::new(record));
    }

    fn read(&self, replica: &mut Replica, up_to: usize) {
        let from = (replica.next() as usize).max(self.first);
        let offsets = from..up_to.max(from).min(self.records.len());
        let entries = offsets.map(|offset| Entry {
            offset: offset as u64,
            record: Arc::clone(&self.records[offset]),
        });
        replica.ingest(self.first as u64, entries.collect::<Vec<_>>());
    }
}

fn record(id: usize, expected: u64, change: Change) -> Record {
    Record { id: Arc::from(id.to_string()), author: Arc::from("operator"), expected, change }
}

fn random_change(random: &mut Random) -> Change {
    let name = |random: &mut Random| Arc::from(format!("n{}", random.random_range(0..4)));
    match random.random_range(0..6) {
        0 => Change::SetAccount { account: name(random), rate: 10, burst: 20 },
        1 => {
            let key = name(random);
            let digest = Digest::of(key.as_bytes());
            Change::IssueKey { account: name(random), key, digest }
        }
        2 => Change::WithdrawKey { key: name(random) },
        3 => Change::PublishVersion {
            adapter: name(random),
            version: random.random_range(1..4),
            model: Arc::from("base"),
        },
        4 => Change::SelectVersion { adapter: name(random), version: random.random_range(1..4) },
        _ => Change::DrainServer { server: name(random) },
    }
}

/// Appends a random change whose expected revision is often stale, as with concurrent operators.
fn append_random(random: &mut Random, log: &mut Log, writer: &Replica) {
    let revision = writer.state().map_or(0, |state| state.revision);
    let expected = revision.saturating_sub(random.random_range(0..2));
    let id = log.records.len();
    log.append(record(id, expected, random_change(random)));
}

/// Returns the state after all records of the log, also the expired ones.
fn expected_state(log: &Log) -> State {
    let mut state = State::default();
    for record in &log.records {
        let _rejected = state.apply(record);
    }
    state
}

#[test]
fn replicas_never_regress_and_finally_agree() {
    seeds::run(2000, |random| {
        let mut log = Log::default();
        let mut writer = Replica::default();
        let mut replicas = [Replica::default(), Replica::default(), Replica::default()];
        let mut revisions = [0; 3];
        for _ in 0..60 {
            match random.random_range(0..10) {
                0 => {
                    let snapshot = writer.snapshot();
                    let id = log.records.len();
                    log.records.extend(snapshot.map(|change| Arc::new(record(id, 0, change))));
                }
                1 if log.first + 20 < log.records.len() => log.first += 10,
                2 => {
                    let [a, b] = [random.random_range(0..3), random.random_range(0..3)];
                    let update = replicas[a].update_since(replicas[b].sync_offset());
                    replicas[b].apply(update);
                }
                3 => replicas[random.random_range(0..3)] = Replica::default(),
                4 | 5 => {
                    let up_to = random.random_range(0..=log.records.len());
                    log.read(&mut replicas[random.random_range(0..3)], up_to);
                }
                _ => append_random(random, &mut log, &writer),
            }
            let all = log.records.len();
            log.read(&mut writer, all);
            for (replica, revision) in replicas.iter().zip(&mut revisions) {
                let current = replica.state().map_or(0, |state| state.revision);
                let has_restarted = replica.state().is_none();
                assert!(has_restarted || *revision <= current || replica.next() == 0);
                *revision = current;
            }
        }
        let expected = expected_state(&log);
        assert_eq!(writer.state().map(|state| State::clone(state)), Some(expected.clone()));
        for replica in &mut replicas {
            let all = log.records.len();
            log.read(replica, all);
            replica.apply(writer.update_since(replica.sync_offset()));
            assert_eq!(replica.state().map(|state| State::clone(state)), Some(expected.clone()));
        }
    });
}

#[test]
fn rejects_second_of_two_concurrent_changes() {
    let mut state = State::default();
    let change = |rate| Change::SetAccount { account: Arc::from("council"), rate, burst: 100 };

    let first = state.apply(&record(1, 0, change(10)));
    let second = state.apply(&record(2, 0, change(20)));

    assert_eq!(first, Ok(1));
    assert_eq!(second, Err(Rejection::Stale { expected: 0, actual: 1 }));
    assert_eq!(state.accounts["council"].rate, 10);
}

#[test]
fn rejects_reissue_of_withdrawn_secret() {
    let mut state = State::default();
    let digest = Digest::of("secret");
    let issue =
        |key: &str| Change::IssueKey { account: Arc::from("council"), key: Arc::from(key), digest };
    let account = Change::SetAccount { account: Arc::from("council"), rate: 1, burst: 1 };
    state.apply(&record(1, 0, account)).expect("the account is new");
    state.apply(&record(2, 1, issue("k1"))).expect("the key is new");
    state.apply(&record(3, 2, Change::WithdrawKey { key: Arc::from("k1") })).expect("it is known");

    let again = state.apply(&record(4, 3, issue("k2")));

    assert!(matches!(again, Err(Rejection::KeyExists { .. })));
    assert_eq!(state.lookup_key(&digest), None);
}

#[test]
fn keeps_old_state_until_newer_one_closes_gap() {
    let mut log = Log::default();
    let account = |rate| Change::SetAccount { account: Arc::from("council"), rate, burst: 100 };
    (0..10).for_each(|id| log.append(record(id, id as u64, account(id as u64))));
    let mut late = Replica::default();
    log.read(&mut late, 3);
    let mut current = Replica::default();
    log.read(&mut current, 10);
    log.first = 8;

    log.read(&mut late, 10);
    let kept = late.state().map(|state| state.revision);
    let has_gap = late.has_gap();
    late.apply(current.update_since(0));

    assert_eq!(kept, Some(3));
    assert!(has_gap);
    assert!(!late.has_gap());
    assert_eq!(late.state(), current.state());
    assert_eq!(
        late.update_since(0),
        Update::Snapshot { next: 10, state: Arc::clone(late.state().unwrap()) }
    );
}
