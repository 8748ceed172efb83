//! The names of a store's files, of which a loss of power may keep or lose each by itself until the folder is synced.

use consensus::disk::Store;
use consensus::{Entry, Hard, Member, Payload, Saved, Write};
use std::path::PathBuf;

const ME: Member = Member::new(10, 0, 0, 1);
const FILE: &str = "ratchet.redb";
const BEGUN: &str = "ratchet.redb.new";

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("ratchet-names-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }

    fn open(&self, disk: u64) -> Result<(Store, Saved), String> {
        Store::open(&self.0, ME, || (disk, Saved::founding([ME]))).map_err(|e| e.to_string())
    }

    /// The names of what is there, locks left out.
    fn names(&self) -> Vec<String> {
        let all = std::fs::read_dir(&self.0).expect("a folder");
        let mut names: Vec<String> =
            all.map(|e| e.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
        names.retain(|name| !name.ends_with(".lock"));
        names.sort();
        names
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn written(index: u64) -> Write {
    Write {
        number: index,
        hard: Hard { term: 1, vote: Some(ME), commit: index, standing: true },
        from: Some(index),
        entries: vec![Entry { term: 1, index, payload: Payload::Nothing }],
        ..Write::default()
    }
}

/// What a loss of power before the first sync of the folder can leave: either name, both or none, and a begun file that is
/// whole, empty or torn. A store whose own name is there holds all that it promised; one that is only begun has promised
/// nothing, and is taken up where it is whole: a founder is still one.
#[test]
fn whichever_names_a_loss_of_power_keeps_the_store_opens_and_has_what_it_promised() {
    let whole = {
        let folder = Folder::new("whole");
        let (store, _) = folder.open(7).expect("made");
        store.write(&written(1)).expect("written");
        drop(store);
        assert_eq!(folder.names(), [FILE], "it has its name, and no other is left");
        std::fs::read(folder.0.join(FILE)).expect("there")
    };
    let begun: [Option<&[u8]>; 4] = [None, Some(b""), Some(&whole[..whole.len() / 2]), Some(&whole)];
    for (at, begun) in begun.into_iter().enumerate() {
        for named in [false, true] {
            let folder = Folder::new(&format!("{at}-{named}"));
            std::fs::create_dir_all(&folder.0).expect("a folder");
            if named {
                std::fs::write(folder.0.join(FILE), &whole).expect("written");
            }
            if let Some(bytes) = begun {
                std::fs::write(folder.0.join(BEGUN), bytes).expect("written");
            }
            let (store, saved) = folder.open(8).unwrap_or_else(|e| panic!("{at} {named}: {e}"));
            let (disk, last) = if named || at == 3 { (7, 1) } else { (8, 0) };
            assert_eq!((store.disk(), saved.last()), (disk, last), "{at} {named}");
            store.write(&written(last + 1)).expect("written");
            drop(store);
            assert_eq!(folder.names(), [FILE], "{at} {named}");
            assert_eq!(folder.open(9).expect("there").1.last(), last + 1);
        }
    }
    // A file of its own name that is empty or torn lost what it had promised.
    for bytes in [&b""[..], &whole[..whole.len() / 2]] {
        let folder = Folder::new("lost");
        std::fs::create_dir_all(&folder.0).expect("a folder");
        std::fs::write(folder.0.join(FILE), bytes).expect("written");
        let error = folder.open(8).err().expect("refused");
        assert!(error.contains(FILE), "{error}");
        assert_eq!(std::fs::read(folder.0.join(FILE)).expect("kept"), bytes);
    }
}
