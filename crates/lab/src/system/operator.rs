//! The operator: configurations and evacuations, in turn or at once with another's; unclear calls are repeated
//! unchanged; what is in force is read back at the end.

use super::call::Call;
use super::log::{Log, Sent, lock};
use super::machines::Machines;
use super::observed::{RolloutState, RolloutView};
use super::play::Armed;
use super::rollouts::PlannedRollout;
use super::{MS, SECOND};
use rand::{Rng, SeedableRng, rngs::StdRng};
use simulator::Micros;
use simulator::plan::{Plan, Wish};
use simulator::record::{Bounds, Evacuation, Fate, Repeat};
use simulator::scenario::Scenario;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// So often a change is sent once more.
const REPEATED: f64 = 0.3;

pub struct Operator {
    pub plan: Arc<Mutex<Plan>>,
    log: Arc<Log>,
    machines: Arc<Machines>,
    armed: Arc<Armed>,
    bounds: Bounds,
    ends: Micros,
    /// Changes that were acknowledged are sent once more now and then.
    repeats: bool,
    /// One order at a time, but for rivals'.
    turn: tokio::sync::Mutex<()>,
    rng: Mutex<StdRng>,
}

impl Operator {
    pub fn new(
        plan: Plan,
        log: Arc<Log>,
        machines: Arc<Machines>,
        armed: Arc<Armed>,
        s: &Scenario,
        seed: u64,
    ) -> Operator {
        let (plan, turn) = (Arc::new(Mutex::new(plan)), tokio::sync::Mutex::new(()));
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        let (bounds, ends, repeats) = (s.bounds.clone(), s.ends, s.probes);
        Operator { plan, log, machines, armed, bounds, ends, repeats, turn, rng }
    }

    /// Sends what is wished until there is an answer that ends it: whether it was acknowledged.
    pub async fn wish(&self, wish: Wish, rival: bool) -> bool {
        let _turn = if rival { None } else { Some(self.turn.lock().await) };
        if let Wish::Evacuate { zone, on } = wish {
            return self.evacuate(zone, on).await;
        }
        let now = lock(&self.plan).clone();
        let base = now.version;
        let version = base + 1 + u32::from(rival) + lock(&self.rng).gen_range(0..3) * 2;
        let wished = now.wished(&wish, version);
        let text = wished.config(&now).text().to_string();
        let (method, if_match, body) = wished.call(base);
        let (at, invalid) = (self.log.now(), wished.invalid);
        let change = {
            let mut book = self.log.book();
            book.changes.push(Sent { at, version, base, text, invalid, fate: Fate::Open });
            book.changes.len() - 1
        };
        let target = "/api/configuration".to_string();
        let call = Call { method, target, if_match: Some(&if_match), body: &body };
        let fate = self.order(&call, self.ends, false).await;
        self.log.book().changes[change].fate = fate;
        self.log.note(format!("version {version} on {base}: {}", said(fate)));
        let taken = matches!(fate, Fate::Acknowledged(_));
        if taken && !invalid {
            *lock(&self.plan) = wished.plan;
        }
        if taken {
            self.armed.fire("order");
        }
        if taken && self.repeats && lock(&self.rng).gen_bool(REPEATED) {
            self.repeat(change, &call).await;
        }
        taken
    }

    /// Sends what was acknowledged once more, as one whose answer was lost would.
    async fn repeat(&self, change: usize, call: &Call<'_>) {
        let sent = self.log.now();
        let core = lock(&self.rng).gen_range(0..self.machines.cores());
        if let Some(answer) = call.on(self.machines.control(core), || {}).await {
            self.log.book().repeats.push(Repeat { change, sent, status: answer.status });
        }
    }

    async fn evacuate(&self, zone: String, on: bool) -> bool {
        let sent = self.log.now();
        let place = {
            let mut book = self.log.book();
            book.evacuations.push(Evacuation { sent, zone: zone.clone(), on, fate: Fate::Open });
            book.evacuations.len() - 1
        };
        let call = Call::plain(if on { "POST" } else { "DELETE" }, format!("/api/evacuation/{zone}"));
        let fate = self.order(&call, sent + self.bounds.ack_limit, false).await;
        self.log.book().evacuations[place].fate = fate;
        let what = if on { "evacuation" } else { "return" };
        self.log.note(format!("{what} of {zone}: {}", said(fate)));
        let taken = matches!(fate, Fate::Acknowledged(_));
        if taken {
            self.armed.fire("order");
        }
        taken
    }

