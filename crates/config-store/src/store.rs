//! Operations on the directory of a store that is not running: check, dump, back up, restore, and found the core anew when
//! most of its disks are lost. Results are texts for the operator; nothing here uses the network.

use cluster::state::{Command, State};
use consensus::disk::{self, DiskError, Store, StoreContents};
use consensus::{Disk, Entry, Member, Membership, Payload, PersistentState};
use serde::{Deserialize, Serialize};
use std::fmt::Write as _;
use std::fs::File;
use std::io::Write as _;
use std::path::Path;

/// The first bytes of a backup file. The format number follows, then the content behind its checksum.
const MAGIC: &[u8; 8] = b"CURLSTOR";
/// The format number of backup files. Files with another one are refused.
pub const FORMAT: u32 = 1;

/// The content of a backup file.
#[derive(Serialize, Deserialize)]
struct Backup {
    member: Member,
    disk: Disk,
    saved: PersistentState,
}

/// Why an operation failed, as text for the operator.
pub type ErrorText = String;

fn error_text(e: DiskError) -> ErrorText {
    e.to_string()
}

// ---- checking and dumping ----

/// Verifies the store in `dir` and summarizes it. The error lists what is wrong with it.
pub fn check(dir: &Path) -> Result<String, ErrorText> {
    let look = disk::inspect(dir).map_err(error_text)?;
    let mut problems = Vec::new();
    if !look.checksums_valid {
        problems.push("pages of the file do not match their checksums".to_string());
    }
    problems.extend(inconsistencies(&look.saved));
    let state = match state_of(&look.saved) {
        Ok(state) => Some(state),
        Err(why) => {
            problems.push(why);
            None
        }
    };
    match problems.is_empty() {
        true => Ok(summary(&look, state.as_ref())),
        false => Err(format!("{}: {}", look.file.display(), problems.join("; "))),
    }
}

/// Contradictions between the log, the stored term and commit index, and the membership.
fn inconsistencies(saved: &PersistentState) -> Vec<String> {
    let mut problems = Vec::new();
    let (hard, snapshot) = (&saved.hard, &saved.snapshot);
    let mut last_term = saved.base.1;
    for entry in &saved.entries {
        if entry.term < last_term {
            problems.push(format!(
                "entry {} has term {}, after an entry of term {last_term}",
                entry.index, entry.term
            ));
        }
        last_term = last_term.max(entry.term);
    }
    if last_term > hard.term {
        problems.push(format!(
            "the log has entries of term {last_term}, but the stored current term is {}",
            hard.term
        ));
    }
    if hard.commit > saved.last_index() {
        problems.push(format!(
            "entry {} is marked as committed, but the log ends at {}",
            hard.commit,
            saved.last_index()
        ));
    }
    if hard.voter && snapshot.membership.members.is_empty() && saved.membership().members.is_empty() {
        problems.push("the disk has a vote, but its membership is empty".into());
    }
    problems
}

/// The state after the last entry, committed or not.
fn state_of(saved: &PersistentState) -> Result<State, ErrorText> {
    let mut state = match saved.snapshot.data.is_empty() {
        true => State::default(),
        false => State::read(0, &saved.snapshot.data)?,
    };
    state.rev = state.rev.max(saved.snapshot.index);
    for entry in &saved.entries {
        if let Payload::Data(data) = &entry.payload {
            let command = postcard::from_bytes::<Command>(data).map_err(|e| {
                format!("entry {} is not a command that this version can decode: {e}", entry.index)
            })?;
            state.apply(0, entry.index, &command);
        }
        state.rev = state.rev.max(entry.index);
    }
    Ok(state)
}

