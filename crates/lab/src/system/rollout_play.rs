//! Plays rollouts: servers of the new version start beside the old ones as the order is sent, its state is asked for all the
//! while, and what it says is done to the servers.

use super::log::{Log, lock};
use super::observed::{OrderedRollout, RolloutState};
use super::operator::Operator;
use super::rollouts::PlannedRollout;
use super::servers::Servers;
use super::{MS, SECOND, all};
use simulator::Micros;
use simulator::record::Fate;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::task::JoinSet;

/// Between two readings of a rollout's state.
const READ_EVERY: Duration = Duration::from_millis(250);
const LOOK: Duration = Duration::from_millis(100);
/// The servers of a version that was reverted leave so long afterwards.
const LEAVES_AFTER: Duration = Duration::from_secs(3);
/// Before the end of the day nothing is ordered any more.
const LAST_ORDER: Micros = 6 * SECOND;
/// After its term an order that nobody acknowledged is given up.
const GIVEN_UP: Micros = SECOND;

/// What registries last told of a service's rollout.
type Told = Mutex<Option<(String, RolloutState)>>;

pub struct RolloutPlayer {
    pub log: Arc<Log>,
    pub servers: Arc<Servers>,
    pub operator: Arc<Operator>,
    pub ends: Micros,
}

impl RolloutPlayer {
    /// Plays the rollouts of one service in turn: each is ordered at its time, and not before the one ahead of it is over.
    pub async fn play(self: Arc<Self>, rollouts: Vec<PlannedRollout>) {
        let Some(first) = rollouts.first() else { return };
        self.log.until(first.at).await;
        let told = Arc::new(Told::default());
        let mut reading = JoinSet::new();
        reading.spawn(self.clone().read(first.service.clone(), told.clone()));
        for rollout in &rollouts {
            self.log.until(rollout.at).await;
            if self.log.now() + LAST_ORDER > self.ends {
                self.log.note(format!("no time is left for a rollout of {}", rollout.service));
                break;
            }
            self.roll_out(rollout, &told).await;
        }
        // Its state is asked for to the end of the day.
        while reading.join_next().await.is_some() {}
    }

    async fn roll_out(self: &Arc<Self>, rollout: &PlannedRollout, told: &Told) {
        let (service, version) = (&rollout.service, &rollout.version);
        let sent = self.log.now();
        let place = {
            let mut book = self.log.book();
            book.observed.rollouts.push(OrderedRollout {
                sent,
                service: service.clone(),
                version: version.clone(),
                quality: rollout.quality,
                term: rollout.term,
                fate: Fate::Open,
            });
            book.observed.rollouts.len() - 1
        };
        self.log.note(format!("rollout of {service} to {version} ({}) ordered", rollout.quality.name()));
        let (starting, order) =
            (self.servers.start_version(service, version), self.operator.start_rollout(rollout));
        let (_, fate) = tokio::join!(starting, order);
        self.log.book().observed.rollouts[place].fate = fate;
        let end = self.end_of(rollout, sent, fate, told).await;
        let end_name = end.map_or("given up".to_string(), |end| format!("{end:?}"));
        self.log.note(format!("rollout of {service} to {version}: {end_name}"));
        match end {
            Some(RolloutState::Completed) => self.servers.retire_others(service, version),
            Some(RolloutState::Reverted) | None => {
                tokio::time::sleep(LEAVES_AFTER).await;
                let leaving = self.servers.retire_version(service, version);
                all(leaving.into_iter().map(|place| self.servers.drain(place))).await;
            }
            Some(RolloutState::InProgress) => {}
        }
    }

    /// How it ended; none: it never began. Still in progress where the day ends before it.
    async fn end_of(
        &self,
        rollout: &PlannedRollout,
        sent: Micros,
        fate: Fate,
        told: &Told,
    ) -> Option<RolloutState> {
        let given_up = sent + rollout.term + GIVEN_UP;
        while self.log.now() < self.ends {
            let told = lock(told).clone().filter(|(version, _)| *version == rollout.version);
            match told {
                Some((_, RolloutState::InProgress)) => {}
                Some((_, state)) => return Some(state),
                None if matches!(fate, Fate::Acknowledged(_)) => {}
                None if self.log.now() > given_up => return None,
                None => {}
            }
            tokio::time::sleep(LOOK).await;
        }
        Some(RolloutState::InProgress)
    }

    /// Asks for a service's rollout again and again, until the day ends.
    async fn read(self: Arc<Self>, service: String, told: Arc<Told>) {
        while self.log.now() + MS < self.ends {
            if let Some(view) = self.operator.read_rollout(&service).await {
                *lock(&told) = view.told.clone();
                self.log.book().observed.rollout_views.push(view);
            }
            tokio::time::sleep(READ_EVERY).await;
        }
    }
}
