//! The report as plain text, one table for all objectives.

use std::fmt::Write as _;

use crate::burn::Burn;

/// Renders a table with a line for each objective and pair of windows, and a verdict for each
/// objective.
pub fn render(burns: &[Burn]) -> String {
    let mut text = format!(
        "{:<28}{:>10}{:>10}{:>12}{:>12}{:>11}\n",
        "objective", "long s", "short s", "long burn", "short burn", "threshold"
    );
    for burn in burns {
        for window in &burn.windows {
            let _infallible = writeln!(
                text,
                "{:<28}{:>10}{:>10}{:>12.2}{:>12.2}{:>11.1}",
                burn.objective,
                window.long_s,
                window.short_s,
                window.long_burn,
                window.short_burn,
                window.threshold
            );
        }
        let verdict = if burn.is_alerting { "ALERT" } else { "ok" };
        let _infallible = writeln!(text, "{:<28}{verdict:>10}", burn.objective);
    }
    text
}
