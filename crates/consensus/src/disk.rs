//! The persistent state of a member, in a `redb` database. One write is one transaction, synced before it returns. A
//! store that cannot be read is never replaced by a new one: every such error names the file and what is wrong with it.

use crate::file;
use crate::{Disk, Entry, HardState, Member, PersistentState, Snapshot, Write};
use redb::backends::InMemoryBackend;
use redb::{Builder, Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use serde::{Deserialize, Serialize};
use std::cell::LazyCell;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The format of the tables below. A store of another format is refused.
pub const FORMAT: u32 = 1;
const FILE: &str = "ratchet.redb";
const LOCK: &str = "ratchet.lock";
const CACHE_BYTES: usize = 1 << 20;
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");

/// The member and disk that a store belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Owner {
    format: u32,
    member: Member,
    disk: Disk,
}

pub use crate::file::DiskError;

/// An open store.
pub struct Store {
    db: Database,
    file: PathBuf,
    disk: Disk,
    /// Keeps other processes from opening the store. The operating system releases it when the process ends, however it
    /// ends.
    _lock: Option<std::fs::File>,
}

impl Store {
    /// Opens the store in `dir`. If there is none, creates one with the disk number and initial state that `initial`
    /// returns ([`PersistentState::founding`] or [`PersistentState::empty`]).
    pub fn open(
        dir: &Path,
        member: Member,
        initial: impl FnOnce() -> (Disk, PersistentState),
    ) -> Result<(Store, PersistentState), DiskError> {
        let initial = LazyCell::new(initial);
        let ((mut store, saved), lock) = file::open(dir, FILE, LOCK, |backend, file, is_new| {
            Store::open_or_create(backend, file.to_path_buf(), member, || initial.clone(), is_new)
        })?;
        store._lock = Some(lock);
        Ok((store, saved))
    }

    /// Opens a store on any backend, for tests that lose unsynced data.
    pub fn on_backend(
        backend: impl StorageBackend,
        member: Member,
        initial: impl FnOnce() -> (Disk, PersistentState),
    ) -> Result<(Store, PersistentState), DiskError> {
        let is_new = backend.len().is_ok_and(|n| n == 0);
        Store::open_or_create(backend, PathBuf::from("(memory)"), member, initial, is_new)
    }

    fn open_or_create(
        backend: impl StorageBackend,
        file: PathBuf,
        member: Member,
        initial: impl FnOnce() -> (Disk, PersistentState),
        is_new: bool,
    ) -> Result<(Store, PersistentState), DiskError> {
        let db = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend);
        let db = db.map_err(|e| DiskError::opening(&file, &e))?;
        let mut store = Store { db, file, disk: 0, _lock: None };
        match store.owner()? {
            Some(found) if found.member != member => {
                return Err(store.error(format!("belongs to {}, not to {member}", found.member)));
            }
            Some(found) => store.disk = found.disk,
            // A process that ended between creating the file and its first sync has acknowledged nothing.
            None if is_new || store.has_no_tables()? => {
                let (disk, saved) = initial();
                store.disk = disk;
                let owner = encode_checksummed(&Owner { format: FORMAT, member, disk });
                store.transact(|t| {
                    let mut log = t.open_table(LOG)?;
                    for entry in &saved.entries {
                        log.insert(entry.index, encode_checksummed(entry).as_slice())?;
                    }
                    let mut meta = t.open_table(META)?;
                    meta.insert("owner", owner.as_slice())?;
                    meta.insert("hard", encode_checksummed(&saved.hard).as_slice())?;
                    meta.insert("snapshot", encode_checksummed(&*saved.snapshot).as_slice())?;
                    meta.insert("base", encode_checksummed(&saved.base).as_slice())?;
                    Ok(())
                })?;
            }
            None => return Err(store.error("has no owner: not a store of this program".into())),
        }
        let saved = store.load()?;
        Ok((store, saved))
    }

    fn owner(&self) -> Result<Option<Owner>, DiskError> {
        // The format is read first, so that a store of a newer format is told from a damaged one, whatever else its
        // owner record contains.
        match self.meta::<u32>("owner")? {
            Some(format) if format != FORMAT => {
                Err(self.error(format!("has form {format}, this program reads form {FORMAT}")))
            }
            _ => self.meta("owner"),
        }
    }

    /// The number of the disk, set when the store was created.
    pub fn disk(&self) -> Disk {
        self.disk
    }

    /// Performs one write, synced when this returns. After an error the store has to be opened again.
    pub fn write(&self, write: &Write) -> Result<(), DiskError> {
        self.transact(|t| {
            let mut meta = t.open_table(META)?;
            meta.insert("hard", encode_checksummed::<HardState>(&write.hard).as_slice())?;
            if let Some(snapshot) = &write.snapshot {
                meta.insert("snapshot", encode_checksummed::<Snapshot>(snapshot).as_slice())?;
            }
            let mut log = t.open_table(LOG)?;
            if let Some(from) = write.truncate_from {
                log.retain_in(from.., |_, _| false)?;
                for entry in &write.entries {
                    log.insert(entry.index, encode_checksummed(entry).as_slice())?;
                }
            }
            let first = log.first()?.map(|(index, _)| index.value());
            if first.is_some_and(|first| first <= write.base.0) {
                log.retain_in(..=write.base.0, |_, _| false)?;
            }
            meta.insert("base", encode_checksummed(&write.base).as_slice())?;
            Ok(())
        })
    }

    fn load(&self) -> Result<PersistentState, DiskError> {
        let missing = |what: &str| self.error(format!("lacks its {what}"));
        let hard = self.meta("hard")?.ok_or_else(|| missing("hard state"))?;
        let snapshot: Snapshot = self.meta("snapshot")?.ok_or_else(|| missing("snapshot"))?;
        let base: (u64, u64) = self.meta("base")?.ok_or_else(|| missing("base"))?;
        let mut entries: Vec<Entry> = Vec::new();
        let t = self.db.begin_read().map_err(|e| self.error(e.to_string()))?;
        let log = t.open_table(LOG).map_err(|e| self.error(e.to_string()))?;
        for row in log.iter().map_err(|e| self.error(e.to_string()))? {
            let (index, bytes) = row.map_err(|e| self.error(e.to_string()))?;
            let index = index.value();
            let entry: Entry = decode_checksummed(bytes.value())
                .map_err(|e| self.error(format!("entry {index} of the log cannot be read: {e}")))?;
            if entry.index != index || index != base.0 + 1 + entries.len() as u64 {
                return Err(self.error(format!("the log has a gap before entry {index}")));
            }
            entries.push(entry);
        }
        if base.0 > snapshot.index || base.0 + (entries.len() as u64) < snapshot.index {
            return Err(self.error(format!("the log does not reach its snapshot {}", snapshot.index)));
        }
        Ok(PersistentState { hard, snapshot: Arc::new(snapshot), base, entries })
    }

    fn has_no_tables(&self) -> Result<bool, DiskError> {
        let t = self.db.begin_read().map_err(|e| self.error(e.to_string()))?;
        let tables = t.list_tables().map_err(|e| self.error(e.to_string()))?;
        Ok(tables.count() == 0)
    }

    fn error(&self, what: String) -> DiskError {
        DiskError::new(&self.file, what)
    }

    fn meta<T: for<'a> Deserialize<'a>>(&self, key: &str) -> Result<Option<T>, DiskError> {
        let t = self.db.begin_read().map_err(|e| self.error(e.to_string()))?;
        let table = match t.open_table(META) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(self.error(e.to_string())),
        };
        let found = table.get(key).map_err(|e| self.error(e.to_string()))?;
        let read = found.map(|v| {
            decode_checksummed(v.value()).map_err(|e| self.error(format!("{key} cannot be read: {e}")))
        });
        read.transpose()
    }

    fn transact(
        &self,
        work: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
    ) -> Result<(), DiskError> {
        file::transact(&self.db, &self.file, work)
    }
}

