//! Calls on bookings, and the duty of turning and dividing them.

use super::{Board, CALL_US, Output};
use crate::bookings::{Ground, full, rounded, show, unbooked};
use crate::calls::{Answer, Request};
use cluster::booking::{BookChange, Booking, DayMs, Phase, Unbooked, Unused};
use cluster::state::Command;
use jzon::JsonValue;
use settings::api::dry_run;
use settings::booking::{Asked, Meant};
use settings::config::if_match;
use settings::facts::Trouble;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

const LONGEST_NAME: usize = 64;

/// A change on its way: its ticket, when it was sent, and where it has landed.
#[derive(Default)]
pub(super) struct UnderWay {
    sent: Option<(u64, u64)>,
    landed: u64,
}

impl UnderWay {
    /// Whether this was the ticket.
    pub(super) fn ended(&mut self, ticket: u64, landed: Option<u64>) -> bool {
        let ours = self.sent.is_some_and(|(t, _)| t == ticket);
        if ours {
            self.sent = None;
            self.landed = landed.unwrap_or(self.landed);
        }
        ours
    }
}

impl Board {
    /// The time of day by this machine's clock; said before anything else is told.
    pub fn tell_day(&mut self, now: u64, day_ms: DayMs) {
        self.clocks.set(now, day_ms);
    }

    /// What the other registries are told of it.
    pub(super) fn day_to_tell(&self) -> Option<DayMs> {
        let live = self.copy.state.bookings.values().any(|b| b.phase != Phase::Ended);
        live.then(|| self.clocks.mine(self.now)).flatten()
    }

