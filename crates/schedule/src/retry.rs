//! Retry budget: retries are a share of first tries, so that a fleet of failing
//! servers sees little more work than a healthy one.

/// Tries are counted in thousandths.
const UNIT: u64 = 1000;
/// Retries that may follow each other before the share is earned.
const RESERVE: u64 = 20 * UNIT;

/// Budget of one process.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Thousandths of a retry earned by a first try.
    earned: u64,
    balance: u64,
}

impl Budget {
    /// Allows `percent` retries for each hundred first tries.
    pub fn new(percent: u64) -> Budget {
        Budget { earned: percent * UNIT / 100, balance: RESERVE }
    }

    /// Counts a first try.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.earned).min(RESERVE);
    }

    /// Spends a retry if the budget allows one.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < UNIT {
            return false;
        }
        self.balance -= UNIT;
        true
    }
}

/// Delay before retry number `attempt`: exponential with full jitter, after
/// Brooker, "Exponential backoff and jitter", 2015. `unit` is random in 0..1.
pub fn delay(attempt: u32, unit: f64) -> std::time::Duration {
    const BASE: std::time::Duration = std::time::Duration::from_millis(20);
    const MAX_DOUBLINGS: u32 = 5;
    (BASE * (1 << attempt.min(MAX_DOUBLINGS))).mul_f64(unit.clamp(0.0, 1.0))
}
