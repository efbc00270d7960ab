//! Error budget report: how fast each service-level objective consumes its error
//! budget, over several time windows, from the instances' metrics.
//!
//! Alerts follow the multiwindow, multi-burn-rate rule of "The Site Reliability
//! Workbook" (Beyer and others, 2018, chapter 5).

pub mod burn;
pub mod chart;
pub mod objective;
pub mod sample;
pub mod text;
