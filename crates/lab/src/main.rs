//! `curlewfront-lab`: plays scenarios against real gateways on loopback, and days of the whole system, compares builds, checks records again, and
//! runs the lab's baseline policies as gateway processes.
//!
//! Exit codes: 0 done and every rule kept; 1 a rule was broken; 2 the command could not be carried out (a bad
//! scenario, a program that would not start); the message names what is wrong.

use clap::{Parser, Subcommand};
use curlewfront_lab::soak::route_changes::Changing;
use curlewfront_lab::{
    baseline, compare, group, launch, measure, report, run, scenario::Scenario, soak, system,
};
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

#[derive(Parser)]
#[command(name = "curlewfront-lab", version, about = "The lab: real gateways against stand-ins on loopback")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario once and writes its record, summary and charts.
    Run {
        /// The scenario, TOML.
        scenario: PathBuf,
        /// The program played as gateway: curlewfront, round-robin, token-bucket, or a path.
        #[arg(long, default_value = "curlewfront")]
        gateway: String,
        /// Where the run's files go.
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// Replaces the scenario's seed.
        #[arg(long)]
        seed: Option<u64>,
        /// Replaces the scenario's number of gateways.
        #[arg(long)]
        gateways: Option<usize>,
    },
    /// Plays two programs on the same seeds, several times each, and prints medians with least and most.
    Compare {
        scenario: PathBuf,
        #[arg(long)]
        a: String,
        #[arg(long)]
        b: String,
        #[arg(long, default_value_t = 3)]
        runs: u32,
        #[arg(long, default_value = "lab-out")]
        out: PathBuf,
        /// Replaces the scenario's number of gateways.
        #[arg(long)]
        gateways: Option<usize>,
    },
    /// Reads a run's record again and judges the rules.
    Check { dir: PathBuf },
    /// Gathers the summaries of runs into one table and chart.
    Gather {
        #[arg(long)]
        out: PathBuf,
        runs: Vec<PathBuf>,
    },
    /// Measures the fleet group: failover, writes, renewals, disk, and what leaving out its protections breaks.
    GroupMeasure {
        #[arg(long, default_value = "curlewfront")]
        gateway: String,
        /// Where tables and chart go.
        #[arg(long, default_value = "docs/fleet")]
        out: PathBuf,
        /// Where stores, logs and configurations go.
        #[arg(long, default_value = "lab-out/group-measure")]
        work: PathBuf,
        /// How often each way of losing a leader is tried.
        #[arg(long, default_value_t = 20)]
        runs: usize,
    },
    /// Plays launches on simulated time: room booked ahead against no booking and against each proxy by its own clock.
    LaunchMeasure {
        /// The day, as the simulator plays it.
        #[arg(long, default_value = "lab/launch.txt")]
        scenario: PathBuf,
        /// Where the table and the chart go.
        #[arg(long, default_value = "docs/system")]
        out: PathBuf,
        /// Each way is played with so many seeds.
        #[arg(long, default_value_t = 12)]
        seeds: u64,
    },
    /// Days of the whole system: its three programs as real processes on loopback.
    System {
        #[command(subcommand)]
        command: System,
    },
    /// Days of the whole system with real processes, drawn from seeds; all rules are judged, and what failed is kept.
    Soak {
        /// The first seed; or the only one, with `--days 1`.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// So many seeds, one day each.
        #[arg(long, default_value_t = 50)]
        days: u64,
        #[arg(long, value_enum, default_value = "large")]
        shape: SoakShape,
        /// Days about evacuations alone, in so many rounds of 25 s.
        #[arg(long, value_name = "ROUNDS")]
        evacuations: Option<u32>,
        /// Days on which names of routes, or weights of split routes change, in place of what the seed says.
        #[arg(long, value_enum, conflicts_with = "evacuations")]
        routes: Option<Changing>,
        /// Days played at the same time.
        #[arg(long, default_value_t = 2)]
        jobs: usize,
        /// Processes of all days together, at the most.
        #[arg(long, default_value_t = 300)]
        processes: usize,
        /// The report, and a folder for each day that failed.
        #[arg(long, default_value = "lab-out/soak")]
        out: PathBuf,
        /// Where the three programs are.
        #[arg(long, default_value = "target/release")]
        bin: PathBuf,
        /// Keeps the folders of all days.
        #[arg(long)]
        keep_all: bool,
    },
    /// Runs one of the lab's plain policies as a gateway (EDGE_CONFIG as a gateway has it).
    Baseline {
        #[arg(value_enum)]
        policy: baseline::Policy,
    },
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum SoakShape {
    Large,
    Small,
}

/// What the days of a soak are about.
fn about(evacuations: Option<u32>, routes: Option<Changing>) -> soak::About {
    match (evacuations, routes) {
        (Some(rounds), _) => soak::About::Evacuations { rounds },
        (None, Some(changing)) => soak::About::Routes(changing),
        (None, None) => soak::About::Seed,
    }
}

#[derive(Subcommand)]
enum System {
    /// Plays a scenario as the simulator does, in real seconds; what cannot be played so is said.
    Run {
        /// The scenario, text; docs/system/simulator.md says what there is.
        scenario: PathBuf,
        /// Settings, logs, tables and charts.
        #[arg(long, default_value = "lab-out/system")]
        out: PathBuf,
        /// Where the three programs are.
        #[arg(long, default_value = "target/release")]
        bin: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Prints the table alone.
        #[arg(long)]
        quiet: bool,
    },
}

