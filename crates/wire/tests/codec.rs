//! Guards against frames that the codec alters, and against input from the network that makes the
//! decoder panic.

use std::{sync::Arc, time::Duration};

use proptest::{prelude::*, test_runner::RngSeed};

use fleet::{
    change::{Access, Change, Record, Repeat, Urgency},
    digest::Digest,
    replica::{Entry, Update},
    state::State,
};
use quota::pool::{Part, Source};
use wire::{
    codec,
    frame::{Call, Grant, Reply},
};

const LENGTH_BYTES: usize = 4;

fn encode_and_decode(reply: &Reply) -> Reply {
    let bytes = codec::encode(reply).expect("the frame is small");
    codec::decode(&bytes[LENGTH_BYTES..]).expect("the frame was encoded by this codec")
}

fn changes() -> Vec<Change> {
    let name = || Arc::from("name");
    vec![
        Change::SetAccount { account: name(), rate: 1, burst: 2 },
        Change::IssueKey { account: name(), key: name(), digest: Digest::of("secret") },
        Change::WithdrawKey { key: name() },
        Change::PublishVersion { adapter: name(), version: 1, model: name() },
        Change::SelectVersion { adapter: name(), version: 1 },
        Change::UnpublishVersion { adapter: name(), version: 1 },
        Change::DrainServer { server: name() },
        Change::RestoreServer { server: name() },
        Change::SetRoute {
            route: name(),
            access: Access::Open,
            repeat: Repeat::NonIdempotent,
            urgency: Urgency::Batch,
        },
        Change::RemoveRoute { route: name() },
        Change::Snapshot { next: 7, state: Box::default() },
    ]
}

#[test]
fn round_trips_every_change() {
    for change in changes() {
        let record = Record { id: Arc::from("1"), author: Arc::from("a"), expected: 0, change };
        let entry = Entry { offset: 3, record: Arc::new(record) };
        let reply = Reply::Update(Update::Entries(vec![entry]));

        assert_eq!(encode_and_decode(&reply), reply);
    }
}

#[test]
fn round_trips_state_of_all_changes() {
    let mut state = State::default();
    for (revision, change) in changes().into_iter().enumerate() {
        let expected = revision as u64;
        let record = Record { id: Arc::from("1"), author: Arc::from("a"), expected, change };
        let _rejected = state.apply(&record);
    }
    let reply = Reply::Update(Update::Snapshot { next: 9, state: Arc::new(state) });

    assert_eq!(encode_and_decode(&reply), reply);
}

#[test]
fn rejects_frame_above_size_limit() {
    let id = wire::frame::AttemptId { request: Arc::from("r"), attempt: 0 };
    let bytes = vec![0; codec::MAX_FRAME_BYTES + 1];

    assert!(codec::encode(&Reply::Chunk { id, index: 0, bytes }).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn decodes_arbitrary_bytes_without_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..512)
    ) {
        let _call = codec::decode::<Call>(&bytes);
        let _reply = codec::decode::<Reply>(&bytes);
    }

    #[test]
    fn decodes_damaged_frame_without_panic(
        position in 0usize..64, value in any::<u8>(), amount in any::<u64>()
    ) {
        let source = Source { shard: 1, fence: amount, granted_at: Duration::from_millis(amount) };
        let grant = Grant::Tokens { part: Part { source, amount }, refill: Duration::ZERO };
        let mut bytes = codec::encode(&Reply::Grant(grant)).expect("the frame is small");
        let position = position % bytes.len();
        bytes[position] = value;
        let _reply = codec::decode::<Reply>(&bytes[LENGTH_BYTES.min(bytes.len())..]);
    }
}