/// The properties of a store, one per line.
fn summary(look: &StoreContents, state: Option<&State>) -> String {
    let StoreContents { file, bytes, member, disk, saved, .. } = look;
    let (hard, snapshot) = (&saved.hard, &saved.snapshot);
    let vote = hard.vote.map_or("nobody".into(), |v| v.to_string());
    let voting = if hard.voter { "voting member" } else { "does not vote until the core admits it" };
    let first = saved.base.0 + 1;
    // The format number is the first field of every encoded state.
    let format = postcard::from_bytes::<u32>(&snapshot.data).map_or("-".into(), |f| f.to_string());
    let log = match saved.entries.is_empty() {
        true => format!("empty after {}", saved.base.0),
        false => {
            let term = saved.entries.last().map_or(saved.base.1, |e| e.term);
            format!("entries {first} to {}, the last of term {term}", saved.last_index())
        }
    };
    let mut out = String::new();
    for (name, text) in [
        ("file", format!("{} ({bytes} bytes)", file.display())),
        ("member", format!("{member}, disk {disk}, {voting}")),
        ("forms", format!("store {}, state {format}", disk::FORMAT)),
        ("term", format!("{}, vote for {vote}", hard.term)),
        ("log", format!("{log}; known to be committed up to {}", hard.commit)),
        ("snapshot", format!("at {}, {} bytes", snapshot.index, snapshot.data.len())),
        ("core", core_members(saved.membership())),
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

fn core_members(membership: &Membership) -> String {
    let members: Vec<String> = membership.members.iter().map(|(m, d)| format!("{m} (disk {d})")).collect();
    if members.is_empty() { "unknown".into() } else { members.join(", ") }
}

/// The whole store as text, without the bodies of configurations, as they hold the keys of tenants.
pub fn dump(dir: &Path) -> Result<String, ErrorText> {
    let look = disk::inspect(dir).map_err(error_text)?;
    let state = state_of(&look.saved);
    let mut out = summary(&look, state.as_ref().ok());
    if let Err(why) = &state {
        let _ = writeln!(out, "{:<14} {why}", "state");
    }
    if let Ok(state) = &state {
        for s in state.servers.values() {
            let draining = if s.draining { ", draining" } else { "" };
            let _ = writeln!(
                out,
                "server         {} of {} at {} in {}{draining}",
                s.id, s.service, s.addr, s.zone
            );
        }
        for n in state.nodes.values() {
            let _ = writeln!(out, "proxy          {} at {} in {}", n.name, n.ip, n.zone);
        }
    }
    for entry in &look.saved.entries {
        let mark = if entry.index <= look.saved.hard.commit { "" } else { " (not known to be committed)" };
        let _ =
            writeln!(out, "entry {:<8} term {:<5} {}{mark}", entry.index, entry.term, describe_entry(entry));
    }
    Ok(out)
}

fn describe_entry(entry: &Entry) -> String {
    let command = match &entry.payload {
        Payload::Noop => return "first entry of a leader".into(),
        Payload::Membership(new) => return format!("core: {}", core_members(new)),
        Payload::Joint { old, new } => {
            return format!("core: {}; before: {}", core_members(new), core_members(old));
        }
        Payload::Data(data) => postcard::from_bytes::<Command>(data),
    };
    match command {
        Ok(command) => command.to_string(),
        Err(e) => format!("not a command that this version can decode: {e}"),
    }
}

// ---- backup and restore ----

/// Writes the whole store to the file `to`, which must not exist yet.
pub fn backup(dir: &Path, to: &Path) -> Result<String, ErrorText> {
    check(dir)?;
    let StoreContents { member, disk, saved, .. } = disk::inspect(dir).map_err(error_text)?;
    let (last, commit) = (saved.last_index(), saved.hard.commit);
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend(disk::encode_checksummed(&Backup { member, disk, saved }));
    let failed = |e: std::io::Error| format!("{}: {e}", to.display());
    // Written under a temporary name until it is complete and synced.
    let mut part = to.as_os_str().to_owned();
    part.push(".part");
    let part = Path::new(&part);
    let mut file = File::create(part).map_err(failed)?;
    file.write_all(&bytes).and_then(|()| file.sync_all()).map_err(failed)?;
    // Unlike a rename, a hard link never replaces an existing file.
    let linked = std::fs::hard_link(part, to);
    std::fs::remove_file(part).map_err(failed)?;
    linked.map_err(failed)?;
    let folder = to.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|d| d.sync_all()).map_err(failed)?;
    Ok(format!(
        "{}: {} bytes, entries up to {last}, known to be committed up to {commit}\n",
        to.display(),
        bytes.len()
    ))
}

fn read_backup(from: &Path) -> Result<Backup, ErrorText> {
    let error = |what: String| format!("{}: {what}", from.display());
    let bytes = std::fs::read(from).map_err(|e| error(e.to_string()))?;
    let rest = bytes.strip_prefix(MAGIC).ok_or_else(|| error("is not a backup of a store".into()))?;
    let (format, rest) = rest.split_first_chunk::<4>().ok_or_else(|| error("is truncated".into()))?;
    match u32::from_le_bytes(*format) {
        FORMAT => disk::decode_checksummed(rest).map_err(error),
        format => Err(error(format!("has form {format}, this program reads form {FORMAT}"))),
    }
}

/// Restores a backup into `dir`, for machine `member` (by default the one that was backed up), as disk number `number`. A
/// directory that is not empty is refused, unless `over` is set: then the store in it is set aside.
pub fn restore(
    from: &Path,
    dir: &Path,
    member: Option<Member>,
    number: Disk,
    over: bool,
) -> Result<String, ErrorText> {
    let backup = read_backup(from)?;
    state_of(&backup.saved)?;
    let member = member.unwrap_or(backup.member);
    let (last, commit) = (backup.saved.last_index(), backup.saved.hard.commit);
    let mut out = String::new();
    if dir.read_dir().is_ok_and(|mut d| d.next().is_some()) {
        if !over {
            let hint = "--over sets the store in it aside";
            return Err(format!("{}: is not empty; {hint}", dir.display()));
        }
        if disk::exists(dir) {
            let existing = disk::inspect(dir);
            let _ = match &existing {
                Ok(l) => writeln!(
                    out,
                    "set aside: disk {} of {}, entries up to {}, known to be committed up to {}; the backup has {last}",
                    l.disk,
                    l.member,
                    l.saved.last_index(),
                    l.saved.hard.commit
                ),
                Err(e) => writeln!(out, "set aside, though it cannot be read: {e}"),
            };
            if existing.is_err_and(|e| e.message.contains("in use")) {
                return Err(format!("{}: is in use by another process", dir.display()));
            }
            let aside = disk::set_aside(dir).map_err(error_text)?;
            let _ = writeln!(out, "it is kept as {}", aside.display());
        }
    }
    let saved = backup.saved.into_non_voter();
    Store::open(dir, member, || (number, saved)).map_err(error_text)?;
    let _ = writeln!(
        out,
        "{}: disk {number} of {member}, entries up to {last} (known to be committed up to {commit})
It starts without a vote: the core admits it first and sends it the entries that it lacks.
Entries acknowledged after entry {last} are not in this copy; they are not lost while a majority of the core has its disks.",
        dir.display()
    );
    Ok(out)
}

// ---- founding the core anew ----

/// Founds a new core whose only member is the store in `dir`, for when a majority of the core's disks is lost for good.
/// Without `yes` nothing is changed, and the text describes the consequences.
pub fn refound(dir: &Path, number: Disk, yes: bool) -> Result<String, ErrorText> {
    check(dir)?;
    let look = disk::inspect(dir).map_err(error_text)?;
    let state = state_of(&look.saved)?;
    let (last, commit, me) = (look.saved.last_index(), look.saved.hard.commit, look.member);
    let other_members: Vec<String> =
        look.saved.membership().members.keys().filter(|m| **m != me).map(Member::to_string).collect();
    let mut out = summary(&look, Some(&state));
    let _ = write!(
        out,
        "
The core is founded anew with {me} alone, from entry {last} of this disk.
Kept      entries up to {commit} are known to be committed; {} more are on this disk, acknowledged or not: they are kept.
May be lost  whatever was acknowledged after entry {last} and had not reached this disk. This disk cannot know how
          much that is. Compare the `log` line of every disk that can still be read, and take the one with the
          highest term of its last entry, among equals the longest log.
Must not come back  the disks of {}: together they may be a majority of the old core and would go on as such,
          beside the new one. Start those machines with empty folders; the new core then admits them.
",
        last - commit.min(last),
        if other_members.is_empty() { "nobody else".into() } else { other_members.join(", ") },
    );
    if !yes {
        out.push_str("Nothing was done. --yes does it.\n");
        return Ok(out);
    }
    let mut new_state = state;
    let data = {
        // A first call, for the index that the new snapshot gets.
        let probe = look.saved.recovered(me, number, Vec::new());
        new_state.rev = probe.snapshot.index;
        new_state.write(0)
    };
    let saved = look.saved.recovered(me, number, data);
    let aside = disk::set_aside(dir).map_err(error_text)?;
    let at = saved.snapshot.index;
    Store::open(dir, me, || (number, saved)).map_err(error_text)?;
    let _ = writeln!(
        out,
        "Done: disk {number} of {me}, at entry {at}. The old store is kept as {}.",
        aside.display()
    );
    Ok(out)
}