async fn play_system(command: System) -> Result<bool, String> {
    let System::Run { scenario, out, bin, seed, quiet } = command;
    let at = |e: &dyn std::fmt::Display| format!("{}: {e}", scenario.display());
    let text = std::fs::read_to_string(&scenario).map_err(|e| at(&e))?;
    let s = system::rollouts::Script::read(&text).map_err(|e| at(&e))?;
    let options = system::Options { out: out.clone(), bin, seed, loud: !quiet, verbose: false };
    // A signal to the lab ends what the lab has started, too: the day is dropped.
    let mut asked = signal(SignalKind::terminate()).map_err(|e| format!("cannot watch for signals: {e}"))?;
    let day = tokio::select! {
        day = system::run(&s, &options) => day.map_err(|e| at(&e))?,
        _ = asked.recv() => return Err("ended by a signal".into()),
        _ = tokio::signal::ctrl_c() => return Err("ended by a signal".into()),
    };
    system::table::write(&day, &out)?;
    print!("\n{}", system::table::show(&day));
    println!("tables, charts and the programs' logs: {}", out.display());
    Ok(day.unmet.is_empty())
}

/// The scenario with another number of gateways, checked again.
fn sized(mut s: Scenario, gateways: Option<usize>) -> Result<Scenario, String> {
    if let Some(n) = gateways {
        s.gateways = n;
        s.check().map_err(|e| format!("--gateways: {e}"))?;
    }
    Ok(s)
}

fn is_group(path: &std::path::Path) -> bool {
    std::fs::read_to_string(path).is_ok_and(|text| group::Scenario::is_one(&text))
}

/// A scenario of the fleet group: its own processes, faults and judge.
fn play_group(
    path: &std::path::Path,
    gateway: &str,
    out: &std::path::Path,
    seed: Option<u64>,
) -> Result<bool, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let s = group::Scenario::parse(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    let (summary, _) = group::run(&s, compare::program(gateway)?.path, out, seed)?;
    println!("{}", serde_json::to_string_pretty(&summary).expect("plain data"));
    for b in summary.breaks.iter().take(20) {
        println!("BROKEN {}: {}", b.invariant, b.what);
    }
    Ok(summary.breaks.is_empty())
}

fn runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread().enable_all().build().expect("a runtime")
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = match cli.command {
        Command::Run { scenario, gateway, out, seed, .. } if is_group(&scenario) => {
            play_group(&scenario, &gateway, &out, seed)
        }
        Command::Run { scenario, gateway, out, seed, gateways } => runtime().block_on(async {
            let s = sized(Scenario::load(&scenario)?, gateways)?;
            let program = compare::program(&gateway)?;
            let options = run::Options { program, out: out.clone(), seed };
            let outcome = run::run(s, &options).await?;
            let summary = report::summarize(&outcome, &gateway);
            report::write(&out, &summary, &outcome)?;
            for (k, v) in report::flat(&summary) {
                println!("{k:28} {v}");
            }
            for b in outcome.verdict.breaks.iter().take(20) {
                println!("BROKEN {} at {:.3} s: {}", b.rule, b.at_us as f64 / 1e6, b.what);
            }
            Ok(summary.rules_kept)
        }),
        Command::Compare { scenario, a, b, runs, out, gateways } => runtime().block_on(async {
            let s = sized(Scenario::load(&scenario)?, gateways)?;
            let c = compare::compare(&s, &a, &b, runs, &out).await?;
            print!("{}", compare::table(&c));
            Ok(c.figures.iter().filter(|f| f.0 == "rules broken").all(|f| f.1.most == 0.0 && f.2.most == 0.0))
        }),
        Command::Check { dir } => run::check_again(&dir).map(|(_, record, verdict)| {
            println!("{} tries, {} attempts", record.tries.len(), record.attempts.len());
            for (rule, n) in verdict.by_rule() {
                println!("{rule:16} {n} broken");
            }
            for b in verdict.breaks.iter().take(20) {
                println!("BROKEN {} at {:.3} s: {}", b.rule, b.at_us as f64 / 1e6, b.what);
            }
            verdict.kept()
        }),
        Command::Gather { out, runs } => compare::gather(&out, &runs).map(|table| {
            print!("{table}");
            true
        }),
        Command::GroupMeasure { gateway, out, work, runs } => {
            measure::program(&gateway).and_then(|p| measure::run(&p, &out, &work, runs)).map(|table| {
                print!("{table}");
                true
            })
        }
        Command::LaunchMeasure { scenario, out, seeds } => launch::run(&scenario, &out, seeds).map(|table| {
            print!("{table}");
            true
        }),
        Command::System { command } => runtime().block_on(play_system(command)),
        Command::Soak { seed, days, shape, evacuations, routes, jobs, processes, out, bin, keep_all } => {
            let shape = match shape {
                SoakShape::Large => soak::shape::Shape::large(),
                SoakShape::Small => soak::shape::Shape::small(),
            };
            let seeds = (seed..seed.saturating_add(days)).collect();
            let about = about(evacuations, routes);
            let options =
                soak::Options { out: out.clone(), bin, seeds, shape, about, jobs, processes, keep_all };
            soak::run(&options).map(|report| {
                print!("\n{}", report.summary());
                println!("report, and what failed: {}", out.display());
                report.failed() == 0
            })
        }
        Command::Baseline { policy } => runtime().block_on(baseline::serve(policy)).map(|()| true),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("curlewfront-lab: {e}");
            ExitCode::from(2)
        }
    }
}
