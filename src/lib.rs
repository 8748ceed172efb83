//! curlewfront: a load balancer that meters many customers' use of one shared service.
//!
//! `decide` is the decision module, `interface` has its types; neither does I/O.

mod decide;
mod interface;

pub use decide::Decider;
pub use interface::*;

/// Sizes of the gateway's tables, to observe its memory use.
impl Decider {
    /// Number of customers with state.
    pub fn customers_known(&self) -> usize {
        self.customers.len()
    }

    /// Number of requests that are open or have an attempt in flight.
    pub fn requests_known(&self) -> usize {
        self.requests.len()
    }
}
