//! Looking after the folder of a store whose program does not run: check, list, back up, put back, and found the core
//! anew when most of its disks are gone. What is said to the operator is text; nothing here speaks to a network.

use cluster::booking::BookChange;
use cluster::drill::DrillChange;
use cluster::rollout::RolloutChange;
use cluster::state::{Command, NodeChange, ServerChange, State};
use consensus::disk::{self, DiskError, Look, Store};
use consensus::{Disk, Entry, Member, Payload, Roster, Saved};
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;

/// A backup begins with this, then its form, then the sealed content.
const MAGIC: &[u8; 8] = b"CURLSTOR";
/// The form of a backup. Another one is refused.
pub const FORMAT: u32 = 1;

/// What a backup holds.
#[derive(Serialize, Deserialize)]
struct Backup {
    member: Member,
    disk: Disk,
    saved: Saved,
}

/// Why something was not done.
pub type Refused = String;

fn refused(e: DiskError) -> Refused {
    e.to_string()
}

// ---- looking ----

/// What a store holds and whether it can be relied on. Err: what is wrong.
pub fn check(dir: &Path) -> Result<String, Refused> {
    let look = disk::look(dir).map_err(refused)?;
    let mut wrong = Vec::new();
    if !look.whole {
        wrong.push("pages of the file have another check sum than they were written with".to_string());
    }
    wrong.extend(faults(&look.saved));
    let state = match state_of(&look.saved) {
        Ok(state) => Some(state),
        Err(why) => {
            wrong.push(why);
            None
        }
    };
    match wrong.is_empty() {
        true => Ok(told(&look, state.as_ref())),
        false => Err(format!("{}: {}", look.file.display(), wrong.join("; "))),
    }
}

/// What a log that a member wrote cannot be.
fn faults(saved: &Saved) -> Vec<String> {
    let mut wrong = Vec::new();
    let (hard, snapshot) = (&saved.hard, &saved.snapshot);
    let mut before = saved.base.1;
    for entry in &saved.entries {
        if entry.term < before {
            wrong.push(format!("entry {} is of term {}, after one of {before}", entry.index, entry.term));
        }
        before = before.max(entry.term);
    }
    if before > hard.term {
        wrong.push(format!("the log reaches term {before}, the votes only {}", hard.term));
    }
    if hard.commit > saved.last() {
        wrong.push(format!("entry {} is said to count, the log ends at {}", hard.commit, saved.last()));
    }
    if hard.standing && snapshot.roster.members.is_empty() && saved.roster().members.is_empty() {
        wrong.push("it votes, and knows no group".into());
    }
    wrong
}

/// The state after the last entry, counted or not.
fn state_of(saved: &Saved) -> Result<State, Refused> {
    let mut state = match saved.snapshot.data.is_empty() {
        true => State::default(),
        false => State::read(0, &saved.snapshot.data)?,
    };
    state.rev = state.rev.max(saved.snapshot.index);
    for entry in &saved.entries {
        if let Payload::Data(data) = &entry.payload {
            let command = postcard::from_bytes::<Command>(data)
                .map_err(|e| format!("entry {}: no command of this program: {e}", entry.index))?;
            state.apply(0, entry.index, &command);
        }
        state.rev = state.rev.max(entry.index);
    }
    Ok(state)
}

fn told(look: &Look, state: Option<&State>) -> String {
    let Look { file, bytes, member, disk, saved, .. } = look;
    let (hard, snapshot) = (&saved.hard, &saved.snapshot);
    let vote = hard.vote.map_or("nobody".into(), |v| v.to_string());
    let stands = if hard.standing { "votes and counts" } else { "does not vote until it is let in" };
    let first = saved.base.0 + 1;
    // It stands first in every state.
    let form = postcard::from_bytes::<u32>(&snapshot.data).map_or("-".into(), |f| f.to_string());
    let log = match saved.entries.is_empty() {
        true => format!("empty after {}", saved.base.0),
        false => {
            let term = saved.entries.last().map_or(saved.base.1, |e| e.term);
            format!("entries {first} to {}, the last of term {term}", saved.last())
        }
    };
    let mut out = String::new();
    for (name, text) in [
        ("file", format!("{} ({bytes} bytes)", file.display())),
        ("member", format!("{member}, disk {disk}, {stands}")),
        ("forms", format!("store {}, state {form}", disk::FORMAT)),
        ("term", format!("{}, vote for {vote}", hard.term)),
        ("log", format!("{log}; known to count up to {}", hard.commit)),
        ("snapshot", format!("at {}, {} bytes", snapshot.index, snapshot.data.len())),
        ("core", core(saved.roster())),
    ] {
        let _ = writeln!(out, "{name:<14} {text}");
    }
    if let Some(state) = state {
        let zones: Vec<&str> = state.evacuated.iter().map(String::as_str).collect();
        for (name, text) in [
            ("configuration", format!("{:08x}", state.version())),
            ("servers", state.servers.len().to_string()),
            ("proxies", state.nodes.len().to_string()),
            ("evacuated", if zones.is_empty() { "-".into() } else { zones.join(", ") }),
        ] {
            let _ = writeln!(out, "{name:<14} {text}");
        }
    }
    out
}

