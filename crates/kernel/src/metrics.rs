//! The metrics recorder of the process and its Prometheus text output.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the histogram buckets, in seconds: all histograms record latencies. 0.056 and
/// 0.61 are the limits of the latency objectives in `examples/objectives.yaml`.
const LATENCY_BOUNDS_SECONDS: [f64; 16] = [
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.056, 0.1, 0.15, 0.25, 0.4, 0.61, 1.0, 2.5, 5.0, 10.0, 30.0,
];

static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();

/// Installs the recorder; later calls have no effect.
pub fn install() {
    HANDLE.get_or_init(|| {
        PrometheusBuilder::new()
            .set_buckets(&LATENCY_BOUNDS_SECONDS)
            .expect("the bounds are a fixed non-empty list")
            .install_recorder()
            .expect("another metrics recorder is installed; install only one per process")
    });
}

/// Returns all metrics in the Prometheus text format; empty before [`install`].
pub fn render() -> String {
    HANDLE.get().map(PrometheusHandle::render).unwrap_or_default()
}
