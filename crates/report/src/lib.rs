//! The report on service-level burn: how fast each objective's error budget is
//! being used up, over several windows at once, from the instances' metrics.
//!
//! The alerting rule is the multi-window, multi-burn-rate one of "The Site
//! Reliability Workbook" (Beyer and others, 2018, chapter 5).

pub mod burn;
pub mod objective;
pub mod picture;
pub mod sample;
pub mod text;