    /// Orders a rollout. Other orders do not wait for it.
    pub async fn start_rollout(&self, rollout: &PlannedRollout) -> Fate {
        let body = jzon::object! {
            service_ref: rollout.service.as_str(),
            target_version: rollout.version.as_str(),
            rollout_term_s: rollout.term as f64 / SECOND as f64,
        }
        .dump();
        let target = "/api/rollouts".to_string();
        let call = Call { method: "POST", target, if_match: None, body: &body };
        let fate = self.order(&call, self.log.now() + self.bounds.ack_limit, true).await;
        self.log.note(format!("rollout of {} to {}: {}", rollout.service, rollout.version, said(fate)));
        if matches!(fate, Fate::Acknowledged(_)) {
            self.armed.fire("order");
        }
        fate
    }

    /// Asks one registry for a service's rollout. None: no clear answer.
    pub async fn read_rollout(&self, service: &str) -> Option<RolloutView> {
        let from = self.log.now();
        let core = lock(&self.rng).gen_range(0..self.machines.cores());
        let call = Call::plain("GET", format!("/api/rollouts/{service}"));
        let answer = call.on(self.machines.control(core), || {}).await?;
        let (told, reason) = match answer.status {
            404 => (None, String::new()),
            200 => {
                let body = jzon::parse(std::str::from_utf8(&answer.body).ok()?).ok()?;
                let state = RolloutState::read(body["server_state"].as_str()?)?;
                let version = body["target_version"].as_str()?.to_string();
                (Some((version, state)), body["reason"].as_str().unwrap_or_default().to_string())
            }
            _ => return None,
        };
        Some(RolloutView { from, until: self.log.now(), service: service.to_string(), told, reason })
    }

    /// Repeats an order until it is acknowledged. Where `may_be_under_way`, a 409 to a repeat acknowledges it, too.
    async fn order(&self, call: &Call<'_>, until: Micros, may_be_under_way: bool) -> Fate {
        let mut tries = 0;
        while self.log.now() <= until.min(self.ends) {
            let core = lock(&self.rng).gen_range(0..self.machines.cores());
            tries += 1;
            let answer = call.on(self.machines.control(core), || self.armed.fire("sent")).await;
            let now = self.log.now();
            match answer.map_or(0, |a| a.status) {
                200..300 => return Fate::Acknowledged(now),
                409 if may_be_under_way && tries > 1 => return Fate::Acknowledged(now),
                400 | 409 | 412 | 413 | 422 => return Fate::Refused(now),
                _ => tokio::time::sleep(Duration::from_micros((50 * MS) << tries.min(4))).await,
            }
        }
        let now = self.log.now();
        if now > until { Fate::GivenUp(now) } else { Fate::Open }
    }

    /// Asks again and again what is in force, until the day ends.
    pub async fn read_back(&self) {
        while self.log.now() < self.ends {
            let core = lock(&self.rng).gen_range(0..self.machines.cores());
            let read = Call::plain("GET", "/api/configuration").on(self.machines.control(core), || {}).await;
            let now = self.log.now();
            match read {
                Some(a) if a.status == 200 => {
                    let text = String::from_utf8_lossy(&a.body).into_owned();
                    self.log.book().read_back.push((now, Some(text)));
                }
                Some(a) if a.status == 404 => self.log.book().read_back.push((now, None)),
                _ => {}
            }
            tokio::time::sleep(Duration::from_micros(SECOND / 2)).await;
        }
    }
}

fn said(fate: Fate) -> &'static str {
    match fate {
        Fate::Acknowledged(_) => "acknowledged",
        Fate::Refused(_) => "refused",
        Fate::Open | Fate::GivenUp(_) => "no clear answer",
    }
}
