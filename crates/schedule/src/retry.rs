//! Retry budget and retry delay.
//!
//! The budget limits retries to a share of first attempts, so that failing servers receive little
//! more work than healthy ones.

/// Balance units per retry.
const UNITS_PER_RETRY: u64 = 1000;
/// Largest balance: 20 retries that may be spent before first attempts earn more.
const MAX_BALANCE: u64 = 20 * UNITS_PER_RETRY;

/// Retry budget of one process.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// Units that each first attempt earns.
    earned_per_attempt: u64,
    /// Units that retries may spend.
    balance: u64,
}

impl Budget {
    /// Creates a budget of `percent` retries per 100 first attempts, with a full balance.
    pub fn new(percent: u64) -> Budget {
        Budget { earned_per_attempt: percent * UNITS_PER_RETRY / 100, balance: MAX_BALANCE }
    }

    /// Records a first attempt, which earns a fraction of a retry.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.earned_per_attempt).min(MAX_BALANCE);
    }

    /// Spends one retry if the balance allows it. Returns whether it did.
    pub fn try_spend(&mut self) -> bool {
        if self.balance < UNITS_PER_RETRY {
            return false;
        }
        self.balance -= UNITS_PER_RETRY;
        true
    }
}

/// Returns the delay before retry number `retry`: exponential backoff with full jitter (Brooker,
/// "Exponential backoff and jitter", 2015). The longest delay is 20 ms for number 0, doubles with
/// each number and stays at 640 ms from number 5 on. `jitter` is a random number from 0 to 1.
pub fn delay(retry: u32, jitter: f64) -> std::time::Duration {
    const BASE_DELAY: std::time::Duration = std::time::Duration::from_millis(20);
    const MAX_DOUBLINGS: u32 = 5;
    (BASE_DELAY * (1 << retry.min(MAX_DOUBLINGS))).mul_f64(jitter.clamp(0.0, 1.0))
}
