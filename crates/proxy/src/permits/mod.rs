//! Permits of quotas: who may issue them, who asks for them. No request of a tenant with a quota is sent to a server
//! without one, so that what all proxies send together is bounded whoever is cut off, stopped or new. The argument stands in
//! docs/system/quota-permits.md.

mod answers;
pub mod asker;
pub mod home;
pub mod issuer;

use answers::Answers;
use asker::{Asked, Asker, Next, Reached, Refusal, Try, VALID_US};
use home::Home;
use issuer::{Issued, Part};
use rack::Micros;
use rack::quota::slot_of_key;
use rack::state::State;
use rack::talk::{Permit, PermitAnswer};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use xxhash_rust::xxh3::xxh3_64;

/// What comes of an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Say(Ipv4Addr, Permit),
    /// The try may be sent, until then.
    Go {
        one: Try,
        until: Micros,
    },
    Refuse {
        one: Try,
        why: Refusal,
        wait_us: Micros,
    },
}

/// Tenants and their parts, by the keys that messages name them by.
pub trait Quotas {
    /// The part of one of so many zones; none: it has no quota.
    fn part(&self, tenant: u32, zones: usize) -> Option<Part>;
    /// The keys of all tenants that have a quota.
    fn tenants(&self) -> Vec<u32>;
}

/// Counts, for who watches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asks: u64,
    pub issued: u64,
    pub refused_spent: u64,
    pub refused_no_home: u64,
    pub unanswered: u64,
}

/// The permits of one process, as it issues them and as it asks for them.
pub struct Permits {
    me: Ipv4Addr,
    zone: String,
    region: String,
    /// Zones and their regions.
    regions: BTreeMap<String, String>,
    home: Home,
    /// The zones of the table in the order in which their homes are asked.
    order: Vec<(String, bool)>,
    asker: Asker,
    answers: Answers,
    pub counts: Counts,
}

impl Permits {
    pub fn new(
        me: Ipv4Addr,
        zone: String,
        region: String,
        regions: BTreeMap<String, String>,
        seed: u64,
    ) -> Permits {
        Permits {
            me,
            home: Home::new(me, zone.clone()),
            zone,
            region,
            regions,
            order: Vec::new(),
            asker: Asker::new(me, seed),
            answers: Answers::default(),
            counts: Counts::default(),
        }
    }

    /// Takes over what is agreed of homes, and which tenants there are.
    pub fn learn(&mut self, now: Micros, state: &State, quotas: &impl Quotas) {
        let others = *self.home.homes() != state.homes;
        self.home.learn(now, &state.homes, quotas);
        if others {
            self.reorder();
        }
    }

    /// This zone, those of its region, the others; among equally near ones each proxy has its own order.
    fn reorder(&mut self) {
        let far = |zone: &str| self.regions.get(zone) != Some(&self.region);
        let weight = |zone: &str| xxh3_64(&[&self.me.octets(), zone.as_bytes()].concat());
        let mut zones: Vec<&str> = self.home.homes().zones().map(|(zone, _)| zone).collect();
        zones.sort_by_key(|zone| (*zone != self.zone, far(zone), weight(zone)));
        let order: Vec<(String, bool)> = zones.iter().map(|z| (z.to_string(), !far(z))).collect();
        if order != self.order {
            self.order = order;
            self.asker.forget_zones();
        }
    }

    /// When the copy here held all that was acknowledged, as far as that is proved.
    pub fn prove(&mut self, at: Option<Micros>) {
        self.home.prove(at);
    }

    pub fn wake_at(&self) -> Micros {
        self.asker.wake_at()
    }

    /// Why a try that came now would be refused at once, if it would; and when it is worth trying again.
    pub fn refuses(&self, now: Micros, tenant: u32) -> Option<(Refusal, Micros)> {
        self.asker.nobody(now, tenant, &self.homes_of(tenant))
    }

    /// A try wants to go.
    pub fn want(
        &mut self,
        now: Micros,
        tenant: u32,
        one: Try,
        quotas: &impl Quotas,
        effects: &mut Vec<Effect>,
    ) {
        if let Some(until) = self.asker.wait(now, tenant, one) {
            effects.push(Effect::Go { one, until });
        }
        self.advance(now, tenant, quotas, effects);
    }

    /// A try wants to go no more.
    pub fn withdraw(&mut self, one: Try) {
        self.asker.withdraw(one);
    }

