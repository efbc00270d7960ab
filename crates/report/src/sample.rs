//! Samples of the instances' metrics, as JSON lines.

use std::{
    fs, io,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use prometheus_parse::{Scrape, Value};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt as _, Snafu};

use kernel::Kernel;
use services::http;

use crate::objective::{Kind, Objective};

const FETCH_LIMIT: Duration = Duration::from_secs(2);

/// Good and bad events so far at one instance, by objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub instance: SocketAddr,
    pub counts: Vec<Count>,
}

/// Events of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Count {
    pub objective: String,
    pub good: f64,
    pub bad: f64,
}

/// Why samples cannot be read.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display("cannot use {}: {source}; check the path and its permissions", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("line {line} of the samples cannot be read: {source}; remove it"))]
    Line { line: usize, source: serde_json::Error },
}

/// Reads one instance's metrics.
pub async fn take(
    kernel: &Kernel,
    instance: SocketAddr,
    objectives: &[Objective],
) -> Option<Sample> {
    let page = http::fetch(kernel, instance, http::get("/metrics"), FETCH_LIMIT).await.ok()?;
    let text = String::from_utf8_lossy(page.body()).into_owned();
    Some(Sample { at_ms: kernel.clock.unix_ms(), instance, counts: count(&text, objectives) })
}

/// Good and bad events of each objective on a metrics page.
pub fn count(page: &str, objectives: &[Objective]) -> Vec<Count> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let Ok(scrape) = Scrape::parse(lines) else { return Vec::new() };
    objectives.iter().map(|objective| count_one(&scrape, objective)).collect()
}

/// Reads samples from JSON lines.
///
/// # Errors
///
/// The file or one of its lines cannot be read.
pub fn load(path: &Path) -> Result<Vec<Sample>, Error> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    let lines = text.lines().enumerate();
    lines
        .map(|(line, text)| serde_json::from_str(text).context(LineSnafu { line: line + 1 }))
        .collect()
}

fn count_one(scrape: &Scrape, objective: &Objective) -> Count {
    let outcome =
        |outcome: &str| counter(scrape, objective, "chivelatch_requests_total", "outcome", outcome);
    let (good, bad) = match objective.kind {
        Kind::Availability => {
            let refused =
                counter(scrape, objective, "chivelatch_refusals_total", "type", "overloaded");
            (outcome("completed"), outcome("unknown") + refused)
        }
        Kind::Admission => {
            let name = "chivelatch_rate_refusals_total";
            (outcome("completed"), counter(scrape, objective, name, "cause", "no-holder"))
        }
        Kind::FirstToken { limit } => {
            within(scrape, objective, "chivelatch_first_token_seconds", limit)
        }
        Kind::TokenGap { limit } => {
            within(scrape, objective, "chivelatch_token_gap_seconds", limit)
        }
    };
    Count { objective: objective.name.clone(), good, bad }
}

fn counter(scrape: &Scrape, objective: &Objective, name: &str, label: &str, value: &str) -> f64 {
    let samples = scrape.samples.iter().filter(|sample| sample.metric == name);
    let samples = samples.filter(|sample| sample.labels.get(label) == Some(value));
    let samples = samples.filter(|sample| is_for(sample, objective));
    samples
        .map(|sample| match sample.value {
            Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => value,
            _ => 0.0,
        })
        .sum()
}

/// Events at most as long as a limit, and the others. The limit counts as the
/// next bound of the histogram.
fn within(scrape: &Scrape, objective: &Objective, name: &str, limit: Duration) -> (f64, f64) {
    let (mut good, mut all) = (0.0, 0.0);
    let samples = scrape.samples.iter().filter(|sample| sample.metric == name);
    for sample in samples.filter(|sample| is_for(sample, objective)) {
        let Value::Histogram(buckets) = &sample.value else { continue };
        let fitting = buckets.iter().find(|bucket| limit.as_secs_f64() <= bucket.less_than);
        good += fitting.map_or(0.0, |bucket| bucket.count);
        all += buckets.last().map_or(0.0, |bucket| bucket.count);
    }
    (good, all - good)
}

/// Metrics without an account count for every objective.
fn is_for(sample: &prometheus_parse::Sample, objective: &Objective) -> bool {
    match (&objective.account, sample.labels.get("account")) {
        (Some(wanted), Some(account)) => wanted == account,
        _ => true,
    }
}
