//! Analysis of an excerpt from the logs of a simulated day.

use operator::logs;

/// Lines of two instances around a request whose exchange failed, as a log collector stores them.
const LOGS: &str = r#"
12.401 entry-1 {"timestamp":"2026-04-25T20:30:28.401000+00:00","level":"INFO","message":"sending the request to a server","kvs":{"event":"sent","request":"r7","server":"s3","left_ms":4999,"sends":0}}
12.405 entry-2 {"timestamp":"2026-04-25T20:30:28.405000+00:00","level":"INFO","message":"sending the request to a server","kvs":{"event":"sent","request":"r8","server":"s4"}}
13.102 entry-1 {"timestamp":"2026-04-25T20:30:29.102000+00:00","level":"WARN","message":"no usable response, and the request may have run: connection error","kvs":{"event":"broken","request":"r7","server":"s3","runs":1}}
13.102 entry-1 {"timestamp":"2026-04-25T20:30:29.102500+00:00","level":"INFO","message":"request rejected","kvs":{"event":"refused","request":"r7","status":502,"reason":"the server gave no answer"}}
14.000 entry-2 {"timestamp":"2026-04-25T20:30:30.000000+00:00","level":"INFO","message":"the entry of a server changed","kvs":{"event":"server","server":"s3","effect":"Removed"}}
14.001 entry-2 {"timestamp":"2026-04-25T20:30:30.001000+00:00","level":"INFO","message":"the entry of a server changed","kvs":{"event":"server","server":"s9","effect":"Removed"}}
14.100 entry-2 {"timestamp":"2026-04-25T20:30:30.100000+00:00","level":"INFO","message":"response sent","kvs":{"event":"ended","request":"r8","outcome":"complete"}}
no json on this line
"#;

#[test]
fn trace_contains_the_request_and_events_of_its_server() {
    let lines = logs::parse(LOGS);

    let output = logs::trace(&lines, "r7");

    let lines: Vec<&str> = output.lines().collect();
    assert_eq!(lines.len(), 4, "{output}");
    assert!(lines[0].starts_with("* 2026-04-25T20:30:28.401") && lines[0].contains("server=s3"));
    assert!(lines[1].contains("no usable response") && lines[2].contains("status=502"));
    assert!(lines[3].starts_with("  ") && lines[3].contains("effect=Removed"));
}

#[test]
fn trace_of_an_unknown_request_is_empty() {
    assert!(logs::trace(&logs::parse(LOGS), "r9").is_empty());
}

#[test]
fn counts_causes_with_an_example_request() {
    let output = logs::causes(&logs::parse(LOGS));

    assert!(output.contains("502 the server gave no answer  (as r7)"), "{output}");
    assert!(!output.contains("r8"), "{output}");
}

// Guards against a trace that lacks its context, or has that of another day, around midnight.
#[test]
fn trace_shows_the_context_across_midnight() {
    const MIDNIGHT: &str = r#"
edge-1 {"timestamp":"2026-05-30T08:52:39.1+00:00","message":"day before","kvs":{"event":"reload"}}
edge-1 {"timestamp":"2026-05-30T23:59:59.5+00:00","message":"just before","kvs":{"event":"reload"}}
edge-1 {"timestamp":"2026-05-31T00:00:00.5+00:00","message":"sent","kvs":{"event":"sent","request":"r1"}}
edge-1 {"timestamp":"2026-05-31T00:00:01.5+00:00","message":"just after","kvs":{"event":"reload"}}
edge-1 {"timestamp":"2026-06-01T00:00:00.5+00:00","message":"day after","kvs":{"event":"reload"}}
"#;

    let text = logs::trace(&logs::parse(MIDNIGHT), "r1");

    let shown = |message: &str| text.contains(message);
    assert!(shown("just before") && shown("just after"), "{text}");
    assert!(!shown("day before") && !shown("day after"), "{text}");
}

// Guards against a rejected repeat that cannot be traced to the crashes that speak against it.
#[test]
fn trace_of_a_request_in_quarantine_shows_the_crashes_under_its_repeats() {
    const LOGS: &str = r#"
entry-1 {"timestamp":"2026-12-04T12:00:00Z","message":"broke","kvs":{"event":"suspect","request":"r1","server":"s1","fingerprint":"ab"}}
entry-1 {"timestamp":"2026-12-04T12:00:01Z","message":"crashed","kvs":{"event":"crash","server":"s1","evidence":"refused","fingerprints":"cd ab"}}
entry-2 {"timestamp":"2026-12-04T12:05:00Z","message":"broke","kvs":{"event":"suspect","request":"r2","server":"s2","fingerprint":"ab"}}
entry-2 {"timestamp":"2026-12-04T12:05:01Z","message":"crashed","kvs":{"event":"crash","server":"s3","evidence":"refused","fingerprints":"cd"}}
entry-2 {"timestamp":"2026-12-04T12:09:00Z","message":"rejecting","kvs":{"event":"quarantine","request":"r3","fingerprint":"ab"}}
"#;

    let text = logs::trace(&logs::parse(LOGS), "r3");

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 4, "{text}");
    assert!(lines[0].contains("server=s1") && lines[0].contains("request=r1"), "{text}");
    assert!(lines[1].contains("evidence=refused"), "{text}");
    assert!(lines[2].contains("server=s2"), "{text}");
    assert!(lines[3].starts_with('*'), "{text}");
}

// Guards against a rejected request that cannot be traced to the crashes of others like it.
#[test]
fn trace_of_a_request_shows_the_crashes_under_the_attribute_it_is_rejected_for() {
    const LOGS: &str = r#"
entry-1 {"timestamp":"2026-12-04T12:00:00Z","message":"broke","kvs":{"event":"suspect","request":"r1","server":"s1","fingerprint":"ab","attributes":"part:a1 part:dead"}}
entry-1 {"timestamp":"2026-12-04T12:00:01Z","message":"crashed","kvs":{"event":"crash","server":"s1","evidence":"refused","fingerprints":"cd ab","attributes":"part:a1 part:dead part:e2"}}
entry-2 {"timestamp":"2026-12-04T12:00:02Z","message":"crashed","kvs":{"event":"crash","server":"s2","evidence":"refused","fingerprints":"ef","attributes":"part:a1 part:e2"}}
entry-2 {"timestamp":"2026-12-04T12:09:00Z","message":"sending","kvs":{"event":"sent","request":"r4","fingerprint":"ff","attributes":"part:a1"}}
entry-2 {"timestamp":"2026-12-04T12:09:00Z","message":"rejecting","kvs":{"event":"quarantine","request":"r3","fingerprint":"00","attributes":"part:dead"}}
"#;

    let text = logs::trace(&logs::parse(LOGS), "r3");

    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 3, "{text}");
    assert!(lines[0].contains("request=r1") && lines[1].contains("server=s1"), "{text}");
    assert!(lines[2].starts_with('*'), "{text}");
}
