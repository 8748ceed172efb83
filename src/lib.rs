//! curlewfront: a front door that meters many customers' use of one shared service.
//!
//! The decisions stand in `decide`, their types in `interface`; both do no I/O.

mod decide;
mod interface;

pub use decide::Decider;
pub use interface::*;

/// What is remembered, for those who watch a gateway's memory.
impl Decider {
    /// How many customers are remembered.
    pub fn customers_known(&self) -> usize {
        self.customers.len()
    }

    /// How many requests are open here, or still have an attempt out.
    pub fn requests_known(&self) -> usize {
        self.requests.len()
    }
}
