//! Who writes which origins of streams to the store.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use serving::{
    Moment, Name,
    archive::{Entrusted, MAX_STREAMS, Part, Receipt, Trust, Write, Written},
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
        let mut trust = Trust::default();
        let new = trust.remaining(reader(1, 1), records(3));
        trust.record_confirmation(&new);

        let left = trust.remaining(reader(1, 1), records(4));
        let after_a_change = trust.remaining(next, records(4));

        assert_eq!((new.len(), left.len(), after_a_change.len()), (3, 1, 4));
    }
}

// Guards against an instance that others may fill without end, and against streams that nobody writes then.
#[test]
fn takes_no_more_origins_than_it_has_room_for() {
    let mut entrusted = Entrusted::default();

    for turn in 0..300 {
        let batch: Vec<Record> = (0..100).map(|it| record(turn * 100 + it)).collect();
        entrusted.record(NOW, receipt(turn), &batch);
    }
    let kept = entrusted.records(NOW, &services());
    let mut written = Written::default();
    written.record(NOW, &Write { part: Part::Whole, records: kept.clone() });

    assert_eq!(kept.len(), 20_000);
    assert_eq!(entrusted.take_receipts(NOW, &written, &Trust::default()).len(), 200);
    assert!(entrusted.records(LATER, &services()).is_empty());
}

// Guards against a confirmation of origins that the store does not have.
#[test]
fn confirms_what_the_store_has() {
    let mut entrusted = Entrusted::default();
    let (mut written, mut trust) = (Written::default(), Trust::default());
    entrusted.record(NOW, receipt(1), &records(3));
    entrusted.record(NOW, receipt(2), &[record(7)]);
    entrusted.record(NOW, receipt(3), &[record(8)]);

    let before = entrusted.take_receipts(NOW, &written, &trust);
    written.record(NOW, &Write { part: Part::Whole, records: records(2) });
    let after_a_part = entrusted.take_receipts(NOW, &written, &trust);
    written.record(NOW, &Write { part: Part::Recent, records: vec![record(2)] });
    trust.record_confirmation(&[record(7)]);
    let after_all = entrusted.take_receipts(NOW, &written, &trust);
    let too_late = entrusted.take_receipts(LATER, &written, &trust);

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