fn core(roster: &Roster) -> String {
    let members: Vec<String> = roster.members.iter().map(|(m, d)| format!("{m} (disk {d})")).collect();
    if members.is_empty() { "unknown".into() } else { members.join(", ") }
}

/// All of a store as text, without the bodies of configurations: they hold the keys of tenants.
pub fn dump(dir: &Path) -> Result<String, Refused> {
    let look = disk::look(dir).map_err(refused)?;
    let state = state_of(&look.saved);
    let mut out = told(&look, state.as_ref().ok());
    if let Err(why) = &state {
        let _ = writeln!(out, "{:<14} {why}", "state");
    }
    if let Ok(state) = &state {
        for s in state.servers.values() {
            let drains = if s.draining { ", draining" } else { "" };
            let _ =
                writeln!(out, "server         {} of {} at {} in {}{drains}", s.id, s.service, s.addr, s.zone);
        }
        for n in state.nodes.values() {
            let _ = writeln!(out, "proxy          {} at {} in {}", n.name, n.ip, n.zone);
        }
    }
    for entry in &look.saved.entries {
        let mark = if entry.index <= look.saved.hard.commit { "" } else { " (not known to count)" };
        let _ = writeln!(out, "entry {:<8} term {:<5} {}{mark}", entry.index, entry.term, words(entry));
    }
    Ok(out)
}

fn words(entry: &Entry) -> String {
    let command = match &entry.payload {
        Payload::Nothing => return "a leader begins".into(),
        Payload::Roster(new) => return format!("core: {}", core(new)),
        Payload::Joint { old, new } => return format!("core: {}; before: {}", core(new), core(old)),
        Payload::Data(data) => postcard::from_bytes::<Command>(data),
    };
    match command {
        Ok(command) => command_words(command),
        Err(e) => format!("no command of this program: {e}"),
    }
}

fn command_words(command: Command) -> String {
    match command {
        Command::Configure(c) => {
            let what = if c.patch { "patch" } else { "configuration" };
            format!("{what} on {:08x}, {} bytes", c.base, c.body.len())
        }
        Command::Evacuate { zone, on } => {
            format!("{} {zone}", if on { "evacuate" } else { "return" })
        }
        Command::Servers(changes) => {
            let one = |c: &ServerChange| match c {
                ServerChange::Up(s) => format!("{} up", s.id),
                ServerChange::Draining { id } => format!("{id} drains"),
                ServerChange::Cold { id, .. } => format!("{id} cold"),
                ServerChange::Gone { id, .. } => format!("{id} gone"),
                ServerChange::Runs { id, version } => format!("{id} runs {version}"),
            };
            format!("servers: {}", changes.iter().map(one).collect::<Vec<_>>().join(", "))
        }
        Command::Nodes(changes) => {
            let one = |c: &NodeChange| match c {
                NodeChange::Up(n) => format!("{} up", n.name),
                NodeChange::Gone { ip } => format!("{ip} gone"),
            };
            format!("proxies: {}", changes.iter().map(one).collect::<Vec<_>>().join(", "))
        }
        Command::Book(change) => match change {
            BookChange::Put { booking, .. } => format!("booking {}", booking.name),
            BookChange::Cancel { name } => format!("booking {name} cancelled"),
            BookChange::Phase { name, epoch, .. } => format!("booking {name} goes on from phase {epoch}"),
            BookChange::Divide { name, number, parts } => {
                format!("booking {name} divided over {}, number {number}", parts.len())
            }
        },
        Command::Drill(change) => match change {
            DrillChange::Start(drill) => format!("drill {}", drill.name),
            DrillChange::Stop { name, why, .. } => format!("drill {name} ended: {why}"),
            DrillChange::Rows(rows) => format!("drills: told by {} proxies", rows.len()),
        },
        Command::Rollout(change) => match change {
            RolloutChange::Start { order, .. } => {
                format!("rollout of {} to {}", order.service, order.target_version)
            }
            RolloutChange::Advance { service, to, reason, .. } => {
                format!("rollout of {service} {}: {reason}", to.name())
            }
            RolloutChange::Stop { service } => format!("rollout of {service} stopped"),
        },
        Command::Fenced { seen, order } => format!("{}, as of {seen}", command_words(*order)),
    }
}

// ---- backing up and putting back ----

/// Writes all of a store to the file `to`, which must not be there yet.
pub fn backup(dir: &Path, to: &Path) -> Result<String, Refused> {
    check(dir)?;
    let Look { member, disk, saved, .. } = disk::look(dir).map_err(refused)?;
    let (last, commit) = (saved.last(), saved.hard.commit);
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend(disk::sealed(&Backup { member, disk, saved }));
    let failed = |e: std::io::Error| format!("{}: {e}", to.display());
    // Under another name until it is whole.
    let mut part = to.as_os_str().to_owned();
    part.push(".part");
    let part = Path::new(&part);
    let mut file = File::create(part).map_err(failed)?;
    file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(failed)?;
    // A link, unlike a rename, never takes the place of a file that is there.
    let linked = std::fs::hard_link(part, to);
    std::fs::remove_file(part).map_err(failed)?;
    linked.map_err(failed)?;
    let folder = to.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|d| d.sync_all()).map_err(failed)?;
    Ok(format!(
        "{}: {} bytes, entries up to {last}, known to count up to {commit}\n",
        to.display(),
        bytes.len()
    ))
}

