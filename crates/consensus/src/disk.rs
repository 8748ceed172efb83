//! What a member keeps on disk, on `redb`: one write is one transaction, synced before it returns. It never
//! starts afresh in place of a store that cannot be read: every such error names the file and what is wrong
//! with it.

use crate::file;
use crate::{Disk, Entry, Hard, Member, Saved, Snapshot, Write};
use redb::backends::InMemoryBackend;
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use std::cell::LazyCell;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The form of the tables below. A store of another one is refused.
pub const FORMAT: u32 = 1;
const FILE: &str = "ratchet.redb";
const LOCK: &str = "ratchet.lock";
const CACHE_BYTES: usize = 1 << 20;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// Whose store it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    format: u32,
    member: Member,
    disk: Disk,
}

pub use crate::file::DiskError;

pub struct Store {
    db: Database,
    file: PathBuf,
    disk: Disk,
    /// Open in one process at a time; the system lets go of it when the process ends, however it ends.
    _lock: Option<std::fs::File>,
}

impl Store {
    /// Opens the store in `dir`. Where there is none, makes one of what `fresh` says: the disk's number and
    /// what is on it at first ([`Saved::founding`] or [`Saved::blank`]).
    pub fn open(
        dir: &Path,
        member: Member,
        fresh: impl FnOnce() -> (Disk, Saved),
    ) -> Result<(Store, Saved), DiskError> {
        let fresh = LazyCell::new(fresh);
        let ((mut store, saved), lock) = file::open(dir, FILE, LOCK, |backend, file, made| {
            Store::on(backend, file.to_path_buf(), member, || fresh.clone(), made)
        })?;
        store._lock = Some(lock);
        Ok((store, saved))
    }

    /// On any backend, for tests that lose what was not synced.
    pub fn on_backend(
        backend: impl StorageBackend,
        member: Member,
        fresh: impl FnOnce() -> (Disk, Saved),
    ) -> Result<(Store, Saved), DiskError> {
        let made = backend.len().is_ok_and(|n| n == 0);
        Store::on(backend, PathBuf::from("(memory)"), member, fresh, made)
    }

    fn on(
        backend: impl StorageBackend,
        file: PathBuf,
        member: Member,
        fresh: impl FnOnce() -> (Disk, Saved),
        made: bool,
    ) -> Result<(Store, Saved), DiskError> {
        let db = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend);
        let db = db.map_err(|e| DiskError::opening(&file, &e))?;
        let mut store = Store { db, file, disk: 0, _lock: None };
        match store.owner()? {
            Some(found) if found.member != member => {
                return Err(store.bad(format!("belongs to {}, not to {member}", found.member)));
            }
            Some(found) => store.disk = found.disk,
            // A process that died between making the file and its first sync left nothing that was promised.
            None if made || store.nothing()? => {
                let (disk, saved) = fresh();
                store.disk = disk;
                let owner = sealed(&Owner { format: FORMAT, member, disk });
                store.transact(|t| {
                    let mut log = t.open_table(LOG)?;
                    for entry in &saved.entries {
                        log.insert(entry.index, sealed(entry).as_slice())?;
                    }
                    let mut meta = t.open_table(META)?;
                    meta.insert("owner", owner.as_slice())?;
                    meta.insert("hard", sealed(&saved.hard).as_slice())?;
                    meta.insert("snapshot", sealed(&*saved.snapshot).as_slice())?;
                    meta.insert("base", sealed(&saved.base).as_slice())?;
                    Ok(())
                })?;
            }
            None => return Err(store.bad("has no owner: not a store of this program".into())),
        }
        let saved = store.load()?;
        Ok((store, saved))
    }

    fn owner(&self) -> Result<Option<Owner>, DiskError> {
        // The form comes first: a newer store is told from a broken one, whatever else it says of itself.
        match self.meta::<u32>("owner")? {
            Some(form) if form != FORMAT => {
                Err(self.bad(format!("has form {form}, this program reads form {FORMAT}")))
            }
            _ => self.meta("owner"),
        }
    }

    /// The number of the disk, given when the store was made.
    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// One write, synced when this returns. After an error the store is to be opened again.
    pub fn write(&self, write: &Write) -> Result<(), DiskError> {
        self.transact(|t| {
            let mut meta = t.open_table(META)?;
            meta.insert("hard", sealed::<Hard>(&write.hard).as_slice())?;
            if let Some(snapshot) = &write.snapshot {
                meta.insert("snapshot", sealed::<Snapshot>(snapshot).as_slice())?;
            }
            let mut log = t.open_table(LOG)?;
            if let Some(from) = write.from {
                log.retain_in(from.., |_, _| false)?;
                for entry in &write.entries {
                    log.insert(entry.index, sealed(entry).as_slice())?;
                }
            }
            let first = log.first()?.map(|(index, _)| index.value());
            if first.is_some_and(|first| first <= write.base.0) {
                log.retain_in(..=write.base.0, |_, _| false)?;
            }
            meta.insert("base", sealed(&write.base).as_slice())?;
            Ok(())
        })
    }

    fn load(&self) -> Result<Saved, DiskError> {
        let need = |what: &str| self.bad(format!("lacks its {what}"));
        let hard = self.meta("hard")?.ok_or_else(|| need("votes"))?;
        let snapshot: Snapshot = self.meta("snapshot")?.ok_or_else(|| need("snapshot"))?;
        let base: (u64, u64) = self.meta("base")?.ok_or_else(|| need("base"))?;
        let mut entries: Vec<Entry> = Vec::new();
        let t = self.db.begin_read().map_err(|e| self.bad(e.to_string()))?;
        let log = t.open_table(LOG).map_err(|e| self.bad(e.to_string()))?;
        for row in log.iter().map_err(|e| self.bad(e.to_string()))? {
            let (index, bytes) = row.map_err(|e| self.bad(e.to_string()))?;
            let index = index.value();
            let entry: Entry = unsealed(bytes.value())
                .map_err(|e| self.bad(format!("entry {index} of the log cannot be read: {e}")))?;
            if entry.index != index || index != base.0 + 1 + entries.len() as u64 {
                return Err(self.bad(format!("the log has a gap before entry {index}")));
            }
            entries.push(entry);
        }
        if base.0 > snapshot.index || base.0 + (entries.len() as u64) < snapshot.index {
            return Err(self.bad(format!("the log does not reach its snapshot {}", snapshot.index)));
        }
        Ok(Saved { hard, snapshot: Arc::new(snapshot), base, entries })
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
        let read =
            found.map(|v| unsealed(v.value()).map_err(|e| self.bad(format!("{key} cannot be read: {e}"))));
        read.transpose()
    }

    fn transact(
        &self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), DiskError> {
        file::transact(&self.db, &self.file, work)
    }
}

