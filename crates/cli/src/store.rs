//! `curlewfront store`: the folder of a store whose program does not run, on the machine itself. Asks nobody.

use crate::error::CommandError;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use config_store::store;
use std::net::Ipv4Addr;
use std::path::{Path, PathBuf};

pub fn command() -> Command {
    let path = |id: &'static str, name: &'static str, help: &'static str| {
        Arg::new(id).value_name(name).required(true).value_parser(value_parser!(PathBuf)).help(help)
    };
    let folder = || path("folder", "FOLDER", "The store's `data_directory`; its program must not run");
    let flag =
        |id: &'static str, help: &'static str| Arg::new(id).long(id).action(ArgAction::SetTrue).help(help);
    let member = Arg::new("member")
        .long("member")
        .value_name("IP")
        .value_parser(value_parser!(Ipv4Addr))
        .help("For this machine, instead of the one that the backup is of");
    Command::new("store")
        .about("A store's folder, while its program does not run")
        .subcommand_required(true)
        .subcommand(Command::new("check").about("Whether it can be relied on; changes nothing").arg(folder()))
        .subcommand(Command::new("dump").about("What it holds, as text without keys").arg(folder()))
        .subcommand(
            Command::new("backup")
                .about("Copies it to a file; a file that is there is left alone")
                .arg(folder())
                .arg(path("file", "FILE", "The backup")),
        )
        .subcommand(
            Command::new("restore")
                .about("Puts a backup into an empty folder, as a new disk that has to be let in")
                .arg(path("file", "FILE", "The backup"))
                .arg(folder())
                .arg(member)
                .arg(flag("over", "Sets aside the store that is in the folder")),
        )
        .subcommand(
            Command::new("refound")
                .about("Founds the core anew from this disk alone, when most of its disks are gone for good")
                .arg(folder())
                .arg(flag("yes", "Does it; without it only what it would mean is shown")),
        )
}

pub fn run(given: &ArgMatches) -> Result<String, CommandError> {
    let Some((name, given)) = given.subcommand() else {
        return Err(CommandError::Usage("what to do?".into()));
    };
    let path = |id: &str| given.get_one::<PathBuf>(id).map_or(Path::new(""), PathBuf::as_path);
    let folder = path("folder");
    // As a store draws the number of a disk that it makes.
    let number = fastrand::u64(1..);
    let done = match name {
        "check" => store::check(folder),
        "dump" => store::dump(folder),
        "backup" => store::backup(folder, path("file")),
        "restore" => {
            let member = given.get_one::<Ipv4Addr>("member").copied();
            store::restore(path("file"), folder, member, number, given.get_flag("over"))
        }
        _ => {
            let yes = given.get_flag("yes");
            let shown = store::refound(folder, number, yes).map_err(CommandError::Refused)?;
            return if yes { Ok(shown) } else { Err(CommandError::Refused(shown)) };
        }
    };
    done.map_err(CommandError::Refused)
}