/// The content of a store, read from a copy in memory, so that neither the file nor its directory is changed.
#[derive(Clone, Debug)]
pub struct StoreContents {
    pub file: PathBuf,
    pub bytes: u64,
    pub member: Member,
    pub disk: Disk,
    pub saved: PersistentState,
    /// Every page of the database has the checksum that it was written with.
    pub checksums_valid: bool,
}

/// Reads the store in `dir`, which no process may have open.
pub fn inspect(dir: &Path) -> Result<StoreContents, DiskError> {
    let file = dir.join(FILE);
    let error = |what: String| DiskError::new(&file, what);
    let _lock = match std::fs::File::open(dir.join(LOCK)) {
        Ok(lock) => {
            lock.try_lock().map_err(|_| error("is in use by another process".into()))?;
            Some(lock)
        }
        // No process has opened the store in this directory yet.
        Err(_) => None,
    };
    let bytes = std::fs::read(&file).map_err(|e| error(format!("cannot be read: {e}")))?;
    if bytes.is_empty() {
        return Err(error("is empty: its content was lost".into()));
    }
    let backend = InMemoryBackend::new();
    let copied = backend.set_len(bytes.len() as u64).and_then(|()| backend.write(0, &bytes));
    copied.map_err(|e| error(e.to_string()))?;
    let db = Builder::new().set_cache_size(CACHE_BYTES).create_with_backend(backend);
    let db = db.map_err(|e| DiskError::opening(&file, &e))?;
    let mut store = Store { db, file: file.clone(), disk: 0, _lock: None };
    let checksums_valid = store.db.check_integrity().map_err(|e| error(e.to_string()))?;
    let owner = store.owner()?.ok_or_else(|| error("has no owner: not a store of this program".into()))?;
    let saved = store.load()?;
    let bytes = bytes.len() as u64;
    Ok(StoreContents { file, bytes, member: owner.member, disk: owner.disk, saved, checksums_valid })
}

/// Whether there is a store in `dir`, readable or not.
pub fn exists(dir: &Path) -> bool {
    dir.join(FILE).exists()
}

/// Moves the store in `dir` out of the way, under the first free `.aside-N` name; nothing is deleted.
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

/// Encodes a value with its checksum in front.
pub fn encode_checksummed<T: Serialize>(value: &T) -> Vec<u8> {
    let bytes = postcard::to_extend(value, vec![0; 4]).expect("plain data");
    let mut bytes: Vec<u8> = bytes;
    let sum = crc32fast::hash(&bytes[4..]);
    bytes[..4].copy_from_slice(&sum.to_le_bytes());
    bytes
}

/// Decodes the output of [`encode_checksummed`], unless its bytes have changed.
pub fn decode_checksummed<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, String> {
    let (sum, bytes) = bytes.split_first_chunk::<4>().ok_or("too short")?;
    if crc32fast::hash(bytes).to_le_bytes() != *sum {
        return Err("its check sum is wrong".into());
    }
    postcard::from_bytes(bytes).map_err(|e| e.to_string())
}