/// What a folder holds, as it was read from a copy in memory: neither its file nor the folder was changed.
#[derive(Clone, Debug)]
pub struct Look {
    pub file: PathBuf,
    pub bytes: u64,
    pub member: Member,
    pub disk: Disk,
    pub saved: Saved,
    /// Every page has the check sum that it was written with.
    pub whole: bool,
}

/// Looks at the store in `dir`, which no process may have open.
pub fn look(dir: &Path) -> Result<Look, DiskError> {
    let file = dir.join(FILE);
    let bad = |what: String| DiskError::new(&file, what);
    let _lock = match std::fs::File::open(dir.join(LOCK)) {
        Ok(lock) => {
            lock.try_lock().map_err(|_| bad("is in use by another process".into()))?;
            Some(lock)
        }
        // Nobody has ever opened it here.
        Err(_) => None,
    };
    let bytes = std::fs::read(&file).map_err(|e| bad(format!("cannot be read: {e}")))?;
    if bytes.is_empty() {
        return Err(bad("is empty: its content was lost".into()));
    }
    let backend = InMemoryBackend::new();
    let filled = backend.set_len(bytes.len() as u64).and_then(|()| backend.write(0, &bytes));
    filled.map_err(|e| bad(e.to_string()))?;
    let db = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend);
    let db = db.map_err(|e| DiskError::opening(&file, &e))?;
    let mut store = Store { db, file: file.clone(), disk: 0, _lock: None };
    let whole = store.db.check_integrity().map_err(|e| bad(e.to_string()))?;
    let owner = store.owner()?.ok_or_else(|| bad("has no owner: not a store of this program".into()))?;
    let saved = store.load()?;
    let bytes = bytes.len() as u64;
    Ok(Look { file, bytes, member: owner.member, disk: owner.disk, saved, whole })
}

/// Whether there is a store in `dir`, readable or not.
pub fn exists(dir: &Path) -> bool {
    dir.join(FILE).exists()
}

/// Moves the store in `dir` out of the way, under a name that says which disk it was; nothing is deleted.
pub fn set_aside(dir: &Path) -> Result<PathBuf, DiskError> {
    let file = dir.join(FILE);
    let free = |n: &u32| !dir.join(format!("{FILE}.aside-{n}")).exists();
    let aside = dir.join(format!("{FILE}.aside-{}", (1..).find(free).expect("a free number")));
    std::fs::rename(&file, &aside)
        .and_then(|()| std::fs::File::open(dir))
        .and_then(|d| d.sync_all())
        .map_err(|e| DiskError::new(&file, format!("cannot be set aside: {e}")))?;
    Ok(aside)
}

/// The value with its check sum in front.
pub fn sealed<T: Serialize>(value: &T) -> Vec<u8> {
    let bytes = postcard::to_extend(value, vec![0; 4]).expect("plain data");
    let mut bytes: Vec<u8> = bytes;
    let sum = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// What [`sealed`] made, if nothing of it has changed.
pub fn unsealed<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    let (sum, bytes) = bytes.split_first_chunk::<4>().ok_or("too short")?;
    if crc32fast::hash(bytes).to_le_bytes() != *sum {
        return Err("its check sum is wrong".into());
    }
    postcard::from_bytes(bytes).map_err(|e| e.to_string())
}
