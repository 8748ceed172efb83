//! `curlewfront-simulator`: plays scenarios and days by chance.

use clap::{Arg, ArgAction, ArgGroup, ArgMatches, Command, value_parser};
use miette::{Result, miette};
use simulator::hunt::{self, Played};
use simulator::load::{self, Size};
use simulator::scenario::Scenario;
use simulator::{route_days, seconds, weigh};
use std::path::PathBuf;
use std::process::ExitCode;

#[global_allocator]
static HEAP: weigh::PeakAlloc = weigh::PeakAlloc;

fn command() -> Command {
    let seed = Arg::new("seed").long("seed").value_parser(value_parser!(u64)).default_value("1");
    let log = Arg::new("log").long("log").action(ArgAction::SetTrue).help("Tells what happened");
    let unserved = Arg::new("unserved").long("unserved").value_name("N").value_parser(value_parser!(usize));
    let unserved = unserved.default_value("0").help("Tells of so many requests that were not served");
    let reasons = Arg::new("reasons").long("reasons").action(ArgAction::SetTrue);
    let reasons = reasons.help("Counts by the second what became of the tries");
    let days = Arg::new("days").long("days").value_parser(value_parser!(u64)).default_value("200");
    let answers = Arg::new("answers").long("answers").action(ArgAction::SetTrue);
    let answers = answers.help("Days of servers that answer as they should not, and all that goes with it");
    let rollouts = Arg::new("rollouts").long("rollouts").action(ArgAction::SetTrue);
    let rollouts = rollouts.help("Days of two rollouts beside faults");
    let names = Arg::new("names").long("names").action(ArgAction::SetTrue);
    let names = names.help("Days on which route names pass from one route to another");
    let weights = Arg::new("weights").long("weights").action(ArgAction::SetTrue);
    let weights = weights.help("Days of split routes with parts of weight 0");
    let kinds = [answers, rollouts, names, weights];
    let one_kind = ArgGroup::new("kind").args(kinds.iter().map(Arg::get_id));
    let file = Arg::new("scenario").required(true).value_parser(value_parser!(PathBuf));
    Command::new("curlewfront-simulator")
        .about("Plays days of curlewfront's programs on simulated time, and judges them")
        .subcommand_required(true)
        .subcommand(Command::new("run").about("Plays one scenario").args([
            file,
            seed.clone(),
            log.clone(),
            unserved.clone(),
            reasons.clone(),
        ]))
        .subcommand(
            Command::new("hunt")
                .about("Plays days drawn by chance")
                .args([days, seed.clone().help("Of the first day; each further day has the next one")])
                .args(kinds.clone())
                .group(one_kind.clone()),
        )
        .subcommand(
            Command::new("seconds")
                .about("Plays a scenario with drills, and writes what its callers and all others saw by the second")
                .args([
                    Arg::new("scenario").required(true).value_parser(value_parser!(PathBuf)),
                    seed.clone(),
                    Arg::new("out").long("out").value_name("STEM").required(true).value_parser(value_parser!(PathBuf)),
                ]),
        )
        .subcommand(
            Command::new("scale")
                .about("Counts what the system's own traffic comes to, by its size; several numbers: each with each")
                .arg(
                    Arg::new("edges").num_args(1..).value_parser(value_parser!(u16).range(4..=1000)).required(true),
                )
                .args(["servers", "tenants", "routes"].map(several))
                .arg(seed.clone()),
        )
        .subcommand(
            Command::new("weigh")
                .about("What one process holds and works at a size, by the processor time and memory of this one")
                .args(["proxies", "servers", "tenants", "routes", "active"].map(several)),
        )
        .subcommand(
            Command::new("day")
                .about("Plays one drawn day")
                .args([seed, log, unserved, reasons])
                .args(kinds)
                .group(one_kind),
        )
}

/// Sizes of one part of the system.
fn several(name: &'static str) -> Arg {
    Arg::new(name).long(name).num_args(1..).value_parser(value_parser!(u32).range(1..=100_000))
}

fn main() -> ExitCode {
    let given = command().get_matches();
    let done = match given.subcommand() {
        Some(("run", args)) => run(args),
        Some(("hunt", args)) => days(args),
        Some(("seconds", args)) => by_second(args),
        Some(("day", args)) => day(args),
        Some(("scale", args)) => scale(args),
        Some(("weigh", args)) => weigh(args),
        _ => unreachable!("a subcommand is required"),
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("curlewfront-simulator: {why}");
            ExitCode::FAILURE
        }
    }
}

fn read(args: &ArgMatches) -> Result<Scenario> {
    let file = args.get_one::<PathBuf>("scenario").expect("required");
    let text = std::fs::read_to_string(file).map_err(|e| miette!("{}: {e}", file.display()))?;
    Scenario::read(&text).map_err(|e| miette!("{}: {e}", file.display()))
}

fn run(args: &ArgMatches) -> Result<bool> {
    one(args, &read(args)?)
}

