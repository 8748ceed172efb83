//! Customers' stores of units, rebuilt from a record: each starts full, fills at its plan's rate and holds the burst at
//! most, as the plans' quotas and ceilings do.

use std::collections::HashMap;

/// The stores of all customers, as of the last look at each.
#[derive(Default)]
pub struct Stores(HashMap<u64, (f64, u64)>);

impl Stores {
    /// The level in units of a customer's store at `at_us`, filled since the last look at `rate` units a second up
    /// to `burst`; what is taken from it counts from then on. Looks at one customer go forward in time.
    pub fn level(&mut self, customer: u64, rate: f64, burst: f64, at_us: u64) -> &mut f64 {
        let (level, then) = self.0.entry(customer).or_insert((burst, at_us));
        *level = (*level + rate * at_us.saturating_sub(*then) as f64 / 1e6).min(burst);
        *then = at_us.max(*then);
        level
    }

    /// Takes the units if the store holds them; whether it did.
    pub fn takes(&mut self, customer: u64, rate: f64, burst: f64, at_us: u64, units: f64) -> bool {
        let level = self.level(customer, rate, burst, at_us);
        let held = *level >= units;
        if held {
            *level -= units;
        }
        held
    }
}
