//! Tests of the checks of engines' event streams.

use side::events::{Checker, Fault};

const MODEL: &str = "council-001@2";

fn chunk(model: &str) -> String {
    format!("{{\"model\":\"{model}\",\"usage\":null}}")
}

/// Returns the forwarded part of a stream and the result at its end.
fn check(stream: &str) -> (Result<String, Fault>, Result<Option<u64>, Fault>) {
    let mut checker = Checker::new(MODEL);
    let mut forwarded = Vec::new();
    for byte in stream.as_bytes() {
        match checker.feed(&[*byte]) {
            Ok(bytes) => forwarded.extend_from_slice(&bytes),
            Err(fault) => return (Err(fault), Err(fault)),
        }
    }
    (Ok(String::from_utf8(forwarded).unwrap()), checker.finish())
}

#[test]
fn accepts_complete_stream() {
    let stream = format!("data: {}\n\ndata: [DONE]\n\n", chunk(MODEL));

    assert_eq!(check(&stream), (Ok(stream), Ok(None)));
}

#[test]
fn rejects_stream_that_ends_early() {
    let event = format!("data: {}\n\n", chunk(MODEL));

    for stream in ["", &event, &format!("{event}data: [DO"), &format!("{event}data: [DONE]\n")] {
        assert_eq!(check(stream).1, Err(Fault::Cut), "{stream:?}");
    }
}

// Guards against a complete stream with other line ends that counts as cut.
#[test]
fn accepts_any_line_ends() {
    for end in ["\n", "\r\n", "\r"] {
        let stream = format!("data:{}{end}{end}data: [DONE]{end}{end}", chunk(MODEL));

        assert_eq!(check(&stream), (Ok(stream), Ok(None)), "{end:?}");
    }
}

// Guards against the output of another model in an event that does not begin with its data.
#[test]
fn checks_data_behind_other_fields() {
    for fields in ["id: 1\n", "event: chunk\nid: 1\n", ": note\n"] {
        let stream = format!("{fields}data: {}\n\ndata: [DONE]\n\n", chunk("other@1"));

        assert_eq!(check(&stream).0, Err(Fault::Crossed), "{fields:?}");
    }
}