    /// A message from another proxy.
    pub fn heard(
        &mut self,
        now: Micros,
        from: Ipv4Addr,
        message: Permit,
        quotas: &impl Quotas,
        effects: &mut Vec<Effect>,
    ) {
        match message {
            Permit::Ask { ask, tenant, count, ahead } => {
                let (count, ahead) = (u32::from(count), u32::from(ahead));
                let issued = self.answers.again(now, from, ask);
                let issued = issued.or_else(|| self.issue(now, tenant, count, ahead, quotas));
                self.answers.note(now, from, ask, issued);
                let answer = match issued {
                    None => PermitAnswer::NotHome,
                    Some(issued) => {
                        let wait_ms = issued.wait_us.div_ceil(1000);
                        let wait_ms = u16::try_from(wait_ms).unwrap_or(u16::MAX);
                        PermitAnswer::Issued { count: issued.count as u8, ahead: issued.ahead as u8, wait_ms }
                    }
                };
                effects.push(Effect::Say(from, Permit::Answer { ask, answer }));
            }
            Permit::Answer { ask, answer } => {
                let Some(tenant) = self.asker.tenant_of(ask) else { return };
                if let Some(asked) = self.asker.answered(now, tenant, from, ask) {
                    match answer {
                        PermitAnswer::NotHome => self.asker.is_away(now, tenant, asked.zone),
                        PermitAnswer::Issued { count, ahead, wait_ms } => {
                            let (count, wait_us) = (u32::from(count), Micros::from(wait_ms) * 1000);
                            let issued = Issued { count, ahead: u32::from(ahead), wait_us };
                            self.got(now, tenant, asked, issued, effects);
                        }
                    }
                }
                self.advance(now, tenant, quotas, effects);
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, quotas: &impl Quotas, effects: &mut Vec<Effect>) {
        if now < self.wake_at() {
            return;
        }
        for (tenant, asked) in self.asker.again(now) {
            effects.push(Effect::Say(asked.ip, asked.message(tenant)));
        }
        for tenant in self.asker.late(now) {
            self.counts.unanswered += u64::from(self.asker.time_out(now, tenant));
            self.advance(now, tenant, quotas, effects);
        }
    }

    /// The homes of a tenant, in the order in which they are asked.
    fn homes_of(&self, tenant: u32) -> Vec<Option<Reached>> {
        let slot = slot_of_key(tenant);
        let home = |(zone, near): &(String, bool)| {
            let ip = self.home.homes().slot(zone, slot)?.holder?;
            Some(Reached { ip, near: *near })
        };
        self.order.iter().map(home).collect()
    }

    /// Permits of this proxy's own; none: it is not home for this tenant, or not sure of it.
    fn issue(
        &mut self,
        now: Micros,
        tenant: u32,
        wanted: u32,
        ahead: u32,
        quotas: &impl Quotas,
    ) -> Option<Issued> {
        let issued = self.home.issue(now, tenant, wanted, ahead, quotas)?;
        self.counts.issued += u64::from(issued.count + issued.ahead);
        Some(issued)
    }

    fn advance(&mut self, now: Micros, tenant: u32, quotas: &impl Quotas, effects: &mut Vec<Effect>) {
        let homes = self.homes_of(tenant);
        loop {
            match self.asker.next(now, tenant, &homes) {
                Next::Nothing => return,
                Next::Here { zone, count } => match self.issue(now, tenant, count, 0, quotas) {
                    None => self.asker.is_away(now, tenant, zone),
                    Some(issued) => {
                        let asked = Asked::here(self.me, zone, count, now);
                        self.got(now, tenant, asked, issued, effects);
                    }
                },
                Next::Ask(asked) => {
                    self.counts.asks += 1;
                    effects.push(Effect::Say(asked.ip, asked.message(tenant)));
                    return;
                }
                Next::Nobody { why, wait_us } => return self.refuse(tenant, why, wait_us, effects),
            }
        }
    }

    /// What a zone's home issued of so many that were asked for.
    fn got(&mut self, now: Micros, tenant: u32, asked: Asked, issued: Issued, effects: &mut Vec<Effect>) {
        let until = asked.sent_at + VALID_US;
        let go = self.asker.spend(tenant, issued.count.min(asked.count));
        effects.extend(go.into_iter().map(|one| Effect::Go { one, until }));
        self.asker.hold(now, tenant, asked, issued.ahead);
        while let Some((one, until)) = self.asker.take_held(now, tenant) {
            effects.push(Effect::Go { one, until });
        }
        if issued.count < asked.count {
            self.asker.is_spent(now, tenant, asked.zone, issued.wait_us);
        }
    }

    fn refuse(&mut self, tenant: u32, why: Refusal, wait_us: Micros, effects: &mut Vec<Effect>) {
        for one in self.asker.give_up(tenant) {
            match why {
                Refusal::Spent => self.counts.refused_spent += 1,
                Refusal::NoHome => self.counts.refused_no_home += 1,
            }
            effects.push(Effect::Refuse { one, why, wait_us });
        }
    }
}