    pub(super) fn put_booking(
        &mut self,
        id: u64,
        name: &str,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Option<Answer> {
        let dry = match dry_run(&request.target) {
            Ok(dry) => dry,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        let base = match request.if_match.as_deref().map(if_match) {
            None => 0,
            Some(Some(epoch)) => u64::from(epoch),
            Some(None) => return Some(Answer::error(400, "If-Match: the epoch that this builds on")),
        };
        let (booking, meant) = match self.asked(name, &request.body) {
            Ok(found) => found,
            Err(answer) => return Some(answer),
        };
        let Some((day_ms, _)) = self.clocks.read(self.now) else {
            return Some(Answer::unavailable("no time of day is known here"));
        };
        // What was taken already needs no room, whatever has become of it since.
        let known = self.copy.state.bookings.get(name);
        let again = known.is_some_and(|k| k.booking == booking && !k.cancelled);
        if !again && booking.closes_ms <= day_ms {
            return Some(Answer::error(422, &format!("closes_ms: this window is over, it is {day_ms}")));
        }
        let ground = Ground {
            now: self.now,
            day_ms,
            state: &self.copy.state,
            zones: &self.terms.zones,
            zones_lost: self.terms.zones_lost,
        };
        let room = ground.room(&booking, meant.homes.as_ref());
        if let Some(quota) = meant.quota_flight.filter(|_| !again) {
            let free = ground.quota_free(&booking, quota);
            if booking.flight > free {
                return Some(full(
                    "more than the tenants' quotas bring, which a booking does not lift",
                    free,
                ));
            }
        }
        let considered = self.copy.state.bookings.consider(&booking, base, room);
        match considered {
            // Another epoch may be on its way here: the log will say.
            Err(Unbooked::Outdated { .. }) if !dry => {}
            Err(why) => return Some(unbooked(&why)),
            Ok(()) => {}
        }
        if dry {
            let booked = self.copy.state.bookings.booked(&booking.service, &booking);
            return Some(Answer::json(
                200,
                jzon::object! {
                    dry_run: true,
                    flight_count: booking.flight,
                    rate_per_s: rounded(booking.rate_s()),
                    room_count: room,
                    booked_count: booked,
                    free_count: room.saturating_sub(booked),
                }
                .dump(),
            ));
        }
        self.order(id, Command::Book(BookChange::Put { booking, base, room }), out)
    }

    fn asked(&self, name: &str, body: &[u8]) -> Result<(Booking, Meant), Answer> {
        let refused = |why: Trouble| {
            let status = if matches!(why, Trouble::NotJson(_)) { 400 } else { 422 };
            Answer::error(status, &why.to_string())
        };
        if name.len() > LONGEST_NAME {
            return Err(Answer::error(422, &format!("booking_name: longer than {LONGEST_NAME} bytes")));
        }
        let asked = Asked::read(body).map_err(refused)?;
        let Some(config) = &self.copy.state.config else {
            return Err(Answer::error(422, "service_ref: there is no configuration yet"));
        };
        let meant = asked.under(config).map_err(refused)?;
        let booking = Booking {
            name: name.to_string(),
            tenants: asked.tenants,
            routes: asked.routes,
            service: asked.service,
            flight: meant.flight,
            residence_ms: meant.residence_ms,
            opens_ms: asked.opens_ms,
            closes_ms: asked.closes_ms,
            ramp_ms: asked.ramp_ms,
            unused: if asked.lend { Unused::Lend } else { Unused::Hold },
        };
        Ok((booking, meant))
    }

    pub(super) fn cancel_booking(
        &mut self,
        id: u64,
        name: &str,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Option<Answer> {
        match dry_run(&request.target) {
            Err(why) => Some(Answer::error(400, &why.to_string())),
            Ok(true) => Some(self.read_booking(name)),
            Ok(false) => self.order(id, Command::Book(BookChange::Cancel { name: name.to_string() }), out),
        }
    }

    pub(super) fn list_bookings(&mut self) -> Answer {
        let day_ms = self.clocks.read(self.now).map(|(day_ms, _)| day_ms);
        let list: Vec<JsonValue> = self.copy.state.bookings.values().map(show).collect();
        self.view().answer(jzon::object! { day_ms: day_ms, booking_list: list })
    }

    pub(super) fn read_booking(&self, name: &str) -> Answer {
        let Some(b) = self.copy.state.bookings.get(name) else {
            return unbooked(&Unbooked::Outdated { epoch: 0 });
        };
        let view = self.view();
        let holders = self.copy.state.nodes.values().map(|n| {
            let used = self.meter.use_of(self.now, b.booking.key(), n.ip);
            let per_s = |n: u32| f64::from(n) / 1000.0;
            let (revision, heard) = view.seen(n.ip);
            jzon::object! {
                node_name: n.name.as_str(),
                ip_address: n.ip.to_string(),
                flight_count: b.division.part(n.ip),
                wanted_per_s: used.map_or(0.0, |u| per_s(u.wanted)),
                used_per_s: used.map_or(0.0, |u| per_s(u.used)),
                revision: revision,
                heard_ms_ago: heard,
            }
        });
        let mut body = show(b);
        body["holder_list"] = holders.collect::<Vec<_>>().into();
        view.answer(body)
    }

    /// What is due of the bookings. Only beside a leader that has led for long enough to have heard who is there, and by
    /// a time of day that a majority of the core has told.
    pub(super) fn tend_bookings(&mut self, out: &mut Vec<Output>) {
        if self.copy.state.bookings.is_empty() {
            return;
        }
        self.duty.look(self.now, &self.copy.state.bookings);
        let Some((day_ms, of)) = self.clocks.read(self.now) else { return };
        if self.under_way_booked.sent.is_some_and(|(_, at)| self.now > at + 2 * CALL_US) {
            self.under_way_booked.sent = None;
        }
        let since = self.fresh_since.max(self.leads_since);
        let settled = self.now > since + self.terms.beat_us && 2 * of > self.core.len();
        let busy = self.under_way_booked.sent.is_some() || self.copy.rev() < self.under_way_booked.landed;
        if !(self.leads && self.is_fresh() && settled) || busy {
            return;
        }
        let state = &self.copy.state;
        let alive = state.nodes.keys().filter(|ip| self.presence.alive(self.now, state, **ip));
        let alive: BTreeSet<Ipv4Addr> = alive.copied().collect();
        let wanted = |key, ip| self.meter.use_of(self.now, key, ip).map_or(0, |u| u.wanted);
        let Some(change) = self.duty.due(self.now, day_ms, &state.bookings, &alive, wanted) else { return };
        let ticket = self.on_duty(Command::Book(change), out);
        self.under_way_booked.sent = Some((ticket, self.now));
    }

    pub(super) fn forget_booked(&mut self) {
        self.under_way_booked.sent = None;
    }
}
