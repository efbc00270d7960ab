//! Routing, API keys and the retry budget of the whole fleet.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serving::{
    manifest::{Account, Denial, Homes, Manifest, RetryPolicy, Route},
    retry::{Budget, Limits},
};

const LIMITS: Limits = Limits { ratio: 0.2, slack: 54.0, window: Duration::from_secs(10) };

fn route(prefix: &str, is_public: bool) -> Arc<Route> {
    Arc::new(Route {
        name: Arc::from(prefix),
        host: Arc::from("portal.example"),
        prefix: Arc::from(prefix),
        retry_policy: RetryPolicy::Idempotent,
        timeout: None,
        objective: Duration::from_secs(1),
        pause: None,
        urgency: 2,
        targets: [(Arc::from("old"), 90), (Arc::from("new"), 10)].into_iter().collect(),
        attempts: 2,
        is_public,
        homes: Homes::new(),
    })
}

fn manifest() -> Manifest {
    Manifest {
        routes: vec![route("/a/", false), route("/a/b/", true)],
        accounts: vec![Arc::new(Account { name: Arc::from("council"), ..Account::default() })],
        keys: HashMap::from([(Arc::from("key"), 0)]),
        ..Manifest::default()
    }
}

#[test]
fn prefers_the_route_with_the_longest_prefix() {
    let manifest = manifest();

    let route = |path| manifest.route("portal.example", path).map(|route| &*route.prefix);

    assert_eq!(route("/a/b/c"), Some("/a/b/"));
    assert_eq!(route("/a/x"), Some("/a/"));
    assert_eq!(route("/other"), None);
    assert!(manifest.route("Portal.Example:80", "/a/x").is_some());
    assert!(manifest.route("elsewhere.example", "/a/x").is_none());
}

#[test]
fn requires_a_key_unless_the_route_is_public() {
    let manifest = manifest();

    let authorize = |path, key| manifest.authorize("portal.example", path, key);

    assert_eq!(&*authorize("/a/x", Some("key")).unwrap().account.unwrap().name, "council");
    assert_eq!(authorize("/a/x", Some("withdrawn")).unwrap_err(), Denial::UnknownKey);
    assert_eq!(authorize("/a/x", None).unwrap_err(), Denial::UnknownKey);
    assert_eq!(authorize("/none", Some("key")).unwrap_err(), Denial::UnknownRoute);
    assert!(authorize("/a/b/x", None).unwrap().account.is_none());
}

#[test]
fn distributes_requests_by_weight() {
    let route = route("/a/", false);

    let to_new = (0..1000).filter(|draw| route.target(*draw).is_some_and(|name| &**name == "new"));

    assert_eq!(to_new.count(), 100);
}

#[test]
fn keeps_all_instances_together_within_the_retry_budget() {
    const INSTANCES: usize = 4;
    let mut budgets = vec![Budget::default(); INSTANCES];
    let mut retries = 0;
    for step in 0..1000u64 {
        let now = Duration::from_millis(step * 10);
        let budget = &mut budgets[step as usize % INSTANCES];
        budget.record_first_attempt(now, &LIMITS);
        // Retry every request as often as the budget allows.
        while budget.try_spend(now, &LIMITS, INSTANCES) {
            retries += 1;
        }
    }

    assert!(f64::from(retries) <= 1000.0 * LIMITS.ratio + LIMITS.slack, "{retries}");
    assert!(100 < retries, "{retries}");
}
