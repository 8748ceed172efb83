//! The store of one gateway's part in the group, on `redb`: who it belongs to, the group it was born into, votes, log
//! and snapshot. One write is one transaction, synced before it returns. It never starts afresh in place of a store that
//! cannot be read: every such error names the file and what to do.

use crate::birth::Group;
use crate::mirror::{Hard, LogEntry, Saved, Snap, Write};
use consensus::file;
use redb::backends::FileBackend;
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The form of the tables below. A store of a newer one is refused.
pub const FORMAT: u32 = 1;
const FILE: &str = "fleet.redb";
const LOCK: &str = "fleet.lock";
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Whose store it is. The number of the disk is drawn once, when the store is made.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    pub format: u32,
    pub installation: String,
    pub name: String,
    pub disk: u64,
}

pub use consensus::file::DiskError;

pub struct Store {
    db: Database,
    file: PathBuf,
    pub owner: Owner,
    /// Open in one process at a time; the system lets go of it when the process ends, however it ends.
    _lock: Option<std::fs::File>,
}

/// How writes go to the file between two syncs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Unsynced {
    /// To the system at once, as usual.
    #[default]
    System,
    /// Held in the process until the sync, so that SIGKILL loses what a power loss would: for tests of recovery.
    Held,
}

impl Store {
    /// Opens the store in `dir`, or makes one for this name with the disk's number `fresh` where there is no file.
    pub fn open(
        dir: &Path,
        installation: &str,
        name: &str,
        fresh: u64,
        unsynced: Unsynced,
    ) -> Result<Store, DiskError> {
        let (mut store, lock) = file::open(dir, FILE, LOCK, |backend, file, made| {
            let db = match unsynced {
                Unsynced::System => Builder::new().create_with_backend(backend),
                Unsynced::Held => Builder::new().create_with_backend(Held::new(backend)),
            };
            let db = db.map_err(|e| DiskError::opening(file, &e))?;
            Store::on(db, file.to_path_buf(), installation, name, fresh, made)
        })?;
        store._lock = Some(lock);
        Ok(store)
    }

    /// On any backend, for tests that lose what was not synced.
    pub fn on_backend(
        backend: impl StorageBackend,
        installation: &str,
        name: &str,
        fresh: u64,
    ) -> Result<Store, DiskError> {
        let file = PathBuf::from("(memory)");
        let made = backend.len().is_ok_and(|n| n == 0);
        let db = Builder::new().create_with_backend(backend);
        let db = db.map_err(|e| DiskError::opening(&file, &e))?;
        Store::on(db, file, installation, name, fresh, made)
    }

    fn on(
        db: Database,
        file: PathBuf,
        installation: &str,
        name: &str,
        fresh: u64,
        made: bool,
    ) -> Result<Store, DiskError> {
        let owner = Owner {
            format: FORMAT,
            installation: installation.to_string(),
            name: name.to_string(),
            disk: fresh,
        };
        let mut store = Store { db, file, owner, _lock: None };
        match store.meta::<Owner>("owner")? {
            Some(found) if found.format > FORMAT => {
                let what = format!("has form {}, this program reads up to form {FORMAT}", found.format);
                return Err(store.bad(what));
            }
            Some(found) if found.installation != installation || found.name != name => {
                let what = format!(
                    "belongs to {:?} of installation {:?}, not to {name:?} of {installation:?}",
                    found.name, found.installation
                );
                return Err(store.bad(what));
            }
            Some(found) => store.owner = found,
            // A process that died between making the file and its first sync left nothing that was promised.
            None if made || store.nothing()? => {
                let owner = postcard::to_stdvec(&store.owner).expect("plain data");
                store.transact(|t| {
                    t.open_table(LOG)?;
                    t.open_table(META)?.insert("owner", owner.as_slice())?;
                    Ok(())
                })?;
            }
            None => return Err(store.bad("has no owner: not a store of this program".into())),
        }
        Ok(store)
    }

    fn nothing(&self) -> Result<bool, DiskError> {
        let t = self.db.begin_read().map_err(|e| self.bad(e.to_string()))?;
        let tables = t.list_tables().map_err(|e| self.bad(e.to_string()))?;
        Ok(tables.count() == 0)
    }

    fn bad(&self, what: String) -> DiskError {
        DiskError::new(&self.file, what)
    }

