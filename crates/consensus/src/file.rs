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

/// The name of a file until all that it begins with is in it and synced.
fn unfinished(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.new"))
}

/// Opens the file `name` in `dir` for this process alone, with the lock file `lock` beside it, and lets `read` make of it
/// what it holds; `read` is told whether the file is new, and has synced what is to be in it when it returns. The system
/// lets go of the lock when the process ends, however it ends.
///
/// A new file is begun under another name and has its own once it is whole, before anything is promised. So whichever
/// names a loss of power keeps: a file of its own name that cannot be read has lost what it promised, and is refused; a
/// begun one has promised nothing, and is taken up or begun again.
pub fn open<T>(
    dir: &Path,
    name: &str,
    lock: &str,
    mut read: impl FnMut(FileBackend, &Path, bool) -> Result<T, DiskError>,
) -> Result<(T, File), DiskError> {
    let file = dir.join(name);
    let bad = |what: String| DiskError::new(&file, what);
    let cannot = |e: io::Error| DiskError::new(dir, format!("cannot make the folder: {e}"));
    if !dir.exists() {
        std::fs::create_dir_all(dir).map_err(cannot)?;
        if let Some(parent) = dir.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent).and_then(|d| d.sync_all()).map_err(cannot)?;
        }
    }
    let held = File::create(dir.join(lock)).map_err(|e| bad(format!("cannot make {lock} beside it: {e}")))?;
    held.try_lock().map_err(|_| bad("is in use by another process".into()))?;
    let (made, begun) = (!file.exists(), unfinished(dir, name));
    let mut read_at = |at: &Path| {
        let open = std::fs::OpenOptions::new().read(true).write(true).create(made).truncate(false).open(at);
        let handle = open.map_err(|e| bad(format!("cannot open for writing: {e}")))?;
        let length = handle.metadata().map_err(|e| bad(e.to_string()))?.len();
        if !made && length == 0 {
            return Err(
                bad("is empty: its content was lost; move it away to come back as a new disk".into()),
            );
        }
        let backend = FileBackend::new(handle).map_err(|e| DiskError::opening(&file, &e))?;
        read(backend, &file, made && length == 0)
    };
    let discard = || match begun.exists() {
        true => {
            std::fs::remove_file(&begun).map_err(|e| bad(format!("cannot remove {}: {e}", begun.display())))
        }
        false => Ok(()),
    };
    let found = match made {
        false => {
            discard()?;
            read_at(&file)?
        }
        true if begun.exists() => match read_at(&begun) {
            Ok(found) => found,
            Err(_) => {
                discard()?;
                read_at(&begun)?
            }
        },
        true => read_at(&begun)?,
    };
    // In any case: the process that made the file may have ended before it did this.
    let named = if made { std::fs::rename(&begun, &file) } else { Ok(()) };
    let synced = named.and_then(|()| File::open(dir)).and_then(|d| d.sync_all());
    synced.map_err(|e| bad(format!("cannot be named and its folder synced: {e}")))?;
    Ok((found, held))
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
