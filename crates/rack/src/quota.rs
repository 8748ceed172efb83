//! The homes of quotas: which proxy of each zone issues the permits of which tenants. Part of the agreed state.
//!
//! Each zone has [`SLOTS`] slots, and a tenant's slot follows from its name. A slot is held by one proxy or is vacant; its
//! epoch is the revision of its last change. Nothing here knows of time: that a slot is given away again only after its last holder's
//! lease has ended is seen to by the registry that proposes it, and by the epoch that its command names. See
//! docs/system/quota-permits.md.

use crate::state::Node;
use crate::talk::tenant_key;
use crate::{Micros, Rev};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Slots of each zone.
pub const SLOTS: usize = 64;
/// A holder issues permits for so long after its copy held all that was acknowledged.
pub const LEASE_US: Micros = 20_000_000;
/// A vacant slot is given away when it has been seen vacant for so long: the lease, and what steady clocks may differ by.
pub const HANDOVER_US: Micros = LEASE_US + 1_000_000;

/// One slot of a zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Slot {
    pub holder: Option<Ipv4Addr>,
    /// The revision at which it was given away or became vacant; 0: it was never held, nor might have been.
    pub epoch: Rev,
}

/// A slot that is given to a proxy, if it is still vacant under this epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    pub slot: u8,
    pub epoch: Rev,
    pub holder: Ipv4Addr,
}

/// The slots of one zone that are given away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneAssignment {
    pub zone: String,
    pub slots: Vec<Assignment>,
}

/// A change of the table that the registry beside the leader proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaChange {
    /// These zones get slots, all of them vacant. From then on they count among the parts of each quota.
    Open {
        zones: Vec<String>,
    },
    Assign(Vec<ZoneAssignment>),
    /// The zone has no part any more, if all of its slots are vacant.
    Close {
        zone: String,
    },
}

/// Why a change of the table has no effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Unchanged {
    UnknownZone(String),
    StillHeld(String),
}

impl std::fmt::Display for Unchanged {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Unchanged::UnknownZone(zone) => write!(f, "zone {zone:?} has no slots"),
            Unchanged::StillHeld(zone) => write!(f, "zone {zone:?} has slots that are held"),
        }
    }
}

/// The table of homes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Homes {
    zones: BTreeMap<String, Arc<Vec<Slot>>>,
}

/// The slot of a tenant, alike in all zones.
pub fn slot_of(tenant: &str) -> usize {
    slot_of_key(tenant_key(tenant))
}

/// The slot of the tenant that messages name by this key.
pub fn slot_of_key(key: u32) -> usize {
    key as usize % SLOTS
}

impl Homes {
    pub fn is_empty(&self) -> bool {
        self.zones.is_empty()
    }

    /// Into how many parts each quota is divided.
    pub fn parts(&self) -> usize {
        self.zones.len()
    }

    pub fn zones(&self) -> impl Iterator<Item = (&str, &[Slot])> {
        self.zones.iter().map(|(zone, slots)| (zone.as_str(), slots.as_slice()))
    }

    pub fn slot(&self, zone: &str, slot: usize) -> Option<Slot> {
        self.zones.get(zone)?.get(slot).copied()
    }

    /// Under which epoch a proxy holds a slot.
    pub fn held_by(&self, zone: &str, slot: usize, ip: Ipv4Addr) -> Option<Rev> {
        self.slot(zone, slot).filter(|s| s.holder == Some(ip)).map(|s| s.epoch)
    }

    pub(crate) fn apply(
        &mut self,
        rev: Rev,
        nodes: &BTreeMap<Ipv4Addr, Node>,
        change: &QuotaChange,
    ) -> Result<(), Unchanged> {
        match change {
            QuotaChange::Open { zones } => self.open(rev, zones),
            QuotaChange::Assign(zones) => {
                zones.iter().try_for_each(|given| self.assign(rev, nodes, given))?
            }
            QuotaChange::Close { zone } => {
                let known = self.zones.get(zone).ok_or_else(|| Unchanged::UnknownZone(zone.clone()))?;
                if known.iter().any(|s| s.holder.is_some()) {
                    return Err(Unchanged::StillHeld(zone.clone()));
                }
                self.zones.remove(zone);
            }
        }
        Ok(())
    }

