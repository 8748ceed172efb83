//! The file of a `redb` store: opened by one process at a time, never replaced by a new one when it cannot be read, and
//! written by transactions that are synced before they return.

use redb::backends::FileBackend;
use redb::{Database, Durability};
use std::fmt;
use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};

/// An error of a store, with the file concerned.
#[derive(Debug)]
pub struct DiskError {
    pub file: PathBuf,
    pub message: String,
    /// The disk is full. Nothing is lost, and a later write may succeed.
    pub full: bool,
}

impl DiskError {
    pub fn new(file: &Path, message: impl Into<String>) -> DiskError {
        DiskError { file: file.to_path_buf(), message: message.into(), full: false }
    }

    /// The error for a database that cannot be opened, with advice on what to do.
    pub fn opening(file: &Path, e: &redb::DatabaseError) -> DiskError {
        let message = match e {
            redb::DatabaseError::DatabaseAlreadyOpen => "is in use by another process".into(),
            redb::DatabaseError::UpgradeRequired(v) => format!("has an older file format ({v})"),
            e => format!("cannot be read: {e}; restore it, or move it away to come back as a new disk"),
        };
        DiskError::new(file, message)
    }
}

impl fmt::Display for DiskError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.message)
    }
}

impl std::error::Error for DiskError {}

/// The name of a new file until its initial content is written and synced.
fn temporary_path(dir: &Path, name: &str) -> PathBuf {
    dir.join(format!("{name}.new"))
}

/// Opens the file `name` in `dir` for this process alone, with the lock file `lock` beside it, and has `read` load its
/// content. `read` is told whether the file is new, and must have synced the initial content when it returns. The
/// operating system releases the lock when the process ends, however it ends.
///
/// A new file is created under a temporary name and renamed once it is complete, before anything is acknowledged. So
/// whichever names survive a loss of power: a file under its final name that cannot be read has lost acknowledged data
/// and is refused; a temporary file holds nothing acknowledged, and is completed or created again.
pub fn open<T>(
    dir: &Path,
    name: &str,
    lock: &str,
    mut read: impl FnMut(FileBackend, &Path, bool) -> Result<T, DiskError>,
) -> Result<(T, File), DiskError> {
    let file = dir.join(name);
    let error = |message: String| DiskError::new(&file, message);
    let directory_error = |e: io::Error| DiskError::new(dir, format!("cannot create the directory: {e}"));
    if !dir.exists() {
        std::fs::create_dir_all(dir).map_err(directory_error)?;
        if let Some(parent) = dir.parent().filter(|p| !p.as_os_str().is_empty()) {
            File::open(parent).and_then(|d| d.sync_all()).map_err(directory_error)?;
        }
    }
    let lock_file = File::create(dir.join(lock))
        .map_err(|e| error(format!("cannot create the lock file {lock}: {e}")))?;
    lock_file.try_lock().map_err(|_| error("is in use by another process".into()))?;
    let (is_new, temporary) = (!file.exists(), temporary_path(dir, name));
    let mut read_file = |at: &Path| {
        let open = std::fs::OpenOptions::new().read(true).write(true).create(is_new).truncate(false).open(at);
        let handle = open.map_err(|e| error(format!("cannot open for writing: {e}")))?;
        let length = handle.metadata().map_err(|e| error(e.to_string()))?.len();
        if !is_new && length == 0 {
            return Err(error(
                "is empty: its content was lost; move it away to come back as a new disk".into(),
            ));
        }
        let backend = FileBackend::new(handle).map_err(|e| DiskError::opening(&file, &e))?;
        read(backend, &file, is_new && length == 0)
    };
    let remove_temporary = || match temporary.exists() {
        true => std::fs::remove_file(&temporary)
            .map_err(|e| error(format!("cannot remove {}: {e}", temporary.display()))),
        false => Ok(()),
    };
    let content = match is_new {
        false => {
            remove_temporary()?;
            read_file(&file)?
        }
        true if temporary.exists() => match read_file(&temporary) {
            Ok(content) => content,
            Err(_) => {
                remove_temporary()?;
                read_file(&temporary)?
            }
        },
        true => read_file(&temporary)?,
    };
    // Synced even for an existing file: the process that created it may have ended before it did so.
    let renamed = if is_new { std::fs::rename(&temporary, &file) } else { Ok(()) };
    let synced = renamed.and_then(|()| File::open(dir)).and_then(|d| d.sync_all());
    synced.map_err(|e| error(format!("cannot be renamed and its directory synced: {e}")))?;
    Ok((content, lock_file))
}

/// Runs one transaction, synced before this returns.
pub fn transact(
    db: &Database,
    file: &Path,
    body: impl FnOnce(&redb::WriteTransaction) -> Result<(), redb::Error>,
) -> Result<(), DiskError> {
    let run = || -> Result<(), redb::Error> {
        let mut t = db.begin_write()?;
        t.set_durability(Durability::Immediate)?;
        body(&t)?;
        t.commit()?;
        Ok(())
    };
    run().map_err(|e| {
        let full = matches!(&e, redb::Error::Io(io) if io.kind() == io::ErrorKind::StorageFull);
        DiskError { full, ..DiskError::new(file, format!("cannot write: {e}")) }
    })
}