fn read_backup(from: &Path) -> Result<Backup, Refused> {
    let bad = |what: String| format!("{}: {what}", from.display());
    let bytes = std::fs::read(from).map_err(|e| bad(e.to_string()))?;
    let rest = bytes.strip_prefix(MAGIC).ok_or_else(|| bad("is no backup of a store".into()))?;
    let (form, rest) = rest.split_first_chunk::<4>().ok_or_else(|| bad("is cut short".into()))?;
    match u32::from_le_bytes(*form) {
        FORMAT => disk::unsealed(rest).map_err(bad),
        form => Err(bad(format!("has form {form}, this program reads form {FORMAT}"))),
    }
}

/// Puts a backup into `dir`, for machine `member` (else the one that it is of), as disk number `number`. A folder that
/// holds anything is refused, or with `over` the store in it is set aside.
pub fn restore(
    from: &Path,
    dir: &Path,
    member: Option<Member>,
    number: Disk,
    over: bool,
) -> Result<String, Refused> {
    let backup = read_backup(from)?;
    state_of(&backup.saved)?;
    let member = member.unwrap_or(backup.member);
    let (last, commit) = (backup.saved.last(), backup.saved.hard.commit);
    let mut out = String::new();
    if dir.read_dir().is_ok_and(|mut d| d.next().is_some()) {
        if !over {
            let hint = "--over sets the store in it aside";
            return Err(format!("{}: is not empty; {hint}", dir.display()));
        }
        if disk::exists(dir) {
            let held = disk::look(dir);
            let _ = match &held {
                Ok(l) => writeln!(
                    out,
                    "set aside: disk {} of {}, entries up to {}, known to count up to {}; the backup has {last}",
                    l.disk,
                    l.member,
                    l.saved.last(),
                    l.saved.hard.commit
                ),
                Err(e) => writeln!(out, "set aside, though it cannot be read: {e}"),
            };
            if held.is_err_and(|e| e.what.contains("in use")) {
                return Err(format!("{}: is in use by another process", dir.display()));
            }
            let aside = disk::set_aside(dir).map_err(refused)?;
            let _ = writeln!(out, "it is kept as {}", aside.display());
        }
    }
    let saved = backup.saved.stranger();
    Store::open(dir, member, || (number, saved)).map_err(refused)?;
    let _ = writeln!(
        out,
        "{}: disk {number} of {member}, entries up to {last} (known to count up to {commit})
It comes back as a stranger: it votes only after the core has let it in, and is given what it lacks.
What was acknowledged after entry {last} is not in this copy; while most of the core is there nothing of it is lost.",
        dir.display()
    );
    Ok(out)
}

// ---- when most of the core's disks are gone ----

/// Founds the core anew from the store in `dir`, alone. Without `yes` nothing is done; the text says what it would mean.
pub fn refound(dir: &Path, number: Disk, yes: bool) -> Result<String, Refused> {
    check(dir)?;
    let look = disk::look(dir).map_err(refused)?;
    let state = state_of(&look.saved)?;
    let (last, commit, me) = (look.saved.last(), look.saved.hard.commit, look.member);
    let others: Vec<String> =
        look.saved.roster().members.keys().filter(|m| **m != me).map(Member::to_string).collect();
    let mut out = told(&look, Some(&state));
    let _ = write!(
        out,
        "
The core begins anew with {me} alone, from entry {last} of this disk.
Kept      entries up to {commit} are known to have counted; {} more are on this disk, acknowledged or not: they stay.
May be lost  whatever was acknowledged after entry {last} and had not reached this disk. This disk cannot know how
          much that is. Compare the `log` line of every disk that can still be read, and take the one with the
          highest term of its last entry, among equals the longest.
Must not come back  the disks of {}: together they may be a majority of the old core and would go on as such,
          beside the new one. Start those machines with empty folders; they are then let in.
",
        last - commit.min(last),
        if others.is_empty() { "nobody else".into() } else { others.join(", ") },
    );
    if !yes {
        out.push_str("Nothing was done. --yes does it.\n");
        return Ok(out);
    }
    let mut anew = state;
    let data = {
        let probe = look.saved.refounded(me, number, Vec::new());
        anew.rev = probe.snapshot.index;
        anew.write(0)
    };
    let saved = look.saved.refounded(me, number, data);
    let aside = disk::set_aside(dir).map_err(refused)?;
    let at = saved.snapshot.index;
    Store::open(dir, me, || (number, saved)).map_err(refused)?;
    let _ = writeln!(
        out,
        "Done: disk {number} of {me}, at entry {at}. The old store is kept as {}.",
        aside.display()
    );
    Ok(out)
}
