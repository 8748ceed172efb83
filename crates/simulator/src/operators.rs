//! Operators beside the one whose wishes the scenario tells: some read the configuration all day, through all machines;
//! in a storm several change it at once, each on what it has read. Their chance is their own, so that what they draw
//! changes nothing elsewhere.

use crate::net::Owner;
use crate::outside::{CallFor, Order};
use crate::record::{self, Fate, Kind, Look, Repeat};
use crate::world::{Ev, World};
use crate::{MS, Micros, SECOND};
use registry::calls;
use settings::Config;
use settings::config::show_version;
use std::rc::Rc;

/// One of those who change the configuration in a storm.
pub struct Writer {
    gap: Micros,
    until: Micros,
}

#[derive(Default)]
pub struct Operators {
    pub writers: Vec<Writer>,
    /// How often answers to operators are lost, and until when.
    pub loses: (f64, Micros),
    /// How often a change has a copy, how late that may be, and until when.
    pub copies: (f64, Micros, Micros),
    /// Changes made, so that no two are alike.
    count: u32,
}

/// Pause between two readings of one operator, at least and at most.
const LOOK: (Micros, Micros) = (300 * MS, 1_200 * MS);

fn read_call() -> Rc<calls::Request> {
    let target = "/api/configuration".into();
    Rc::new(calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() })
}

impl World {
    fn any_core(&mut self) -> usize {
        self.others.usize(0..self.record.cores)
    }

    pub fn look(&mut self, reader: usize) {
        let (core, from) = (self.any_core(), self.now);
        self.call(Owner::Operator, core, read_call(), CallFor::Look { from, writer: None });
        let pause = self.others.u64(LOOK.0..LOOK.1);
        self.at(from + pause, Ev::Look(reader));
    }

    /// What a reading shows.
    pub fn looked(&mut self, from: Micros, writer: Option<usize>, answer: Option<&calls::Answer>) {
        let until = self.now;
        let config = match answer {
            Some(a) if a.status == 200 => Config::read(a.body.as_bytes()).ok().map(Rc::new),
            Some(a) if a.status == 404 => None,
            _ => return self.writer_pauses(writer),
        };
        self.record.looks.push(Look { from, until, config: config.clone() });
        match (writer, config) {
            (Some(writer), Some(config)) => self.write(writer, &config),
            _ => self.writer_pauses(writer),
        }
    }

    fn writer_pauses(&mut self, writer: Option<usize>) {
        if let Some(writer) = writer {
            let gap = self.operators.writers[writer].gap;
            self.at(self.now + gap, Ev::Write(writer));
        }
    }

    pub fn storm(&mut self, operators: usize, gap: Micros, last: Micros) {
        for _ in 0..operators {
            self.operators.writers.push(Writer { gap, until: self.now + last });
            let first = self.others.u64(0..=gap);
            self.at(self.now + first, Ev::Write(self.operators.writers.len() - 1));
        }
    }

    /// Reads what is current, to build on it.
    pub fn write_begins(&mut self, writer: usize) {
        if self.now < self.operators.writers[writer].until {
            let (core, from) = (self.any_core(), self.now);
            self.call(Owner::Operator, core, read_call(), CallFor::Look { from, writer: Some(writer) });
        }
    }

