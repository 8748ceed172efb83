//! `curlewfront system`: the settings files of a whole installation.

use crate::error::CommandError;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use settings::Scheme;
use settings::scheme::{Part, Program};
use std::fmt::Write;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

const ABOUT: &str = "\
Writes one settings file for each process and says how to start them. Without --scheme the machines are addresses of
this machine's loopback; with it they are those that the file names:

  {\"zones\": {\"north-a\": \"north\", \"north-b\": \"north\"}, \"data_directory\": \"/var/lib/curlewfront\",
   \"core\": [{\"ip_address\": \"10.0.0.4\", \"zone_name\": \"north-a\"}, ...],
   \"edge\": [{\"ip_address\": \"10.0.1.4\", \"zone_name\": \"north-b\"}, ...]}

It may also hold `node_name` for each machine, `ports` (control_port, directory_port, front_plain, readiness,
first_internal, last_internal), `beat_period_ms`, `memory_size_mb`, `descriptor_limit` and `rule_bounds`.";

pub fn command() -> Command {
    let arg = |name: &'static str, value: &'static str| Arg::new(name).long(name).value_name(value);
    let count = |name: &'static str, usual: &'static str| {
        arg(name, "N").value_parser(value_parser!(u32)).default_value(usual).conflicts_with("scheme")
    };
    let init = Command::new("init")
        .about("Writes and checks the settings files of a whole installation; asks nobody")
        .after_help(ABOUT)
        .arg(arg("dir", "FOLDER").required(true).value_parser(value_parser!(PathBuf)))
        .arg(arg("scheme", "FILE").value_parser(value_parser!(PathBuf)).help("Machines with given addresses"))
        .arg(count("core", "3").help("Core machines: a store and a registry on each"))
        .arg(count("edge", "4").help("Machines with a proxy"))
        .arg(
            arg("zones", "ZONE=REGION,..")
                .value_delimiter(',')
                .default_value("north-a=north,north-b=north,south-a=south")
                .conflicts_with("scheme")
                .help("The machines go round them"),
        )
        .arg(
            arg("net", "127.X.Y.0")
                .value_parser(value_parser!(Ipv4Addr))
                .default_value("127.0.1.0")
                .conflicts_with("scheme")
                .help("The block of loopback addresses"),
        )
        .arg(
            Arg::new("force")
                .long("force")
                .action(ArgAction::SetTrue)
                .help("Writes over files that are there"),
        );
    Command::new("system")
        .about("A whole installation")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(init)
}

pub fn run(given: &ArgMatches) -> Result<String, CommandError> {
    let Some(("init", given)) = given.subcommand() else {
        return Err(CommandError::Usage("system: init".into()));
    };
    let dir = given.get_one::<PathBuf>("dir").expect("required");
    let usage = |path: &Path, e: std::io::Error| CommandError::Usage(format!("{}: {e}", path.display()));
    std::fs::create_dir_all(dir).map_err(|e| usage(dir, e))?;
    let dir = dir.canonicalize().map_err(|e| usage(dir, e))?;
    let scheme = scheme(given, &dir)?;
    let parts = scheme.parts(true).map_err(|e| CommandError::Refused(e.to_string()))?;
    // They say that this is the first start of all: over a system at work that would be false.
    if let Some(there) = parts.iter().map(Part::file).find(|f| dir.join(f).exists())
        && !given.get_flag("force")
    {
        return Err(CommandError::Refused(format!("{} is there already", dir.join(there).display())));
    }
    for part in &parts {
        let path = dir.join(part.file());
        std::fs::write(&path, &part.settings).map_err(|e| usage(&path, e))?;
    }
    Ok(next(&dir, &scheme, &parts))
}

fn scheme(given: &ArgMatches, dir: &Path) -> Result<Scheme, CommandError> {
    if let Some(path) = given.get_one::<PathBuf>("scheme") {
        let text = std::fs::read_to_string(path)
            .map_err(|e| CommandError::Usage(format!("{}: {e}", path.display())))?;
        return Scheme::read(&text).map_err(|e| CommandError::Refused(format!("{}: {e}", path.display())));
    }
    let zone = |text: &String| {
        let pair = text.split_once('=').filter(|(zone, region)| !zone.is_empty() && !region.is_empty());
        let pair = pair.map(|(zone, region)| (zone.to_string(), region.to_string()));
        pair.ok_or_else(|| CommandError::Usage(format!("--zones: expected ZONE=REGION, found {text:?}")))
    };
    let zones: Vec<_> =
        given.get_many::<String>("zones").into_iter().flatten().map(zone).collect::<Result<_, _>>()?;
    let [first, second, third, _] = given.get_one::<Ipv4Addr>("net").expect("it has a default").octets();
    if first != 127 {
        return Err(CommandError::Usage(
            "--net: other addresses than loopback's are named by a --scheme".into(),
        ));
    }
    let count = |name: &str| *given.get_one::<u32>(name).expect("it has a default") as usize;
    let data = dir.join("data").to_string_lossy().into_owned();
    Scheme::loopback([second, third], count("core"), count("edge"), &zones, &data)
        .map_err(|e| CommandError::Usage(e.to_string()))
}

/// What to do with them.
fn next(dir: &Path, scheme: &Scheme, parts: &[Part]) -> String {
    let mut out = format!("{} settings files in {}\n\n", parts.len(), dir.display());
    for part in parts {
        let (program, file) = (part.program.binary(), dir.join(part.file()));
        let _ = writeln!(out, "{:11} {program} --settings {}", part.machine.name, file.display());
    }
    let proxies = parts.iter().filter(|p| p.program == Program::Proxy).count();
    let seeds: Vec<String> = scheme.seeds().iter().map(ToString::to_string).collect();
    let _ = write!(
        out,
        "\nStart each on its machine, in any order; the stores of the {} seeds found the core. Then:\n\n    \
         export CURLEWFRONT_AT={}\n    curlewfront status\n    curlewfront nodes        # {proxies} proxies\n    \
         curlewfront config put FILE --base 0\n\nOnce all have started, set initial_start to false in each file: a store that \
         lost its disk must not found a core of its own.\n",
        seeds.len(),
        seeds.join(",")
    );
    out
}
