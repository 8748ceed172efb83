//! This proxy as the home of quotas: whether it may issue a tenant's permits now, and how many.
//!
//! It may while its copy of the state names it as the holder of the tenant's slot, and that copy held all that was
//! acknowledged no longer ago than the lease.

use super::Quotas;
use super::issuer::{Issued, Issuer, Part};
use rack::quota::{Homes, LEASE_US, slot_of_key};
use rack::{Micros, Rev};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Home {
    me: Ipv4Addr,
    zone: String,
    homes: Homes,
    /// When the copy here held all that was acknowledged, as far as that is proved.
    proven_at: Option<Micros>,
    issuer: Issuer,
}

impl Home {
    /// A process that has just started: it holds nothing of an earlier one.
    pub fn new(me: Ipv4Addr, zone: String) -> Home {
        Home { me, zone, homes: Homes::default(), proven_at: None, issuer: Issuer::default() }
    }

    pub fn homes(&self) -> &Homes {
        &self.homes
    }

    pub fn learn(&mut self, now: Micros, homes: &Homes, quotas: &impl Quotas) {
        if self.homes != *homes {
            self.homes = homes.clone();
        }
        let parts = self.homes.parts();
        let held = |tenant: u32| Some((tenant, (self.epoch_of(tenant)?, quotas.part(tenant, parts)?)));
        let held: BTreeMap<u32, (Rev, Part)> = quotas.tenants().into_iter().filter_map(held).collect();
        self.issuer.hold(now, &held);
    }

    /// The copy here held all that was acknowledged at this time.
    pub fn prove(&mut self, at: Option<Micros>) {
        self.proven_at = self.proven_at.max(at);
    }

    /// Under which epoch this proxy is the home of a tenant, by its copy.
    fn epoch_of(&self, tenant: u32) -> Option<Rev> {
        self.homes.held_by(&self.zone, slot_of_key(tenant), self.me)
    }

    /// The epoch under which permits of a tenant may be issued here now.
    pub fn acts(&self, now: Micros, tenant: u32) -> Option<Rev> {
        let leased = self.proven_at.is_some_and(|at| now <= at + LEASE_US);
        self.epoch_of(tenant).filter(|_| leased)
    }

    /// Up to so many permits, and some ahead; none: it may not issue any of this tenant.
    pub fn issue(
        &mut self,
        now: Micros,
        tenant: u32,
        wanted: u32,
        ahead: u32,
        quotas: &impl Quotas,
    ) -> Option<Issued> {
        let epoch = self.acts(now, tenant)?;
        let part = quotas.part(tenant, self.homes.parts())?;
        Some(self.issuer.issue(now, tenant, epoch, part, wanted, ahead))
    }
}
