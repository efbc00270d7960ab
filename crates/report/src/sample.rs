//! Samples of the instances' metrics, stored as JSON lines.
//!
//! A sample holds cumulative counts; the events of a window are the growth between its samples.

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

const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Events of one instance since its start, by objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    pub instance: SocketAddr,
    pub counts: Vec<Count>,
}

/// Numbers of good and bad events of one objective.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Count {
    pub objective: String,
    pub good: f64,
    pub bad: f64,
}

/// Failure to read samples.
#[derive(Debug, Snafu)]
pub enum Error {
    #[snafu(display(
        "cannot read {}: {source}; check the path and its permissions",
        path.display()
    ))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("cannot parse line {line} of the samples: {source}; remove the line"))]
    Line { line: usize, source: serde_json::Error },
}

/// Fetches the metrics of an instance, or returns `None` if it does not respond with a whole page.
pub async fn fetch(
    kernel: &Kernel,
    instance: SocketAddr,
    objectives: &[Objective],
) -> Option<Sample> {
    let page = http::fetch(kernel, instance, http::get("/metrics"), FETCH_TIMEOUT).await.ok()?;
    let text = String::from_utf8_lossy(page.body()).into_owned();
    // The text format ends each line with a line feed.
    if !text.is_empty() && !text.ends_with('\n') {
        return None;
    }
    Some(Sample { at_ms: kernel.clock.unix_ms(), instance, counts: count(&text, objectives) })
}

/// Counts the events of each objective on a metrics page in the Prometheus text format. Returns
/// nothing if the page cannot be parsed.
pub fn count(page: &str, objectives: &[Objective]) -> Vec<Count> {
    let lines = page.lines().map(|line| Ok(line.to_owned()));
    let Ok(scrape) = Scrape::parse(lines) else { return Vec::new() };
    objectives.iter().map(|objective| count_one(&scrape, objective)).collect()
}

/// Reads samples from a file of JSON lines.
///
/// # Errors
///
/// The file cannot be read or one of its lines is not a sample.
pub fn load(path: &Path) -> Result<Vec<Sample>, Error> {
    let text = fs::read_to_string(path).context(FileSnafu { path })?;
    let lines = text.lines().enumerate();
    lines
        .map(|(line, text)| serde_json::from_str(text).context(LineSnafu { line: line + 1 }))
        .collect()
}

fn count_one(scrape: &Scrape, objective: &Objective) -> Count {
    let requests = |outcome: &str| {
        sum_counter(scrape, objective, "chivelatch_requests_total", "outcome", outcome)
    };
    let (good, bad) = match objective.kind {
        Kind::Availability => {
            let rejected =
                sum_counter(scrape, objective, "chivelatch_refusals_total", "type", "overloaded");
            (requests("completed"), requests("unknown") + rejected)
        }
        Kind::Admission => {
            let name = "chivelatch_rate_refusals_total";
            (requests("completed"), sum_counter(scrape, objective, name, "cause", "no-holder"))
        }
        Kind::FirstToken { limit } => {
            count_within(scrape, objective, "chivelatch_first_token_seconds", limit)
        }
        Kind::TokenGap { limit } => {
            count_within(scrape, objective, "chivelatch_token_gap_seconds", limit)
        }
    };
    Count { objective: objective.name.clone(), good, bad }
}

/// Returns the sum of a counter over all metrics that have the label value and belong to the
/// account of the objective.
fn sum_counter(
    scrape: &Scrape,
    objective: &Objective,
    name: &str,
    label: &str,
    value: &str,
) -> f64 {
    let metrics = scrape.samples.iter().filter(|metric| metric.metric == name);
    let metrics = metrics.filter(|metric| metric.labels.get(label) == Some(value));
    let metrics = metrics.filter(|metric| matches_account(metric, objective));
    metrics
        .map(|metric| match metric.value {
            Value::Counter(value) | Value::Gauge(value) | Value::Untyped(value) => value,
            _ => 0.0,
        })
        .sum()
}

/// Returns the numbers of events within a limit and beyond it. The limit is rounded up to the next
/// bucket bound of the histogram; beyond the last finite bound, it includes every event.
fn count_within(scrape: &Scrape, objective: &Objective, name: &str, limit: Duration) -> (f64, f64) {
    let (mut good, mut total) = (0.0, 0.0);
    let metrics = scrape.samples.iter().filter(|metric| metric.metric == name);
    for metric in metrics.filter(|metric| matches_account(metric, objective)) {
        let Value::Histogram(buckets) = &metric.value else { continue };
        let bucket = buckets.iter().find(|bucket| limit.as_secs_f64() <= bucket.less_than);
        good += bucket.map_or(0.0, |bucket| bucket.count);
        total += buckets.last().map_or(0.0, |bucket| bucket.count);
    }
    (good, total - good)
}

/// Returns whether a metric belongs to the account of an objective; one without an account belongs
/// to every objective.
fn matches_account(metric: &prometheus_parse::Sample, objective: &Objective) -> bool {
    match (&objective.account, metric.labels.get("account")) {
        (Some(expected), Some(account)) => expected == account,
        _ => true,
    }
}
