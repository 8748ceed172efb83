//! The duty of the registry beside the leader to see that each slot of the table of quotas' homes is held: a state machine
//! that looks at the agreed state from time to time and says which change is due.
//!
//! A slot that was held is given away again only after it has been seen vacant for [`HANDOVER_US`] under the same epoch, by
//! this registry's own steady clock; see docs/system/quota-permits.md for why that is enough.

use rack::quota::{Assignment, HANDOVER_US, Homes, QuotaChange, Slot, ZoneAssignment};
use rack::state::State;
use rack::{Micros, Rev};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// The first slots are given away when the proxies have been the same for so long: else the first would get them all.
const JOINED_US: Micros = 1_000_000;
/// A zone without proxies, and with no slot held, leaves the table after so long.
const CLOSED_US: Micros = 60_000_000;

/// A slot that is vacant, and since when that is known here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Vacancy {
    epoch: Rev,
    seen_at: Micros,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct QuotaHomes {
    vacancies: BTreeMap<(String, usize), Vacancy>,
    nodes: Vec<Ipv4Addr>,
    nodes_since: Micros,
}

impl QuotaHomes {
    /// Takes note of the state as it is now.
    pub fn look(&mut self, now: Micros, state: &State) {
        if !state.nodes.keys().eq(&self.nodes) {
            self.nodes = state.nodes.keys().copied().collect();
            self.nodes_since = now;
        }
        let mut before = std::mem::take(&mut self.vacancies);
        for (zone, at, slot) in slots(&state.homes).filter(|(_, _, slot)| slot.holder.is_none()) {
            let key = (zone.to_string(), at);
            let known = before.remove(&key).filter(|known| known.epoch == slot.epoch);
            let vacancy = known.unwrap_or(Vacancy { epoch: slot.epoch, seen_at: now });
            self.vacancies.insert(key, vacancy);
        }
    }

    /// What is to be proposed now; `alive`: the proxies that slots may be given to.
    pub fn due(&self, now: Micros, state: &State, alive: &BTreeSet<Ipv4Addr>) -> Option<QuotaChange> {
        self.opens(now, state).or_else(|| self.closes(now, state)).or_else(|| self.assigns(now, state, alive))
    }

    fn opens(&self, now: Micros, state: &State) -> Option<QuotaChange> {
        let settled = now >= self.nodes_since + JOINED_US;
        let known: BTreeSet<&str> = state.homes.zones().map(|(zone, _)| zone).collect();
        let zones: BTreeSet<&str> = state.nodes.values().map(|n| n.zone.as_str()).collect();
        let new: Vec<String> = zones.difference(&known).map(|zone| zone.to_string()).collect();
        (settled && !new.is_empty()).then_some(QuotaChange::Open { zones: new })
    }

    fn closes(&self, now: Micros, state: &State) -> Option<QuotaChange> {
        let empty = |zone: &str| state.nodes.values().all(|n| n.zone != zone);
        let vacant = |zone: &str, slots: &[Slot]| {
            (0..slots.len()).all(|at| self.vacant_for(now, zone, at).is_some_and(|us| us >= CLOSED_US))
        };
        let mut zones = state.homes.zones().filter(|(zone, slots)| empty(zone) && vacant(zone, slots));
        zones.next().map(|(zone, _)| QuotaChange::Close { zone: zone.to_string() })
    }

    fn assigns(&self, now: Micros, state: &State, alive: &BTreeSet<Ipv4Addr>) -> Option<QuotaChange> {
        let zones = state.homes.zones().map(|(zone, slots)| self.assigns_of(now, state, alive, zone, slots));
        let zones: Vec<ZoneAssignment> = zones.filter(|given| !given.slots.is_empty()).collect();
        (!zones.is_empty()).then_some(QuotaChange::Assign(zones))
    }

    /// The vacant slots of a zone that may be given away, each to the proxy that holds the fewest.
    fn assigns_of(
        &self,
        now: Micros,
        state: &State,
        alive: &BTreeSet<Ipv4Addr>,
        zone: &str,
        slots: &[Slot],
    ) -> ZoneAssignment {
        let here = state.nodes.values().filter(|n| n.zone == zone && alive.contains(&n.ip));
        let mut held: BTreeMap<Ipv4Addr, usize> = here.map(|n| (n.ip, 0)).collect();
        for holder in slots.iter().filter_map(|s| s.holder) {
            held.entry(holder).and_modify(|count| *count += 1);
        }
        let mut given = Vec::new();
        for (at, slot) in slots.iter().enumerate().filter(|(at, slot)| self.is_free(now, zone, *at, slot)) {
            let fewest = held.iter_mut().min_by_key(|(ip, count)| (**count, **ip));
            let Some((holder, count)) = fewest else { break };
            *count += 1;
            given.push(Assignment { slot: at as u8, epoch: slot.epoch, holder: *holder });
        }
        ZoneAssignment { zone: zone.to_string(), slots: given }
    }

    /// Whether nobody can act as the holder of this slot any more.
    fn is_free(&self, now: Micros, zone: &str, at: usize, slot: &Slot) -> bool {
        let never_held = slot.epoch == 0;
        slot.holder.is_none()
            && (never_held || self.vacant_for(now, zone, at).is_some_and(|us| us >= HANDOVER_US))
    }

    fn vacant_for(&self, now: Micros, zone: &str, at: usize) -> Option<Micros> {
        let vacancy = self.vacancies.get(&(zone.to_string(), at))?;
        Some(now.saturating_sub(vacancy.seen_at))
    }
}

fn slots(homes: &Homes) -> impl Iterator<Item = (&str, usize, &Slot)> {
    homes.zones().flat_map(|(zone, slots)| slots.iter().enumerate().map(move |(at, slot)| (zone, at, slot)))
}
