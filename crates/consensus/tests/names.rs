//! The names of a store's files: until the directory is synced, a loss of power may keep or lose each of them
//! separately.

use consensus::disk::Store;
use consensus::{Entry, HardState, Member, Payload, PersistentState, Write};
use std::path::PathBuf;

const ME: Member = Member::new(10, 0, 0, 1);
const FILE: &str = "ratchet.redb";
const TEMPORARY: &str = "ratchet.redb.new";

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("consensus-names-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempDir(path)
    }

    fn open(&self, disk: u64) -> Result<(Store, PersistentState), String> {
        Store::open(&self.0, ME, || (disk, PersistentState::founding([ME]))).map_err(|e| e.to_string())
    }

    /// The names of all files but locks.
    fn names(&self) -> Vec<String> {
        let all = std::fs::read_dir(&self.0).expect("a directory");
        let mut names: Vec<String> =
            all.map(|e| e.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
        names.retain(|name| !name.ends_with(".lock"));
        names.sort();
        names
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn write_of(index: u64) -> Write {
    Write {
        number: index,
        hard: HardState { term: 1, vote: Some(ME), commit: index, voter: true },
        truncate_from: Some(index),
        entries: vec![Entry { term: 1, index, payload: Payload::Noop }],
        ..Write::default()
    }
}

/// A loss of power before the first sync of the directory can leave either name, both or none, and a temporary file
/// that is complete, empty or torn. A store under its final name holds all acknowledged writes. A temporary file holds
/// nothing acknowledged, and is used if it is complete, so that a founder stays a founder.
#[test]
fn after_a_power_loss_the_store_has_all_acknowledged_writes_whichever_file_names_survive() {
    let complete = {
        let dir = TempDir::new("whole");
        let (store, _) = dir.open(7).expect("made");
        store.write(&write_of(1)).expect("written");
        drop(store);
        assert_eq!(dir.names(), [FILE], "it has its name, and no other is left");
        std::fs::read(dir.0.join(FILE)).expect("there")
    };
    let temporary: [Option<&[u8]>; 4] =
        [None, Some(b""), Some(&complete[..complete.len() / 2]), Some(&complete)];
    for (at, temporary) in temporary.into_iter().enumerate() {
        for has_final_name in [false, true] {
            let dir = TempDir::new(&format!("{at}-{has_final_name}"));
            std::fs::create_dir_all(&dir.0).expect("a directory");
            if has_final_name {
                std::fs::write(dir.0.join(FILE), &complete).expect("written");
            }
            if let Some(bytes) = temporary {
                std::fs::write(dir.0.join(TEMPORARY), bytes).expect("written");
            }
            let (store, saved) = dir.open(8).unwrap_or_else(|e| panic!("{at} {has_final_name}: {e}"));
            let (disk, last) = if has_final_name || at == 3 { (7, 1) } else { (8, 0) };
            assert_eq!((store.disk(), saved.last_index()), (disk, last), "{at} {has_final_name}");
            store.write(&write_of(last + 1)).expect("written");
            drop(store);
            assert_eq!(dir.names(), [FILE], "{at} {has_final_name}");
            assert_eq!(dir.open(9).expect("there").1.last_index(), last + 1);
        }
    }
    // A file under its final name that is empty or torn has lost acknowledged writes.
    for bytes in [&b""[..], &complete[..complete.len() / 2]] {
        let dir = TempDir::new("lost");
        std::fs::create_dir_all(&dir.0).expect("a directory");
        std::fs::write(dir.0.join(FILE), bytes).expect("written");
        let error = dir.open(8).err().expect("refused");
        assert!(error.contains(FILE), "{error}");
        assert_eq!(std::fs::read(dir.0.join(FILE)).expect("kept"), bytes);
    }
}
