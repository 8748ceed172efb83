//! The file of a store on `redb`: opened by one process at a time, never begun afresh in place of one that cannot be
//! read, and written by transactions that are synced before they return.

use redb::backends::FileBackend;
use redb::{Database, Durability};
use std::fmt;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// What is wrong with a store: the file, and what of it.
#[derive(Debug)]
pub struct DiskError {
    pub file: PathBuf,
    pub what: String,
    /// The system gives no more room: nothing is lost, and it may get better.
    pub full: bool,
}

impl DiskError {
    pub fn new(file: &Path, what: impl Into<String>) -> DiskError {
        DiskError { file: file.to_path_buf(), what: what.into(), full: false }
    }

    /// That the database in a file cannot be opened, and what to do.
    pub fn opening(file: &Path, e: &redb::DatabaseError) -> DiskError {
        let what = match e {
            redb::DatabaseError::DatabaseAlreadyOpen => "is in use by another process".into(),
            redb::DatabaseError::UpgradeRequired(v) => format!("is in an older form ({v}) of the store"),
            e => format!("cannot be read: {e}; restore it, or move it away to come back as a new disk"),
        };
        DiskError::new(file, what)
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.what)
    }
}

impl std::error::Error for DiskError {}

/// A store's file, open for this process alone.
pub struct Opened {
    pub backend: FileBackend,
    pub file: PathBuf,
    /// The system lets go of it when the process ends, however it ends.
    pub lock: File,
    /// There was no file before.
    pub made: bool,
}

/// Opens the file `name` in `dir`, or makes it, with the lock file `lock` beside it.
pub fn open(dir: &Path, name: &str, lock: &str) -> Result<Opened, DiskError> {
    let file = dir.join(name);
    let bad = |what: String| DiskError::new(&file, what);
    let folder = std::fs::create_dir_all(dir);
    folder.map_err(|e| DiskError::new(dir, format!("cannot make the folder: {e}")))?;
    let held = File::create(dir.join(lock)).map_err(|e| bad(format!("cannot make {lock} beside it: {e}")))?;
    held.try_lock().map_err(|_| bad("is in use by another process".into()))?;
    let made = !file.exists();
    let open = std::fs::OpenOptions::new().read(true).write(true).create(true).truncate(false).open(&file);
    let handle = open.map_err(|e| bad(format!("cannot open for writing: {e}")))?;
    let length = handle.metadata().map_err(|e| bad(e.to_string()))?.len();
    if !made && length == 0 {
        return Err(bad("is empty: its content was lost; move it away to come back as a new disk".into()));
    }
    let backend = FileBackend::new(handle).map_err(|e| DiskError::opening(&file, &e))?;
    Ok(Opened { backend, file, lock: held, made })
}

/// One transaction, synced before this returns.
pub fn transact(
    db: &Database,
    file: &Path,
    work: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
) -> Result<(), DiskError> {
    let run = || -> Result<(), redb::Error> {
        let mut t = db.begin_write()?;
        t.set_durability(Durability::Immediate)?;
        work(&t)?;
        t.commit()?;
        Ok(())
    };
    run().map_err(|e| {
        let full = matches!(&e, redb::Error::Io(io) if io.kind() == io::ErrorKind::StorageFull);
        DiskError { full, ..DiskError::new(file, format!("cannot write: {e}")) }
    })
}
