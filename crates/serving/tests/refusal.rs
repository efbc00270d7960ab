//! Which refusals are believed.

use serving::refusal::{Past, Refusal, Subject, is_believed};

fn pasts() -> [Past; 4] {
    [(false, false), (false, true), (true, false), (true, true)]
        .map(|(is_connection_used, is_refused_again)| Past { is_connection_used, is_refused_again })
}

fn refusals() -> [Refusal; 4] {
    [(false, false), (false, true), (true, false), (true, true)]
        .map(|(is_adapter_missing, is_repeatable)| Refusal { is_adapter_missing, is_repeatable })
}

// Guards against a refusal that is left over from an earlier request and taken for the awaited one's.
#[test]
fn believes_a_refusal_without_an_id_only_on_a_new_connection() {
    let believed: Vec<Past> = pasts()
        .into_iter()
        .filter(|past| is_believed(Subject::Unnamed, *past, Refusal::default()))
        .collect();

    assert_eq!(believed, [Past::default()]);
}

#[test]
fn believes_no_refusal_of_another_request() {
    for refusal in refusals() {
        assert!(pasts().into_iter().all(|past| !is_believed(Subject::Other, past, refusal)));
    }
}

// Guards against a server that writes the refusal of a request once more, when the request comes again,
// and then runs it.
#[test]
fn believes_only_the_first_refusal_of_a_server() {
    for refusal in refusals() {
        let is_believed = |past: &Past| is_believed(Subject::Awaited, *past, refusal);
        let is_repeated = pasts().into_iter().filter(is_believed).any(|past| past.is_refused_again);

        let may_be = refusal == Refusal { is_adapter_missing: true, is_repeatable: true };
        assert_eq!(is_repeated, may_be, "{refusal:?}");
        assert!(is_believed(&Past { is_connection_used: true, ..Past::default() }));
    }
}
