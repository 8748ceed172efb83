//! Calls about bookings, and the leader's task of changing their phases and dividing them among proxies.

use super::{CALL_TIMEOUT_US, ControlPlane, Output};
use crate::bookings::{Capacity, booking_view, no_room_answer, refusal_answer, round_to_thousandths};
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

const MAX_NAME_BYTES: usize = 64;

/// The change of a booking that is in flight (its ticket and when it was sent), and the revision at which the last
/// one committed.
#[derive(Default)]
pub(super) struct InFlight {
    sent: Option<(u64, u64)>,
    committed_rev: u64,
}

impl InFlight {
    /// Takes the result of a command. Returns whether the ticket was the one in flight.
    pub(super) fn take_result(&mut self, ticket: u64, committed: Option<u64>) -> bool {
        let is_own = self.sent.is_some_and(|(t, _)| t == ticket);
        if is_own {
            self.sent = None;
            self.committed_rev = committed.unwrap_or(self.committed_rev);
        }
        is_own
    }
}

impl ControlPlane {
    /// Sets the time of day of this machine's clock. To be called before other inputs are handled.
    pub fn set_time_of_day(&mut self, now: u64, day_ms: DayMs) {
        self.clocks.set_own(now, day_ms);
    }

    /// The time of day to gossip; none if no booking needs it.
    pub(super) fn time_of_day_to_gossip(&self) -> Option<DayMs> {
        let needed = self.copy.state.bookings.values().any(|b| b.phase != Phase::Ended);
        needed.then(|| self.clocks.own(self.now)).flatten()
    }

    pub(super) fn put_booking(
        &mut self,
        id: u64,
        name: &str,
        request: &Request,
        out: &mut Vec<Output>,
    ) -> Option<Answer> {
        let dry_run_only = match dry_run(&request.target) {
            Ok(dry_run_only) => dry_run_only,
            Err(why) => return Some(Answer::error(400, &why.to_string())),
        };
        let base = match request.if_match.as_deref().map(if_match) {
            None => 0,
            Some(Some(epoch)) => u64::from(epoch),
            Some(None) => return Some(Answer::error(400, "If-Match: the epoch that this builds on")),
        };
        let (booking, resolved) = match self.read_booking_request(name, &request.body) {
            Ok(found) => found,
            Err(answer) => return Some(answer),
        };
        let Some((day_ms, _)) = self.clocks.median(self.now) else {
            return Some(Answer::unavailable("no time of day is known here"));
        };
        // An identical booking that was accepted before needs no room, whatever has changed since.
        let known = self.copy.state.bookings.get(name);
        let unchanged = known.is_some_and(|k| k.booking == booking && !k.cancelled);
        if !unchanged && booking.closes_ms <= day_ms {
            return Some(Answer::error(422, &format!("closes_ms: this window is over, it is {day_ms}")));
        }
        let capacity = Capacity {
            now: self.now,
            day_ms,
            state: &self.copy.state,
            zones: &self.parameters.zones,
            tolerated_zone_losses: self.parameters.tolerated_zone_losses,
        };
        let room = capacity.room(&booking, resolved.homes.as_ref());
        if let Some(quota) = resolved.quota_flight.filter(|_| !unchanged) {
            let free = capacity.quota_free(&booking, quota);
            if booking.flight > free {
                return Some(no_room_answer(
                    "more than the tenants' quotas bring, which a booking does not lift",
                    free,
                ));
            }
        }
        let considered = self.copy.state.bookings.consider(&booking, base, room);
        match considered {
            // This copy may be behind; the log decides on the epoch.
            Err(Unbooked::Outdated { .. }) if !dry_run_only => {}
            Err(why) => return Some(refusal_answer(&why)),
            Ok(()) => {}
        }
        if dry_run_only {
            let booked = self.copy.state.bookings.booked(&booking.service, &booking);
            return Some(Answer::json(
                200,
                jzon::object! {
                    dry_run: true,
                    flight_count: booking.flight,
                    rate_per_s: round_to_thousandths(booking.rate_s()),
                    room_count: room,
                    booked_count: booked,
                    free_count: room.saturating_sub(booked),
                }
                .dump(),
            ));
        }
        self.propose_fenced(id, Command::Book(BookChange::Put { booking, base, room }), out)
    }

