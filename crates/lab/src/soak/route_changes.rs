//! Days on which configurations change what names and weights mean, with real processes: names pass from one route to
//! another, or services of split routes have weight 0, beside signals in series, evacuations, rollouts and servers in
//! trouble.

use super::schedule::{Draft, FIRST, LAST};
use super::shape::Shape;
use simulator::route_days::{self, Line};

/// Which of the two a day is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Changing {
    Names,
    Weights,
}

/// Servers of the service that is lost again and again on days about weights: each in a zone of its own.
const RARE_SERVERS: usize = 2;

impl Changing {
    pub(super) fn name(self) -> &'static str {
        match self {
            Changing::Names => "names",
            Changing::Weights => "weights",
        }
    }

    fn lines(self, seed: u64, from: f64, to: f64) -> Vec<Line> {
        match self {
            Changing::Names => route_days::name_changes(seed, from, to),
            Changing::Weights => route_days::weight_changes(seed, from, to),
        }
    }
}

/// The shape of such days: those about weights have a service with few servers besides.
pub fn shape(shape: &Shape, changing: Changing) -> Shape {
    let mut shape = shape.clone();
    if changing == Changing::Weights {
        shape.services.push((route_days::RARE.to_string(), RARE_SERVERS));
    }
    shape
}

/// The scenario of this seed.
pub fn draw(shape: &Shape, seed: u64, changing: Changing) -> String {
    let mut draft = Draft::new(shape, seed);
    draft.head(seed, changing.name());
    let (from, to) = (FIRST, shape.length_s as f64 - LAST);
    for (at, line) in changing.lines(seed, from, to) {
        draft.at(at, format_args!("{line}"));
    }
    draft.ends_in_series(from, to, 2);
    draft.hangups(from, to, 4);
    draft.lost_answers(from, to, 4);
    draft.servers_in_trouble(from, to);
    draft.evacuation(from, to);
    draft.rollouts(from, to);
    draft.text
}