fn by_second(args: &ArgMatches) -> Result<bool> {
    let (scenario, seed) = (read(args)?, *args.get_one::<u64>("seed").expect("it has a default"));
    let stem = args.get_one::<PathBuf>("out").expect("required");
    let played = hunt::play(&scenario, seed, false);
    let (record, twin) = (&played.record, hunt::without_drills(&scenario, seed));
    let drilled = seconds::callers(record);
    let (with, without) = (seconds::by_second(record, &drilled), seconds::by_second(&twin, &drilled));
    for (kind, text) in [("csv", seconds::csv(&with, &without)), ("svg", seconds::svg(&with, &without))] {
        let file = stem.with_extension(kind);
        std::fs::write(&file, text).map_err(|e| miette!("{}: {e}", file.display()))?;
    }
    let [asked, once, twice, never] = seconds::reconciled(record, &drilled);
    println!("{} tries met a rehearsed fault", record.met.len());
    println!("may run once: {asked} asked, {once} run once, {twice} run twice, {never} never run");
    if let Some((last, well)) = seconds::well_again(record, &drilled) {
        let s = |at: u64| at as f64 / 1e6;
        println!("last met at {:.3} s, first success after it at {:.3} s", s(last), s(well));
    }
    match hunt::others_differ(record, &twin) {
        Some(what) => println!("{what}"),
        None => println!("all others fare as on the same day without the drills"),
    }
    print!("{}", hunt::report(&played));
    Ok(played.unmet.is_empty())
}

fn day(args: &ArgMatches) -> Result<bool> {
    let seed = *args.get_one::<u64>("seed").expect("it has a default");
    let text = drawn(args, seed);
    print!("{text}");
    one(args, &Scenario::read(&text)?)
}

fn drawn(args: &ArgMatches, seed: u64) -> String {
    match () {
        _ if args.get_flag("answers") => hunt::draw_answers(seed),
        _ if args.get_flag("rollouts") => hunt::draw_rollouts(seed),
        _ if args.get_flag("names") => route_days::draw_names(seed),
        _ if args.get_flag("weights") => route_days::draw_weights(seed),
        _ => hunt::draw(seed),
    }
}

fn one(args: &ArgMatches, scenario: &Scenario) -> Result<bool> {
    let seed = *args.get_one::<u64>("seed").expect("it has a default");
    let played = hunt::play(scenario, seed, args.get_flag("log"));
    for line in played.log.iter().flatten() {
        println!("{line}");
    }
    print!("{}", hunt::report(&played));
    print!(
        "{}",
        hunt::unserved(&played.record, *args.get_one::<usize>("unserved").expect("it has a default"))
    );
    if args.get_flag("reasons") {
        print!("{}", hunt::reasons(&played.record));
    }
    println!("{}", summary(&played));
    Ok(played.unmet.is_empty())
}

/// The sizes that are asked for, each with each.
fn sizes(args: &ArgMatches) -> Vec<Size> {
    let edges = args.get_many::<u16>("edges").into_iter().flatten();
    let mut sizes: Vec<Size> = edges.map(|n| Size::of(usize::from(*n))).collect();
    for name in ["servers", "tenants", "routes"] {
        let Some(given) = args.get_many::<u32>(name) else { continue };
        let given: Vec<usize> = given.map(|n| *n as usize).collect();
        let with = |size: &Size, n: usize| match name {
            "servers" => Size { servers: n, ..*size },
            "tenants" => Size { tenants: n, ..*size },
            _ => Size { routes: n, ..*size },
        };
        sizes = sizes.iter().flat_map(|s| given.iter().map(move |n| with(s, *n))).collect();
    }
    sizes
}

fn scale(args: &ArgMatches) -> Result<bool> {
    println!("{}", load::COLUMNS);
    let mut kept = true;
    for size in sizes(args) {
        let ([calm, wave], record) = load::measure(size, *args.get_one("seed").expect("it has a default"))?;
        println!(
            "{}\n{}",
            load::row(size, "calm", &calm, record.cores),
            load::row(size, "wave", &wave, record.cores)
        );
        let breaches = simulator::judge::judge(&record);
        for b in breaches.iter().take(5) {
            eprintln!("{} proxies: {}: {}", size.edges, b.rule, b.what);
        }
        kept &= breaches.is_empty();
    }
    Ok(kept)
}

fn weigh(args: &ArgMatches) -> Result<bool> {
    println!("{}", weigh::COLUMNS);
    let given = |name: &str, or: usize| -> Vec<usize> {
        args.get_many::<u32>(name).map_or(vec![or], |all| all.map(|n| *n as usize).collect())
    };
    for proxies in given("proxies", 100) {
        for servers in given("servers", 1000) {
            for tenants in given("tenants", 1000) {
                for routes in given("routes", 300) {
                    for active in given("active", 50) {
                        let lot = weigh::Lot { proxies, servers, tenants, routes, active };
                        println!("{}", weigh::weigh(&lot, &HEAP)?.row(&lot));
                    }
                }
            }
        }
    }
    Ok(true)
}

fn summary(played: &Played) -> String {
    let r = &played.record;
    let (served, all) = r.served(0, r.ends);
    format!("{served} of {all} served in {} tries; {} changes", r.tries.len(), r.changes.len())
}

fn days(args: &ArgMatches) -> Result<bool> {
    let days = *args.get_one::<u64>("days").expect("it has a default");
    let first = *args.get_one::<u64>("seed").expect("it has a default");
    let mut bad = 0;
    let (mut served, mut all) = (0, 0);
    for seed in first..first + days {
        let text = drawn(args, seed);
        let played = hunt::play(&Scenario::read(&text)?, seed, false);
        let (s, a) = played.record.served(0, played.record.ends);
        (served, all) = (served + s, all + a);
        if !played.unmet.is_empty() {
            bad += 1;
            println!("== day {seed}\n{text}{}{}\n", hunt::report(&played), summary(&played));
        }
    }
    println!("{bad} of {days} days break a rule; {served} of {all} requests were served");
    Ok(bad == 0)
}