    /// A change that routes nothing anew: the cold time of a service that is this operator's.
    fn write(&mut self, writer: usize, on: &Config) {
        self.operators.count += 1;
        // At times on a version that was current once.
        let old = self.record.changes.get(self.others.usize(0..self.record.changes.len().max(1)));
        let old = old.filter(|_| self.operators.count.is_multiple_of(8)).map(|c| c.base);
        let base = old.filter(|old| *old > 0).unwrap_or(on.version);
        // Numbers that others pick as well.
        let version = base + 1 + self.others.u32(0..2);
        let row = jzon::array![format!("operator{writer}"), self.operators.count];
        let columns = vec!["entity_name", "cold_period_s"];
        let patch = jzon::object! {
            config_version: show_version(version),
            upsert_items: jzon::object! {
                service_list: jzon::object! { column_set: columns, row_set: jzon::array![row] }
            },
        };
        let patch = patch.dump();
        let made = on.patch(patch.as_bytes()).expect("a proper patch");
        let (method, body) = if self.others.bool() { ("PUT", made.write()) } else { ("PATCH", patch) };
        let (if_match, target) = (Some(show_version(base)), "/api/configuration".into());
        let request = calls::Request { method: method.into(), target, if_match, body: body.into_bytes() };
        let (sent, config) = (self.now, Rc::new(made));
        let change = record::Change { sent, version, base, config, invalid: false, fate: Fate::Open };
        self.record.changes.push(change);
        self.order(Order::written(request, self.record.changes.len() - 1, writer));
    }

    /// A writer's change has its answer.
    pub fn written_by(&mut self, writer: usize) {
        // Some calls of long ago come again.
        if self.others.u32(0..4) == 0 {
            let acknowledged = |c: &record::Change| matches!(c.fate, Fate::Acknowledged(_));
            let all = self.record.changes.iter().enumerate().filter(|(_, c)| acknowledged(c));
            let all: Vec<usize> = all.map(|(n, _)| n).collect();
            if !all.is_empty() {
                let change = all[self.others.usize(0..all.len())];
                self.copy(change);
            }
        }
        self.writer_pauses(Some(writer));
    }

    pub fn read_status(&mut self, core: usize) {
        let (from, target) = (self.now, "/api/status".into());
        let request = calls::Request { method: "GET".into(), target, if_match: None, body: Vec::new() };
        self.call(Owner::Operator, core, Rc::new(request), CallFor::Status { from });
    }

    /// Only a registry that says that it is fresh is believed.
    pub fn status_read(&mut self, from: Micros, answer: Option<&calls::Answer>) {
        let read = answer.filter(|a| a.status == 200).and_then(|a| jzon::parse(&a.body).ok());
        if let Some(read) = read.filter(|r| r["fresh"] == true) {
            let zones = read["evacuated_zones"].members().filter_map(|z| Some(z.as_str()?.to_string()));
            self.record.zones.push(record::Zones { from, evacuated: zones.collect() });
        }
    }

    /// Whether this answer to an operator is lost.
    pub fn ack_is_lost(&mut self, order: usize, status: u16) -> bool {
        let (part, until) = self.operators.loses;
        let lost = self.now < until && self.others.f64() < part;
        let (order, now) = (&self.orders[order], self.now);
        let of = order.change.map(|c| (Kind::Change, c));
        let of = of.or(order.evacuation.map(|e| (Kind::Evacuation, e)));
        let of = of.or(order.rollout.map(|r| (Kind::Rollout, r)));
        if let Some(of) = of.filter(|_| lost && status < 500) {
            self.record.lost_answers.entry(of).or_insert(now);
        }
        lost
    }

    /// A change is sent; its copy may be on its way as well.
    pub fn copy_later(&mut self, change: usize) {
        let (part, late, until) = self.operators.copies;
        if self.now < until && self.others.f64() < part {
            let after = self.others.u64(0..=late.min(10 * SECOND));
            self.at(self.now + after, Ev::Copy(change));
        }
    }

    pub fn copy(&mut self, change: usize) {
        let Some(order) = self.orders.iter().find(|o| o.change == Some(change)) else { return };
        let (request, core, sent) = (order.request.clone(), self.any_core(), self.now);
        self.call(Owner::Operator, core, request, CallFor::Copy { change, sent });
    }

    pub fn copied(&mut self, change: usize, sent: Micros, answer: Option<&calls::Answer>) {
        if let Some(status) = answer.map(|a| a.status) {
            self.record.repeats.push(Repeat { change, sent, status });
        }
    }
}