    /// Slots of the first table may be given away at once. Those of a later zone may not: until all have heard of it, the
    /// others hold larger parts.
    fn open(&mut self, rev: Rev, zones: &[String]) {
        let epoch = if self.zones.is_empty() { 0 } else { rev };
        for zone in zones {
            let vacant = vec![Slot { holder: None, epoch }; SLOTS];
            self.zones.entry(zone.clone()).or_insert(Arc::new(vacant));
        }
    }

    /// Slots that are not vacant under the epoch that is named stay as they are.
    fn assign(
        &mut self,
        rev: Rev,
        nodes: &BTreeMap<Ipv4Addr, Node>,
        given: &ZoneAssignment,
    ) -> Result<(), Unchanged> {
        let zone = &given.zone;
        let slots = self.zones.get_mut(zone).ok_or_else(|| Unchanged::UnknownZone(zone.clone()))?;
        for one in &given.slots {
            let of_zone = nodes.get(&one.holder).is_some_and(|n| n.zone == *zone);
            let slot = Arc::make_mut(slots).get_mut(usize::from(one.slot));
            let vacant = slot.filter(|s| s.holder.is_none() && s.epoch == one.epoch);
            if let Some(slot) = vacant.filter(|_| of_zone) {
                *slot = Slot { holder: Some(one.holder), epoch: rev };
            }
        }
        Ok(())
    }

    /// A proxy is there no more, or in another zone.
    pub(crate) fn vacate(&mut self, rev: Rev, ip: Ipv4Addr) {
        let holds = |s: &Slot| s.holder == Some(ip);
        for slots in self.zones.values_mut().filter(|slots| slots.iter().any(holds)) {
            for slot in Arc::make_mut(slots).iter_mut().filter(|slot| holds(slot)) {
                *slot = Slot { holder: None, epoch: rev };
            }
        }
    }

    pub(crate) fn written(&self) -> Vec<WrittenZone> {
        self.zones.iter().map(|(zone, slots)| WrittenZone::of(zone, slots)).collect()
    }

    pub(crate) fn read(written: Vec<WrittenZone>) -> Result<Homes, String> {
        let zones = written.into_iter().map(|w| w.read().map(|(zone, slots)| (zone, Arc::new(slots))));
        let zones = zones.collect::<Result<_, _>>()?;
        Ok(Homes { zones })
    }
}

/// A zone as it is written down: most of its slots have one of a few holders.
#[derive(Serialize, Deserialize)]
pub(crate) struct WrittenZone {
    zone: String,
    holders: Vec<Ipv4Addr>,
    /// The place of the holder among those, from 1, or 0 for none; the epoch.
    slots: Vec<(u8, Rev)>,
}

impl WrittenZone {
    fn of(zone: &str, slots: &[Slot]) -> WrittenZone {
        let mut holders: Vec<Ipv4Addr> = slots.iter().filter_map(|s| s.holder).collect();
        holders.sort_unstable();
        holders.dedup();
        let place = |ip: Ipv4Addr| holders.binary_search(&ip).map_or(0, |at| at as u8 + 1);
        let slots = slots.iter().map(|s| (s.holder.map_or(0, place), s.epoch)).collect();
        WrittenZone { zone: zone.into(), holders, slots }
    }

    fn read(self) -> Result<(String, Vec<Slot>), String> {
        if self.slots.len() != SLOTS {
            return Err(format!("zone {:?} has {} slots, not {SLOTS}", self.zone, self.slots.len()));
        }
        let slot = |(place, epoch): &(u8, Rev)| match usize::from(*place).checked_sub(1) {
            None => Ok(Slot { holder: None, epoch: *epoch }),
            Some(at) => match self.holders.get(at) {
                Some(ip) => Ok(Slot { holder: Some(*ip), epoch: *epoch }),
                None => Err(format!("zone {:?}: a slot has a holder that is not listed", self.zone)),
            },
        };
        let slots = self.slots.iter().map(slot).collect::<Result<_, _>>()?;
        Ok((self.zone, slots))
    }
}