    fn meta<T: for<'a> Deserialize<'a>>(&self, key: &str) -> Result<Option<T>, DiskError> {
        let t = self.db.begin_read().map_err(|e| self.bad(e.to_string()))?;
        let table = match t.open_table(META) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(self.bad(e.to_string())),
        };
        let found = table.get(key).map_err(|e| self.bad(e.to_string()))?;
        found
            .map(|v| {
                postcard::from_bytes(v.value()).map_err(|e| self.bad(format!("{key} cannot be read: {e}")))
            })
            .transpose()
    }

    fn transact(
        &self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), DiskError> {
        file::transact(&self.db, &self.file, work)
    }

    /// What it holds, and the group it was born into (number 0: none yet).
    pub fn load(&self) -> Result<(Group, Saved), DiskError> {
        let group = self.meta("group")?.unwrap_or_default();
        let hard = self.meta("hard")?.unwrap_or_default();
        let snap: Snap = self.meta("snap")?.unwrap_or_default();
        let mut entries: Vec<LogEntry> = Vec::new();
        let t = self.db.begin_read().map_err(|e| self.bad(e.to_string()))?;
        let log = t.open_table(LOG).map_err(|e| self.bad(e.to_string()))?;
        for row in log.iter().map_err(|e| self.bad(e.to_string()))? {
            let (index, bytes) = row.map_err(|e| self.bad(e.to_string()))?;
            let entry: LogEntry = postcard::from_bytes(bytes.value())
                .map_err(|e| self.bad(format!("entry {} of the log cannot be read: {e}", index.value())))?;
            if entry.index != index.value() || entries.last().is_some_and(|l| l.index + 1 != entry.index) {
                return Err(self.bad(format!("the log has a gap before entry {}", index.value())));
            }
            entries.push(entry);
        }
        let first = entries.first().map_or(snap.index + 1, |e| e.index);
        if first > snap.index + 1 {
            return Err(self.bad(format!("nothing between snapshot {} and entry {first}", snap.index)));
        }
        Ok((group, Saved { hard, snap, entries }))
    }

    /// The birth: the group and what its founders begin with (nothing for one that joins).
    pub fn be_born(&self, group: &Group, saved: &Saved) -> Result<(), DiskError> {
        let (group, hard) = (plain(group), plain(&saved.hard));
        let snap = plain(&saved.snap);
        self.transact(|t| {
            let mut meta = t.open_table(META)?;
            meta.insert("group", group.as_slice())?;
            meta.insert("hard", hard.as_slice())?;
            meta.insert("snap", snap.as_slice())?;
            Ok(())
        })
    }

    /// One write, synced when this returns.
    pub fn write(&self, write: &Write) -> Result<(), DiskError> {
        self.transact(|t| {
            let mut meta = t.open_table(META)?;
            let mut log = t.open_table(LOG)?;
            if let Some((snap, keep)) = &write.snap {
                let until = if *keep == 0 { u64::MAX } else { *keep };
                log.retain_in(..until, |_, _| false)?;
                meta.insert("snap", plain(snap).as_slice())?;
            }
            if let Some(first) = write.entries.first() {
                log.retain_in(first.index.., |_, _| false)?;
                for entry in &write.entries {
                    log.insert(entry.index, plain(entry).as_slice())?;
                }
            }
            if let Some(hard) = &write.hard {
                meta.insert("hard", plain::<Hard>(hard).as_slice())?;
            }
            Ok(())
        })
    }
}

fn plain<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).expect("plain data")
}

/// Holds writes back until the sync, so that what a process has not synced is gone with it.
#[derive(Debug)]
struct Held {
    under: FileBackend,
    held: Mutex<Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    /// By offset; no two overlap.
    writes: BTreeMap<u64, Vec<u8>>,
    length: Option<u64>,
}

impl Held {
    fn new(under: FileBackend) -> Held {
        Held { under, held: Mutex::default() }
    }

    fn held(&self) -> MutexGuard<'_, Waiting> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StorageBackend for Held {
    fn len(&self) -> Result<u64, io::Error> {
        match self.held().length {
            Some(length) => Ok(length),
            None => self.under.len(),
        }
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let held = self.held();
        let end = offset + out.len() as u64;
        let there = self.under.len()?.clamp(offset, end) - offset;
        let (known, beyond) = out.split_at_mut(there as usize);
        if !known.is_empty() {
            self.under.read(offset, known)?;
        }
        beyond.fill(0);
        for (at, bytes) in held.writes.range(..end) {
            let (from, to) = ((*at).max(offset), (at + bytes.len() as u64).min(end));
            if from < to {
                let part = &bytes[(from - at) as usize..(to - at) as usize];
                out[(from - offset) as usize..(to - offset) as usize].copy_from_slice(part);
            }
        }
        Ok(())
    }

    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut held = self.held();
        held.length = Some(len);
        held.writes.retain(|at, _| *at < len);
        Ok(())
    }

    fn sync_data(&self) -> Result<(), io::Error> {
        let mut held = self.held();
        if let Some(length) = held.length {
            self.under.set_len(length)?;
        }
        for (at, bytes) in &held.writes {
            self.under.write(*at, bytes)?;
        }
        self.under.sync_data()?;
        (held.length, held.writes) = (None, BTreeMap::new());
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut held = self.held();
        let end = offset + data.len() as u64;
        let over: Vec<u64> = held
            .writes
            .range(..end)
            .filter(|(at, bytes)| **at + bytes.len() as u64 > offset)
            .map(|(at, _)| *at)
            .collect();
        for at in over {
            let bytes = held.writes.remove(&at).unwrap_or_default();
            if at < offset {
                held.writes.insert(at, bytes[..(offset - at) as usize].to_vec());
            }
            if at + bytes.len() as u64 > end {
                held.writes.insert(end, bytes[(end - at) as usize..].to_vec());
            }
        }
        held.writes.insert(offset, data.to_vec());
        Ok(())
    }

    fn close(&self) -> Result<(), io::Error> {
        self.under.close()
    }
}
