//! Who writes which origins of streams to the store.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use serving::{
    Moment, Name,
    archive::{Delegated, Delegation, MAX_STREAMS, Part, Receipt, Write, Written},
    origin::{Key, Origin, Record},
    reader::Followed,
};

const NOW: Moment = Duration::from_secs(10);
const LATER: Moment = Duration::from_secs(60);

fn record(number: usize) -> Record {
    let origin = Origin { service: "desk".into(), version: "v1".into() };
    let key = Key::new(&"council".into(), &number.to_string());
    Record { key, origin, remaining: Duration::from_secs(20) }
}

fn records(count: usize) -> Vec<Record> {
    (0..count).map(record).collect()
}

fn reader(number: u8, incarnation: u64) -> Option<Followed> {
    let address = SocketAddr::from(([10, 0, 0, number], 7600));
    Some(Followed { address, incarnation })
}

fn receipt(id: usize) -> Receipt {
    Receipt { to: SocketAddr::from(([10, 0, 0, 9], 7600)), id: id as u64 }
}

fn services() -> BTreeSet<Name> {
    [Name::from("desk")].into()
}

// Guards against origins that a reader has confirmed and never written, as it was cut off from the store or
// started again.
#[test]
fn leaves_origins_to_the_same_reader_only() {
    for next in [reader(2, 1), reader(1, 2), None] {
        let mut delegation = Delegation::default();
        let new = delegation.remaining(reader(1, 1), records(3));
        delegation.record_confirmation(&new);

        let left = delegation.remaining(reader(1, 1), records(4));
        let after_a_change = delegation.remaining(next, records(4));

        assert_eq!((new.len(), left.len(), after_a_change.len()), (3, 1, 4));
    }
}

// Guards against an instance that others may fill without end, and against streams that nobody writes then.
#[test]
fn takes_no_more_origins_than_it_has_room_for() {
    let mut delegated = Delegated::default();

    for turn in 0..300 {
        let batch: Vec<Record> = (0..100).map(|it| record(turn * 100 + it)).collect();
        delegated.record(NOW, receipt(turn), &batch);
    }
    let kept = delegated.records(NOW, &services());
    let mut written = Written::default();
    written.record(NOW, &Write { part: Part::Whole, records: kept.clone() });

    assert_eq!(kept.len(), 20_000);
    assert_eq!(delegated.take_receipts(NOW, &written, &Delegation::default()).len(), 200);
    assert!(delegated.records(LATER, &services()).is_empty());
}

// Guards against a confirmation of origins that the store does not have.
#[test]
fn confirms_what_the_store_has() {
    let mut delegated = Delegated::default();
    let (mut written, mut delegation) = (Written::default(), Delegation::default());
    delegated.record(NOW, receipt(1), &records(3));
    delegated.record(NOW, receipt(2), &[record(7)]);
    delegated.record(NOW, receipt(3), &[record(8)]);

    let before = delegated.take_receipts(NOW, &written, &delegation);
    written.record(NOW, &Write { part: Part::Whole, records: records(2) });
    let after_a_part = delegated.take_receipts(NOW, &written, &delegation);
    written.record(NOW, &Write { part: Part::Recent, records: vec![record(2)] });
    delegation.record_confirmation(&[record(7)]);
    let after_all = delegated.take_receipts(NOW, &written, &delegation);
    let too_late = delegated.take_receipts(LATER, &written, &delegation);

    assert_eq!((before, after_a_part), (vec![], vec![]));
    assert_eq!(after_all, [receipt(1), receipt(2)]);
    assert_eq!(too_late, []);
}

// Guards against origins that count as written, though the store limits the size of a record.
#[test]
fn leaves_what_does_not_fit_to_the_second_record() {
    let mut written = Written::default();
    let all = records(MAX_STREAMS + 10);

    let whole = written.next(LATER, &all).unwrap();
    written.record(LATER, &whole);
    let rest = written.next(LATER, &all).unwrap();

    assert_eq!((whole.part, whole.records.len()), (Part::Whole, MAX_STREAMS));
    assert_eq!((rest.part, rest.records.len()), (Part::Recent, 10));
}

#[test]
fn writes_few_origins_as_a_whole_and_each_once() {
    let mut written = Written::default();

    let first = written.next(NOW, &records(3)).unwrap();
    written.record(NOW, &first);
    let again = written.next(NOW, &records(3));
    let second = written.next(NOW, &records(4)).unwrap();

    assert_eq!((first.part, again, second.part), (Part::Whole, None, Part::Whole));
    assert_eq!(second.records.len(), 4);
}

// Guards against a record of all origins for each new one, and against one that leaves some out.
#[test]
fn writes_many_origins_in_two_records_that_have_all() {
    let mut written = Written::default();
    let whole = written.next(NOW, &records(500)).unwrap();
    written.record(NOW, &whole);

    let soon = written.next(NOW, &records(510)).unwrap();
    written.record(NOW, &soon);
    let soon_again = written.next(NOW, &records(511)).unwrap();
    let later = written.next(LATER, &records(512)).unwrap();

    assert_eq!((soon.part, soon.records.len()), (Part::Recent, 10));
    assert_eq!((soon_again.part, soon_again.records.len()), (Part::Recent, 11));
    assert_eq!((later.part, later.records.len()), (Part::Whole, 512));
    assert_eq!(written.parts().collect::<Vec<_>>(), [Part::Recent, Part::Whole]);
    written.record(LATER, &Write { part: Part::Whole, records: Vec::new() });
    assert_eq!(written.parts().count(), 0);
}
