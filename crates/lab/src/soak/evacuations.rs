//! Days about evacuations: a zone is emptied, taken back and emptied again while core machines stand still, so that orders
//! are given up or read long after their caller has gone on, and then nothing happens for long enough that every proxy is
//! judged again.

use super::schedule::{Draft, FIRST, LAST};
use super::shape::Shape;
use rand::Rng;
use rand::seq::SliceRandom;

pub(super) const NAME: &str = "evacuations";
/// Seconds of one evacuation with its troubles and the calm after them.
const ROUND: f64 = 25.0;
/// When in a round the core machines stand still, after the first evacuation.
const STALL_AT: f64 = 5.5;
/// When in a round the zone is taken back for good.
const RETURN_AT: f64 = 24.0;
/// The bounds of the small deployments, by the names of the settings.
const BOUNDS: [(&str, f64); 8] = [
    ("contact_ms", 5000.0),
    ("ack_limit_ms", 6000.0),
    ("sync_time_s", 4.0),
    ("drain_limit_ms", 3000.0),
    ("grace_period_s", 6.0),
    ("config_apply_ms", 3000.0),
    ("retry_slack", 58.0),
    ("cold_margin", 5.0),
];

/// What becomes of the take-back of an evacuation.
#[derive(Clone, Copy)]
enum TakeBack {
    /// Too many stores stand still for it to be agreed on until its operator gives it up; one of them goes on later.
    GivenUp,
    /// Registries stand still with a copy of it in their sockets, while the one that runs confirms it.
    ReadLate,
    /// Whole core machines stand still, and another process of the core is killed.
    HeldUp,
}

/// The shape of such days: with the bounds of the small deployments, and as long as their rounds take.
pub fn shape(shape: &Shape, rounds: u32) -> Shape {
    let bounds = BOUNDS.map(|(name, value)| (name.to_string(), value)).to_vec();
    let length_s = (FIRST + f64::from(rounds) * ROUND + LAST).ceil() as u64;
    Shape { bounds, length_s, ..shape.clone() }
}

/// The scenario of this seed, over so many rounds.
pub fn draw(shape: &Shape, seed: u64, rounds: u32) -> String {
    let mut draft = Draft::new(shape, seed);
    draft.head(seed, NAME);
    for round in 0..rounds {
        let from = FIRST + f64::from(round) * ROUND;
        draft.evacuation_round(from, seed + u64::from(round));
    }
    draft.text
}

impl Draft<'_> {
    fn evacuation_round(&mut self, from: f64, number: u64) {
        let zone = self.shape.cores[self.rng.gen_range(0..self.shape.cores.len())].clone();
        let stall_at = from + STALL_AT;
        self.at(from, format_args!("evacuate {zone}"));
        self.changes(from + 0.5, from + 4.0, (0.3, 1.2));
        self.ends_of_some(from + 0.5, from + 6.0);
        self.hangups(from, from + ROUND, 4);
        let back_at = stall_at + self.rng.gen_range(0.1..0.4);
        self.at(back_at, format_args!("return {zone}"));
        let kinds = [TakeBack::GivenUp, TakeBack::ReadLate, TakeBack::HeldUp];
        let again_at = match kinds[(number % kinds.len() as u64) as usize] {
            TakeBack::GivenUp => {
                let last = self.rng.gen_range(8.5..9.8);
                self.stalls("store", stall_at, (last, 7.0));
                back_at + 6.0
            }
            TakeBack::ReadLate => {
                let last = self.rng.gen_range(3.0..5.0);
                self.stalls("registry", stall_at, (last, last));
                back_at + self.rng.gen_range(1.2..2.5)
            }
            TakeBack::HeldUp => {
                let last = self.rng.gen_range(3.0..9.0);
                self.stalls("core", stall_at, (last, last * 0.7));
                let killed = self.rng.gen_range(1..=self.shape.cores.len());
                self.at(stall_at + 1.0, format_args!("kill registry{killed} back 0.5"));
                back_at + self.rng.gen_range(1.0..6.5)
            }
        };
        self.at(again_at, format_args!("evacuate {zone}"));
        self.at(from + RETURN_AT, format_args!("return {zone}"));
    }

    /// All but a minority of the core's processes of this class stand still: one for the first time, the rest for the second.
    fn stalls(&mut self, class: &str, at: f64, last: (f64, f64)) {
        let cores = self.shape.cores.len();
        let mut order: Vec<usize> = (1..=cores).collect();
        order.shuffle(&mut self.rng);
        for (n, core) in order.into_iter().take(cores / 2 + 1).enumerate() {
            let last = if n == 0 { last.0 } else { last.1 };
            self.at(at, format_args!("stall {class}{core} for {last:.2}"));
        }
    }

    /// SIGTERM to half of the proxies.
    fn ends_of_some(&mut self, from: f64, to: f64) {
        let mut order: Vec<usize> = (1..=self.proxies).collect();
        order.shuffle(&mut self.rng);
        for proxy in order.into_iter().take(self.proxies / 2) {
            let (at, back) = (self.rng.gen_range(from..to), self.rng.gen_range(0.2..1.0));
            self.at(at, format_args!("term edge{proxy} back {back:.2}"));
        }
    }
}
