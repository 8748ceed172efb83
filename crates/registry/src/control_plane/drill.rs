//! Calls about drills, the reports of proxies about them, and the end of those whose time is up.

use super::{ControlPlane, Output};
use crate::calls::{Answer, Request};
use cluster::drill::{DrillChange, Rows, Said};
use cluster::state::Command;
use cluster::talk::{Age, Down, ToStore};
use cluster::{Micros, Rev};
use settings::api;
use settings::drill::{Drill, Fault};

impl ControlPlane {
    pub(super) fn put_drill(
        &mut self,
        id: u64,
        name: &str,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Option<Answer> {
        let drill = match Drill::read(name, &request.body) {
            Ok(drill) => drill,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        let state = &self.copy.state;
        let target_exists = match &drill.fault {
            Fault::UnreachableServer(id) if !state.servers.contains_key(id) => {
                Err(format!("no server {id:?}"))
            }
            Fault::UnreachableZone(zone) if !self.parameters.zones.contains_key(zone) => {
                Err(format!("no zone {zone:?}"))
            }
            _ => Ok(()),
        };
        let allowed = target_exists.and_then(|()| state.drills.consider(&drill, state.config.as_deref()));
        if let Err(why) = allowed {
            return Some(Answer::error(422, &why));
        }
        match api::dry_run(&request.target) {
            Err(why) => return Some(Answer::error(400, &why.to_string())),
            Ok(true) => {
                let wanted = drill.caller.tenant.as_ref().map(|t| self.meter.demand_per_s(self.now, t));
                return Some(self.view().drill_dry_run(&drill, wanted));
            }
            Ok(false) => {}
        }
        self.requested_drills.retain(|(_, ends)| *ends > self.now);
        self.requested_drills.push((drill.clone(), self.now + Micros::from(drill.for_ms) * 1000));
        self.propose_fenced(id, Command::Drill(DrillChange::Start(Box::new(drill))), out)
    }

    pub(super) fn stop_drill(&mut self, id: u64, name: String, out: &mut Vec<Output>) -> Option<Answer> {
        if !self.copy.state.drills.0.contains_key(&name) {
            return Some(Answer::error(404, &format!("no drill {name:?}")));
        }
        let why = "stopped by an operator".to_string();
        self.propose_fenced(id, Command::Drill(DrillChange::Stop { name, epoch: None, why }), out)
    }

    /// Sends the time left of drills that were requested here and have just started to proxies and registries.
    pub(super) fn announce_started_drills(&mut self, out: &mut Vec<Output>) {
        let started = self.copy.state.drills.running().filter(|h| self.leases.ends(h.epoch).is_none());
        let ends_at =
            |drill: &Drill| self.requested_drills.iter().find(|(d, _)| d == drill).map(|(_, ends)| *ends);
        let started: Vec<(Rev, Micros)> =
            started.filter_map(|h| Some((h.epoch, ends_at(&h.drill)?))).collect();
        if started.is_empty() {
            return;
        }
        started.into_iter().for_each(|(epoch, ends)| self.leases.learn(epoch, ends));
        self.send_gossip(Vec::new(), Vec::new(), Vec::new(), Vec::new(), Vec::new(), out);
        self.send_drill_leases(out);
    }

    pub(super) fn send_drill_leases(&self, out: &mut Vec<Output>) {
        let leases = self.leases.to_gossip(self.now, &self.copy.state.drills);
        if !leases.is_empty() {
            let age = Age::first(self.now);
            out.extend(self.followers.links().map(|l| Output::Proxy(l, Down::Leases(leases.clone(), age))));
        }
    }

    /// Requests for a grant and alarms go to the log at once; reports of met faults wait for the next round.
    pub(super) fn take_drill_reports(&mut self, rows: Vec<Rows>, out: &mut Vec<Output>) {
        let state = &self.copy.state.drills;
        let is_known = |r: &Rows| {
            let of = state.0.values().find(|h| h.epoch == r.epoch);
            of.is_none_or(|h| {
                h.tellers.get(&(r.ip, r.life)).is_some_and(|t| t.up_to + 1 >= r.first + r.said.len() as u64)
            })
        };
        let new: Vec<Rows> = rows.into_iter().filter(|r| !is_known(r)).collect();
        let urgent = new.iter().flat_map(|r| &r.said).any(|s| !matches!(s, Said::Met { .. }));
        for rows in new {
            self.drill_reports.retain(|r| (r.epoch, r.ip, r.life) != (rows.epoch, rows.ip, rows.life));
            self.drill_reports.push(rows);
        }
        if urgent {
            self.propose_drill_reports(out);
        }
    }

    pub(super) fn propose_drill_reports(&mut self, out: &mut Vec<Output>) {
        if !self.drill_reports.is_empty() && self.store_up {
            let command = Command::Drill(DrillChange::Rows(std::mem::take(&mut self.drill_reports)));
            let ticket = self.next_ticket();
            out.push(Output::Store(ToStore::Propose { ticket, command }));
        }
    }

    /// Ends drills whose time is up. Only the registry on the leader's machine proposes this.
    pub(super) fn end_expired_drills(&mut self, out: &mut Vec<Output>) {
        if self.copy.state.drills.0.is_empty() {
            return;
        }
        let expired = self.leases.expired(self.now, self.parameters.heartbeat_us, &self.copy.state.drills);
        if !(self.leads && self.is_fresh()) {
            return;
        }
        for stop in expired {
            self.propose_as_leader(Command::Drill(stop), out);
        }
    }
}
