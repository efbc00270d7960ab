//! Decisions about recent requests, for `explain`.

use std::{collections::VecDeque, sync::Arc};

use parking_lot::Mutex;

use fleet::Name;
use wire::frame::Step;

/// Maximum number of decisions retained; older ones are dropped.
const MAX_STEPS: usize = 8192;

/// Ring buffer of decisions.
#[derive(Debug, Default)]
pub struct Trace {
    steps: Mutex<VecDeque<(Name, Step)>>,
}

impl Trace {
    /// Records a decision.
    pub fn note(&self, request: &Name, at_ms: u64, instance: &Name, what: Arc<str>) {
        let step = Step { at_ms, instance: Arc::clone(instance), what };
        let mut steps = self.steps.lock();
        if MAX_STEPS <= steps.len() {
            steps.pop_front();
        }
        steps.push_back((Arc::clone(request), step));
    }

    /// Returns the retained decisions about a request, oldest first.
    pub fn steps(&self, request: &Name) -> Vec<Step> {
        let steps = self.steps.lock();
        steps.iter().filter(|(id, _)| id == request).map(|(_, step)| step.clone()).collect()
    }
}
