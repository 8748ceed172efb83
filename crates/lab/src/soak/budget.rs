//! How many processes all days that are played at one time may have together.

use std::sync::{Condvar, Mutex, PoisonError};

pub struct ProcessBudget {
    most: usize,
    used: Mutex<usize>,
    freed: Condvar,
}

/// Given back when dropped.
pub struct Taken<'b> {
    budget: &'b ProcessBudget,
    processes: usize,
}

impl ProcessBudget {
    pub fn new(most: usize) -> ProcessBudget {
        ProcessBudget { most, used: Mutex::new(0), freed: Condvar::new() }
    }

    /// Waits until there is room. A day larger than the whole budget is played alone.
    pub fn take(&self, processes: usize) -> Taken<'_> {
        let mut used = self.used.lock().unwrap_or_else(PoisonError::into_inner);
        while *used > 0 && *used + processes > self.most {
            used = self.freed.wait(used).unwrap_or_else(PoisonError::into_inner);
        }
        *used += processes;
        Taken { budget: self, processes }
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        *self.budget.used.lock().unwrap_or_else(PoisonError::into_inner) -= self.processes;
        self.budget.freed.notify_all();
    }
}
