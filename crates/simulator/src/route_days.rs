//! Days drawn by chance on which configurations change what names and weights mean: route names pass from one route to
//! another, and services of split routes have weight 0, beside evacuations, losses, processes that end, and answers that
//! are lost.

use fastrand::Rng;
use std::fmt::Write;

const SERVICES: [&str; 3] = ["tiro", "utu", "kawe"];
/// A service with so few servers that the loss of one zone is the loss of the service.
pub const RARE: &str = "heron";
/// Changes and faults come between these, in seconds; the day ends some time after the last.
const FROM: f64 = 9.0;
const TO: f64 = 38.0;
const ENDS: f64 = 52.0;

/// What happens, and at which second.
pub type Line = (f64, String);

fn pick<'a>(rng: &mut Rng, of: &[&'a str]) -> &'a str {
    of[rng.usize(0..of.len())]
}

/// Configurations between these seconds by which names of routes move: routes swap names, are added at the head of the
/// list and removed. With an even seed routes are named by their places, so that all names after a change move.
pub fn name_changes(seed: u64, from: f64, to: f64) -> Vec<Line> {
    let mut rng = Rng::with_seed(seed ^ 0x6e61);
    let (mut lines, mut added) = (Vec::new(), 0);
    if seed.is_multiple_of(2) {
        lines.push((from, "names-by-place".to_string()));
    }
    let mut at = from + 0.5;
    while at < to {
        let (one, other) = (pick(&mut rng, &SERVICES), pick(&mut rng, &SERVICES));
        let change = match rng.u32(0..8) {
            0..=2 => format!("swap-names r-{one} r-{other}"),
            3 | 4 => {
                added += 1;
                format!("add-route added-{added} to {one} first")
            }
            5 | 6 if added > 0 => format!("remove-route added-{}", rng.u32(1..=added)),
            _ => format!("patch r-{one} to {one}"),
        };
        lines.push((at, change));
        at += 0.2 + rng.f64() * 1.5;
    }
    lines
}

/// Configurations between these seconds that split routes with parts of weight 0, first, last or between the others, and
/// after each a loss of the service [`RARE`], which often is the only one in use.
pub fn weight_changes(seed: u64, from: f64, to: f64) -> Vec<Line> {
    let mut rng = Rng::with_seed(seed ^ 0x7767);
    let mut lines = vec![(from, format!("split r-utu to tiro=0 {RARE}=100"))];
    let mut at = from + 2.0;
    while at < to {
        let (route, other) = (pick(&mut rng, &SERVICES), pick(&mut rng, &SERVICES));
        let service = pick(&mut rng, &[RARE, route]);
        let change = match rng.u32(0..4) {
            0 => format!("split r-{route} to {other}=0 {service}=100"),
            1 => format!("split r-{route} to {service}=100 {other}=0"),
            2 => format!("split r-{route} to {service}=60 {other}=0 {RARE}=40"),
            _ => format!("split r-{route} to {other}=0 {route}=0 {RARE}=1"),
        };
        lines.push((at, change));
        let loss = match rng.u32(0..4) {
            0 => format!("crash {RARE} back {:.2}", 0.5 + rng.f64() * 4.0),
            1 => format!("drain {RARE} back {:.2}", 0.5 + rng.f64() * 3.0),
            2 => format!("crash {RARE}1 back {:.2}", 1.0 + rng.f64() * 4.0),
            _ => format!("slow {RARE} for 2"),
        };
        lines.push((at + rng.f64() * 2.0, loss));
        at += 1.0 + rng.f64() * 3.0;
    }
    lines
}

/// Something that ends attempts, connections or machines, at times just as a call is sent or taken.
fn fault(rng: &mut Rng, edges: usize) -> String {
    let service = pick(rng, &SERVICES);
    let (part, last) = (rng.u32(10..70), 0.5 + rng.f64() * 3.0);
    let (edge, server) = (rng.usize(1..=edges), rng.u32(1..=4));
    let back = 0.2 + rng.f64() * 2.0;
    let what = match rng.u32(0..10) {
        0..=2 => format!("grey {service} errors {part} for {last:.2}"),
        3 => format!("grey {service} reset {part} for {last:.2}"),
        4 => format!("lose {service} for {last:.2}"),
        5 => format!("reset {service} {part}"),
        6 => format!("crash {service}{server} back {back:.2}"),
        7 => format!("term edge{edge} back {back:.2}"),
        8 => format!("freeze edge{edge} for {last:.2}"),
        _ => format!("kill edge{edge} back {back:.2}"),
    };
    let trigger = pick(rng, &["", "", "when sent ", "when order "]);
    format!("{trigger}{what}")
}

/// A zone is evacuated for 8 s.
fn evacuation(rng: &mut Rng) -> [Line; 2] {
    let (from, zone) = (FROM + rng.f64() * (TO - FROM - 9.0), pick(rng, &["a", "b", "c", "d"]));
    [(from, format!("evacuate {zone}")), (from + 8.0, format!("return {zone}"))]
}

fn day(seed: u64, mut lines: Vec<Line>, statements: &str) -> String {
    let mut rng = Rng::with_seed(seed);
    let (edges, rate) = (rng.usize(3..=8), rng.u32(30..60));
    let mut at = FROM;
    while at < TO {
        lines.push((at, fault(&mut rng, edges)));
        at += 1.0 + rng.f64() * 4.0;
    }
    lines.extend(evacuation(&mut rng));
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = format!("cores a b a\nedges {edges}\nrate {rate}\nseconds {ENDS}\n{statements}");
    for (at, line) in &lines {
        let _ = writeln!(text, "at {at:.3} {line}");
    }
    text
}

/// A day on which route names move.
pub fn draw_names(seed: u64) -> String {
    day(seed, name_changes(seed, 8.5, TO), "")
}

/// A day on which routes are split with parts of weight 0, from the start or lowered later.
pub fn draw_weights(seed: u64) -> String {
    let statements = format!("service {RARE} {}\n", 1 + seed % 2);
    day(seed, weight_changes(seed, 8.0, TO), &statements)
}
