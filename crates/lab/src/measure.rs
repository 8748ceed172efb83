//! What the fleet group costs and how soon it is itself again: tables and a chart for `docs/fleet/`. Real gateways on
//! loopback but for the rows that say "simulated".

use crate::documents::key;
use crate::rig::{Fault, Rig, Setup};
use curlewfront_fleet::control::Control;
use curlewfront_fleet::disk::{Store, Unsynced};
use curlewfront_fleet::state::{Applied, CallId, Command};
use curlewfront_fleet::voter::{self, Out, Request, Response, Voter};
use curlewfront_fleetsim::history::linearizable;
use curlewfront_fleetsim::sim::{self, Plan, Planted};
use hdrhistogram::Histogram;
use plotters::prelude::*;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// One line of the table.
#[derive(Clone, Debug)]
pub struct Line {
    pub what: String,
    pub case: String,
    /// Least, median, most.
    pub figures: [f64; 3],
    pub unit: &'static str,
    pub runs: usize,
}

impl Line {
    /// A figure that was taken once.
    fn once(what: &str, case: &str, figure: f64, unit: &'static str) -> Line {
        Line { what: what.into(), case: case.into(), figures: [figure; 3], unit, runs: 1 }
    }

    fn of(what: &str, case: &str, mut values: Vec<f64>, unit: &'static str) -> Option<Line> {
        values.sort_by(f64::total_cmp);
        let (first, last) = (*values.first()?, *values.last()?);
        let figures = [first, values[values.len() / 2], last];
        Some(Line { what: what.into(), case: case.into(), figures, unit, runs: values.len() })
    }
}

const HANGS: Duration = Duration::from_secs(60);

fn rig(
    program: &Path,
    out: &Path,
    voters: usize,
    watchers: usize,
    election_ms: u64,
) -> Result<Arc<Rig>, String> {
    let dir = out.join(format!("rig-{voters}-{watchers}"));
    let _ = std::fs::remove_dir_all(&dir);
    let setup = Setup {
        program: program.to_path_buf(),
        dir,
        voters,
        watchers,
        election_ms,
        lease_ms: 6 * election_ms,
        compact_after: 4096,
    };
    let rig = Arc::new(Rig::new(setup)?);
    rig.start_all()?;
    if rig.until(HANGS, |r| r.leased() == r.members()) {
        Ok(rig)
    } else {
        Err("not all members are up".into())
    }
}

/// Time from the loss of a leader to the next one, in ms, `runs` times for each way of losing it.
fn failover(program: &Path, out: &Path, runs: usize) -> Result<Vec<Line>, String> {
    let rig = rig(program, out, 3, 2, 300)?;
    let mut lines = Vec::new();
    type Way = fn(usize, usize) -> Fault;
    let ways: [(&str, Way); 3] = [
        ("kill", |leader, _| Fault::Kill { member: leader }),
        ("pause", |leader, _| Fault::Pause { member: leader }),
        ("cut", |leader, _| Fault::Partition { side: vec![leader] }),
    ];
    for (name, way) in ways {
        let mut times = Vec::new();
        for _ in 0..runs {
            let well = |r: &Rig| {
                let known = (0..3).filter_map(|n| r.status(n).ok()).filter(|s| !s.leader.is_empty()).count();
                known == 3 && r.leader().is_some()
            };
            if !rig.until(HANGS, well) {
                return Err(format!("{name}: no leader known to all"));
            }
            // Not always at the same point of the heartbeats.
            std::thread::sleep(Duration::from_millis(200 + 37 * (times.len() as u64 % 9)));
            let Some(leader) = rig.leader() else { continue };
            let fault = way(leader, rig.members());
            let from = Instant::now();
            rig.inject(&fault)?;
            let others: Vec<usize> = (0..3).filter(|n| *n != leader).collect();
            let leads = |n: &usize| rig.status(*n).is_ok_and(|s| s.voter.is_some_and(|v| v.leads));
            while !others.iter().any(leads) {
                if from.elapsed() > HANGS {
                    return Err(format!("{name}: no other leader"));
                }
                std::thread::sleep(Duration::from_millis(2));
            }
            times.push(from.elapsed().as_secs_f64() * 1000.0);
            rig.heal(&fault)?;
        }
        lines.extend(Line::of("without a leader, election time 300 ms", name, times, "ms"));
    }
    Ok(lines)
}

