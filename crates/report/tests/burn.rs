//! Event counts from metrics pages, and burn rates.

use std::{net::SocketAddr, time::Duration};

use report::{
    burn,
    objective::{Alert, Kind, Objective, Settings},
    sample::{self, Sample},
    text,
};

const PAGE: &str = r#"
# TYPE chivelatch_requests_total counter
chivelatch_requests_total{account="council",outcome="completed"} 990
chivelatch_requests_total{account="council",outcome="unknown"} 10
chivelatch_requests_total{account="archive",outcome="completed"} 500
# TYPE chivelatch_first_token_seconds histogram
chivelatch_first_token_seconds_bucket{account="council",le="0.25"} 400
chivelatch_first_token_seconds_bucket{account="council",le="0.61"} 950
chivelatch_first_token_seconds_bucket{account="council",le="+Inf"} 1000
chivelatch_first_token_seconds_sum{account="council"} 300
chivelatch_first_token_seconds_count{account="council"} 1000
"#;

fn objective(kind: Kind) -> Objective {
    let account = Some("council".to_owned());
    Objective { name: "council".to_owned(), kind, target: 0.99, account }
}

fn settings(objective: Objective) -> Settings {
    let alert =
        Alert { long: Duration::from_secs(60), short: Duration::from_secs(10), threshold: 2.0 };
    Settings {
        instances: Vec::new(),
        interval: Duration::from_secs(1),
        objectives: vec![objective],
        alerts: vec![alert],
    }
}

/// One sample per second of 100 events each, of which `bad` are bad after second 50.
fn samples(bad: f64) -> Vec<Sample> {
    let instance = SocketAddr::from(([127, 0, 0, 1], 1));
    let sample = |second: u64| {
        let failing = second.saturating_sub(50) as f64;
        let good = second as f64 * 100.0 - failing * bad;
        let count = sample::Count { objective: "council".to_owned(), good, bad: failing * bad };
        Sample { at_ms: second * 1000, instance, counts: vec![count] }
    };
    (0..=60).map(sample).collect()
}

#[test]
fn counts_events_of_the_account() {
    let objectives = [
        objective(Kind::Availability),
        objective(Kind::FirstToken { limit: Duration::from_millis(610) }),
    ];

    let counts = sample::count(PAGE, &objectives);

    assert_eq!((counts[0].good, counts[0].bad), (990.0, 10.0));
    assert_eq!((counts[1].good, counts[1].bad), (950.0, 50.0));
}

#[test]
fn alerts_only_if_both_windows_reach_the_threshold() {
    let settings = settings(objective(Kind::Availability));

    let burst = burn::evaluate(&settings, &samples(5.0));
    let outage = burn::evaluate(&settings, &samples(50.0));

    // In the long window, 10 s of 60 s are bad: too few at 5 bad events in 100, enough at 50.
    assert!(!burst[0].is_alerting, "{burst:?}");
    assert!(outage[0].is_alerting, "{outage:?}");
}

#[test]
fn restart_does_not_count_as_negative_growth() {
    let settings = settings(objective(Kind::Availability));
    let mut samples = samples(0.0);
    let restarted = samples.last_mut().expect("there are samples");
    restarted.counts[0].good = 7.0;

    let burns = burn::evaluate(&settings, &samples);

    assert_eq!(burns[0].windows[0].long_burn, 0.0);
}

#[test]
fn text_lists_every_objective() {
    let settings = settings(objective(Kind::Availability));

    insta::assert_snapshot!(text::render(&burn::evaluate(&settings, &samples(50.0))));
}