    fn read_booking_request(&self, name: &str, body: &[u8]) -> Result<(Booking, Meant), Answer> {
        let refused = |why: Trouble| {
            let status = if matches!(why, Trouble::NotJson(_)) { 400 } else { 422 };
            Answer::error(status, &why.to_string())
        };
        if name.len() > MAX_NAME_BYTES {
            return Err(Answer::error(422, &format!("booking_name: longer than {MAX_NAME_BYTES} bytes")));
        }
        let asked = Asked::read(body).map_err(refused)?;
        let Some(config) = &self.copy.state.config else {
            return Err(Answer::error(422, "service_ref: there is no configuration yet"));
        };
        let resolved = asked.under(config).map_err(refused)?;
        let booking = Booking {
            name: name.to_string(),
            tenants: asked.tenants,
            routes: asked.routes,
            service: asked.service,
            flight: resolved.flight,
            residence_ms: resolved.residence_ms,
            opens_ms: asked.opens_ms,
            closes_ms: asked.closes_ms,
            ramp_ms: asked.ramp_ms,
            unused: if asked.lend { Unused::Lend } else { Unused::Hold },
        };
        Ok((booking, resolved))
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
            Ok(false) => {
                self.propose_fenced(id, Command::Book(BookChange::Cancel { name: name.to_string() }), out)
            }
        }
    }

    pub(super) fn list_bookings(&mut self) -> Answer {
        let day_ms = self.clocks.median(self.now).map(|(day_ms, _)| day_ms);
        let list: Vec<JsonValue> = self.copy.state.bookings.values().map(booking_view).collect();
        self.view().answer(jzon::object! { day_ms: day_ms, booking_list: list })
    }

    pub(super) fn read_booking(&self, name: &str) -> Answer {
        let Some(b) = self.copy.state.bookings.get(name) else {
            return refusal_answer(&Unbooked::Outdated { epoch: 0 });
        };
        let view = self.view();
        let holders = self.copy.state.nodes.values().map(|n| {
            let used = self.meter.usage_of(self.now, b.booking.key(), n.ip);
            let per_s = |n: u32| f64::from(n) / 1000.0;
            let (revision, heard) = view.proxy_progress(n.ip);
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
        let mut body = booking_view(b);
        body["holder_list"] = holders.collect::<Vec<_>>().into();
        view.answer(body)
    }

    /// Proposes the next change of bookings that is due. Only done on the machine of a leader that has led long
    /// enough to have heard which proxies are alive, and by a time of day that a majority of the core has reported.
    pub(super) fn advance_bookings(&mut self, out: &mut Vec<Output>) {
        if self.copy.state.bookings.is_empty() {
            return;
        }
        self.booking_scheduler.observe(self.now, &self.copy.state.bookings);
        let Some((day_ms, clock_count)) = self.clocks.median(self.now) else { return };
        if self.booking_in_flight.sent.is_some_and(|(_, at)| self.now > at + 2 * CALL_TIMEOUT_US) {
            self.booking_in_flight.sent = None;
        }
        let since = self.fresh_since.max(self.leads_since);
        let well_informed =
            self.now > since + self.parameters.heartbeat_us && 2 * clock_count > self.core.len();
        let busy =
            self.booking_in_flight.sent.is_some() || self.copy.rev() < self.booking_in_flight.committed_rev;
        if !(self.leads && self.is_fresh() && well_informed) || busy {
            return;
        }
        let state = &self.copy.state;
        let alive = state.nodes.keys().filter(|ip| self.presence.is_alive(self.now, state, **ip));
        let alive: BTreeSet<Ipv4Addr> = alive.copied().collect();
        let wanted = |key, ip| self.meter.usage_of(self.now, key, ip).map_or(0, |u| u.wanted);
        let Some(change) = self.booking_scheduler.due(self.now, day_ms, &state.bookings, &alive, wanted)
        else {
            return;
        };
        let ticket = self.propose_as_leader(Command::Book(change), out);
        self.booking_in_flight.sent = Some((ticket, self.now));
    }

    pub(super) fn forget_booking_in_flight(&mut self) {
        self.booking_in_flight.sent = None;
    }
}