/// Writes a second and their times, through the leader's control address.
fn puts(
    program: &Path,
    out: &Path,
    voters: usize,
    clients: usize,
    seconds: f64,
) -> Result<Vec<Line>, String> {
    let rig = rig(program, out, voters, 0, 1000)?;
    let leader = rig.leader().ok_or("no leader")?;
    let stop = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..clients)
        .map(|c| {
            let (rig, stop) = (rig.clone(), stop.clone());
            std::thread::spawn(move || {
                let mut times = Vec::new();
                let Ok(mut control) = Control::open(rig.control(leader), HANGS) else { return times };
                while !stop.load(Ordering::Relaxed) {
                    let from = Instant::now();
                    let command = Command::Put { key: key(c), value: Some(vec![7; 100]), if_version: None };
                    if matches!(control.command(command), Ok(Response::Applied(Applied::Put { .. }))) {
                        times.push(from.elapsed().as_micros() as u64);
                    }
                }
                times
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs_f64(seconds));
    stop.store(true, Ordering::Relaxed);
    let times: Vec<u64> = threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect();
    let mut h = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("bounds");
    times.iter().for_each(|t| h.saturating_record((*t).max(1)));
    let case = format!("{voters} voters, {clients} at once");
    let ms = |q: f64| h.value_at_quantile(q) as f64 / 1000.0;
    let rate = times.len() as f64 / seconds;
    Ok(vec![
        Line {
            what: "writes agreed a second".into(),
            case: case.clone(),
            figures: [rate; 3],
            unit: "/s",
            runs: 1,
        },
        Line {
            what: "time of a write (least, median, 99 in 100)".into(),
            case,
            figures: [ms(0.0), ms(0.5), ms(0.99)],
            unit: "ms",
            runs: times.len(),
        },
    ])
}

/// What members' renewals cost the voters: frames a second over all links, and processor time.
fn renewals(program: &Path, out: &Path, watchers: usize) -> Result<Vec<Line>, String> {
    let rig = rig(program, out, 3, watchers, 1000)?;
    let calls = || rig.crossed().get("call").copied().unwrap_or(0);
    let ticks = |n: usize| {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", rig.pid(n).unwrap_or(0))).unwrap_or_default();
        let rest = text.rsplit(") ").next().unwrap_or("").to_string();
        rest.split(' ').skip(11).take(2).filter_map(|t| t.parse::<u64>().ok()).sum::<u64>()
    };
    let (before, busy) = (calls(), (0..3).map(ticks).sum::<u64>());
    let seconds = 10.0;
    std::thread::sleep(Duration::from_secs_f64(seconds));
    let rate = (calls() - before) as f64 / seconds;
    let cpu = ((0..3).map(ticks).sum::<u64>() - busy) as f64 / seconds; // ticks are hundredths of a second
    let case = format!("3 voters, {watchers} watchers, lease 6 s");
    let line = |what: &str, figure: f64, unit| Line::once(what, &case, figure, unit);
    Ok(vec![
        line("calls at all voters, idle", rate, "/s"),
        line("processor time of all voters, idle", cpu, "% of a core"),
    ])
}

/// 300 members, simulated: calls a second in the calm, and the highest tenth of a second after all voters are back.
fn simulated() -> Vec<Line> {
    let (mut calm, mut wave) = (Vec::new(), Vec::new());
    for seed in 1..=5 {
        let plan = Plan {
            seed,
            voters: 3,
            members: 300,
            twins: 0,
            clients: 0,
            keys: 1,
            calls: 0,
            for_us: 30_000_000,
            settle_us: 30_000_000,
            election_us: 1_000_000,
            lease_us: 6_000_000,
            compact_after: 4096,
            faults: vec![(20_000_000, 10_000_000, sim::Fault::PowerLoss)],
            planted: None,
        };
        let report = sim::run(&plan);
        let sum = |from: usize, to: usize| report.calls.get(from..to).map_or(0, |c| c.iter().sum::<u32>());
        calm.push(f64::from(sum(100, 190)) / 9.0);
        wave.push(report.calls.iter().skip(300).take(300).copied().max().unwrap_or(0) as f64 * 10.0);
    }
    let case = "3 voters, 300 watchers, lease 6 s, simulated";
    let lines = [
        Line::of("calls at all voters, calm", case, calm, "/s"),
        Line::of("highest tenth of a second after all voters were gone for 10 s", case, wave, "/s"),
    ];
    lines.into_iter().flatten().collect()
}

/// What the store holds after many writes, and how long they took, by one voter alone.
fn disk(out: &Path, writes: u64) -> Result<Vec<Line>, String> {
    let dir = out.join("disk");
    let _ = std::fs::remove_dir_all(&dir);
    let store = Store::open(&dir, "measure", "one", 1, Unsynced::System).map_err(|e| e.to_string())?;
    let saved = voter::first(&[(1, "one".into(), "here".into())]);
    let group = curlewfront_fleet::birth::Group::of("measure", Vec::new());
    store.be_born(&group, &saved).map_err(|e| e.to_string())?;
    let setup =
        voter::Setup { id: 1, election_us: 100_000, lease_us: 1_000_000, seed: 1, compact_after: 4096 };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let mut voter = Voter::new(setup, saved, 0, &log)?;
    let (mut now, mut answered, mut asked) = (0, 0, 0);
    let from = Instant::now();
    while answered < writes {
        now += 10_000;
        voter.time(now);
        for _ in 0..100 {
            if voter.leads() && asked < writes {
                asked += 1;
                let id = CallId { caller: 1, number: asked };
                let command = Command::Put {
                    key: key((asked % 100) as usize),
                    value: Some(vec![7; 100]),
                    if_version: None,
                };
                voter.request(asked, Request::Change { id, command });
            }
        }
        while let Some(write) = voter.write() {
            store.write(&write).map_err(|e| e.to_string())?;
            voter.synced();
        }
        answered += voter.take().iter().filter(|o| matches!(o, Out::Answer { .. })).count() as u64;
    }
    let bytes = std::fs::metadata(dir.join("fleet.redb")).map_err(|e| e.to_string())?.len();
    let case = format!("{writes} writes of 100 bytes on 100 documents");
    let line = |what: &str, figure: f64, unit| Line::once(what, &case, figure, unit);
    Ok(vec![
        line("store on disk", bytes as f64 / 1e6, "MB"),
        line("entries left in the log", voter.status().log_entries as f64, ""),
        line("writes a second, a hundred to a sync", writes as f64 / from.elapsed().as_secs_f64(), "/s"),
    ])
}

/// Ways that leave out one of the protections, beside the group as it is: in how many of `seeds` schedules a check finds a
/// break. Simulated.
fn baselines(seeds: u64) -> Vec<Line> {
    let ways = [
        ("the group as it is", None),
        ("answers before the disk has synced", Some(Planted::LyingDisk)),
        ("reads from any voter's own state", Some(Planted::StaleRead)),
        ("calls sent again under a new number", Some(Planted::CallTwice)),
        ("leases by a clock that runs four times too fast", Some(Planted::FastClock)),
    ];
    ways.into_iter()
        .map(|(case, planted)| {
            let broken = (1..=seeds).filter(|seed| {
                let mut plan = Plan::drawn(*seed);
                plan.planted = planted;
                plan.faults.push((2_000_000, 400_000, sim::Fault::PowerLoss));
                plan.faults.push((
                    4_000_000,
                    900_000,
                    sim::Fault::Isolate { voter: *seed as usize % plan.voters },
                ));
                (plan.members, plan.twins) = (plan.members.max(1), 1);
                // The consensus stops itself (panics) when it sees that what it was promised is gone.
                std::panic::catch_unwind(|| sim::run(&plan)).map_or(true, |report| {
                    !report.breaks.is_empty() || (0..plan.keys).any(|k| !linearizable(&report.history, k))
                })
            });
            let figure = broken.count() as f64;
            let what = format!("schedules of {seeds} with a break, simulated");
            Line { what, case: case.into(), figures: [figure; 3], unit: "", runs: seeds as usize }
        })
        .collect()
}

/// Measures all of it into `out` (`measure.md`, `measure.csv`, `failover.svg`); `work` holds what is in between.
pub fn run(program: &Path, out: &Path, work: &Path, runs: usize) -> Result<String, String> {
    std::fs::create_dir_all(work).map_err(|e| format!("{}: {e}", work.display()))?;
    std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
    let mut lines = failover(program, work, runs)?;
    for (voters, clients) in [(3, 1), (3, 16), (5, 1), (5, 16)] {
        lines.extend(puts(program, work, voters, clients, 5.0)?);
    }
    lines.extend(renewals(program, work, 27)?);
    lines.extend(simulated());
    lines.extend(disk(work, 100_000)?);
    lines.extend(baselines(100));
    let mut table = String::from(
        "| what | case | least | median | most | unit | runs |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut w = csv::Writer::from_path(out.join("measure.csv")).map_err(|e| e.to_string())?;
    w.write_record(["what", "case", "least", "median", "most", "unit", "runs"]).map_err(|e| e.to_string())?;
    for l in &lines {
        let [a, b, c] = l.figures.map(|f| if f >= 100.0 { format!("{f:.0}") } else { format!("{f:.2}") });
        table.push_str(&format!("| {} | {} | {a} | {b} | {c} | {} | {} |\n", l.what, l.case, l.unit, l.runs));
        w.write_record([&l.what, &l.case, &a, &b, &c, l.unit, &l.runs.to_string()])
            .map_err(|e| e.to_string())?;
    }
    w.flush().map_err(|e| e.to_string())?;
    std::fs::write(out.join("measure-table.md"), &table).map_err(|e| e.to_string())?;
    if crate::report::font() {
        chart(&out.join("failover.svg"), &lines).map_err(|e| format!("chart: {e}"))?;
    }
    Ok(table)
}

fn chart(path: &Path, lines: &[Line]) -> Result<(), Box<dyn std::error::Error>> {
    let bars: Vec<&Line> = lines.iter().filter(|l| l.what.starts_with("without a leader")).collect();
    let most = bars.iter().map(|l| l.figures[2]).fold(900.0, f64::max) * 1.1;
    let area = SVGBackend::new(path, (640, 360)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption("ms without a leader: least, median, most; the aim is 900", ("sans-serif", 15))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..bars.len() as f64, 0.0..most)?;
    let names: Vec<String> = bars.iter().map(|l| l.case.clone()).collect();
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(2 * bars.len() + 1)
        .x_label_formatter(&|x| {
            let at = x - x.floor();
            if (at - 0.5).abs() < 0.01 {
                names.get(*x as usize).cloned().unwrap_or_default()
            } else {
                String::new()
            }
        })
        .draw()?;
    for (n, l) in bars.iter().enumerate() {
        let (x, [low, mid, high]) = (n as f64, l.figures);
        chart.draw_series([Rectangle::new([(x + 0.3, low), (x + 0.7, high)], BLUE.mix(0.3).filled())])?;
        chart.draw_series([PathElement::new(vec![(x + 0.3, mid), (x + 0.7, mid)], BLUE.stroke_width(3))])?;
    }
    chart.draw_series([PathElement::new(
        vec![(0.0, 900.0), (bars.len() as f64, 900.0)],
        RED.stroke_width(1),
    )])?;
    area.present()?;
    Ok(())
}

/// The release gateway's path, unless another is named.
pub fn program(name: &str) -> Result<PathBuf, String> {
    crate::compare::program(name).map(|p| p.path)
}
