//! Logs as JSON lines on standard error.

use logforth::{append, layout::JsonLayout, record::LevelFilter};

/// Installs the process's logger; later calls are ignored.
pub fn install(level: LevelFilter) {
    let append = append::Stderr::default().with_layout(JsonLayout::default());
    let builder = logforth::starter_log::builder();
    let _already = builder.dispatch(|dispatch| dispatch.filter(level).append(append)).try_apply();
}
