//! The store: what is synced stays, what cannot be read is refused by name, nothing starts afresh unsaid.

use consensus::disk::Store;
use consensus::{Entry, Hard, Member, Payload, Roster, Saved, Snapshot, Write};
use redb::StorageBackend;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

const ME: Member = Member::new(10, 0, 0, 1);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("ratchet-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }

    fn open(&self, member: Member) -> Result<(Store, Saved), String> {
        Store::open(&self.0, member, || (7, Saved::founding([ME]))).map_err(|e| e.to_string())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes as a member makes them: entries, a truncation, snapshots, votes.
fn steps() -> Vec<Write> {
    let mut steps = Vec::new();
    let (mut index, mut base) = (1, (0, 0));
    for round in 0..16u64 {
        let term = 1 + round / 4;
        let from = if round % 4 == 0 && round > 0 { index - 1 } else { index };
        let data = |n: u64| Payload::Data(vec![n as u8; 40]);
        let entries: Vec<Entry> =
            (from..from + 3).map(|index| Entry { term, index, payload: data(index) }).collect();
        index = from + 3;
        let snapshot = (round % 4 == 3).then(|| {
            let roster = Roster { members: [(ME, 7)].into() };
            Arc::new(Snapshot { index: index - 2, term, roster, roster_index: 1, data: vec![7; 900] })
        });
        if snapshot.is_some() {
            base = (index - 3, term);
        }
        let hard = Hard { term, vote: Some(ME), commit: index - 2, standing: true };
        steps.push(Write { number: round + 1, hard, snapshot, base, from: Some(from), entries });
    }
    steps
}

#[test]
fn what_was_written_is_there_again_and_belongs_to_one_member_and_one_process() {
    let folder = Folder::new("again");
    let (store, mut wanted) = folder.open(ME).expect("made");
    for write in steps() {
        store.write(&write).expect("written");
        write.apply(&mut wanted);
    }
    let error = folder.open(ME).err().expect("one process at a time");
    assert!(error.contains("in use by another process"), "{error}");
    drop(store);
    let error = folder.open(Member::new(10, 0, 0, 2)).err().expect("refused");
    assert!(error.contains("ratchet.redb") && error.contains("belongs to 10.0.0.1"), "{error}");
    let (store, found) = Store::open(&folder.0, ME, || panic!("it is there")).expect("opened");
    assert_eq!((store.disk(), found), (7, wanted));
}

#[test]
fn a_store_that_cannot_be_read_is_refused_and_kept() {
    for (what, content) in [("empty", &b""[..]), ("foreign", &b"not a store at all, just some text"[..])] {
        let folder = Folder::new(what);
        std::fs::create_dir_all(&folder.0).expect("a folder");
        std::fs::write(folder.0.join("ratchet.redb"), content).expect("written");
        let error = folder.open(ME).err().expect("refused");
        assert!(error.contains("ratchet.redb"), "{error}");
        let kept = std::fs::read(folder.0.join("ratchet.redb")).expect("still there");
        assert_eq!(kept, content, "nothing is written over it");
    }
    let folder = Folder::new("changed");
    let (store, _) = folder.open(ME).expect("made");
    for write in steps() {
        store.write(&write).expect("written");
    }
    drop(store);
    let path = folder.0.join("ratchet.redb");
    let whole = std::fs::read(&path).expect("there");
    std::fs::write(&path, &whole[..whole.len() / 3]).expect("torn");
    let error = folder.open(ME).err().expect("refused");
    assert!(error.contains("ratchet.redb"), "{error}");
    // Single bytes of the last entry, wherever the store has put it.
    let places: Vec<usize> =
        whole.windows(40).enumerate().filter(|(_, w)| *w == [45; 40]).map(|p| p.0).collect();
    assert!(!places.is_empty(), "the entry is in the file");
    let mut bytes = whole.clone();
    places.iter().for_each(|at| bytes[at + 20] ^= 1);
    std::fs::write(&path, bytes).expect("changed");
    let error = folder.open(ME).err().expect("refused");
    assert!(error.contains("ratchet.redb"), "{error}");
}

/// A disk in memory that loses what was not synced, or keeps a part of it, and can run full.
#[derive(Clone, Debug, Default)]
struct Lossy(Arc<Mutex<Image>>);

#[derive(Debug, Default)]
struct Image {
    synced: Vec<u8>,
    now: Vec<u8>,
    /// Writes since the last sync.
    writes: Vec<(u64, Vec<u8>)>,
    room: Option<usize>,
    /// Syncs until the power is lost, and what is left then.
    cut: Option<(u64, u64)>,
    left: Option<Vec<u8>>,
}

impl Image {
    /// Of the writes since the last sync a part, in pieces of 512 bytes.
    fn torn(&self, mut seed: u64) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        for (at, data) in &self.writes {
            for (n, part) in data.chunks(512).enumerate() {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                let from = *at as usize + n * 512;
                if (seed >> 33).is_multiple_of(2) {
                    bytes.resize(bytes.len().max(from + part.len()), 0);
                    bytes[from..from + part.len()].copy_from_slice(part);
                }
            }
        }
        bytes
    }
}

impl Lossy {
    fn of(bytes: Vec<u8>) -> Lossy {
        Lossy(Arc::new(Mutex::new(Image { synced: bytes.clone(), now: bytes, ..Image::default() })))
    }

    fn open(&self) -> (Store, Saved) {
        Store::on_backend(self.clone(), ME, || (7, Saved::founding([ME]))).expect("opened")
    }
}

impl StorageBackend for Lossy {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().expect("whole").now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let image = self.0.lock().expect("whole");
        let from = offset as usize;
        out.copy_from_slice(image.now.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut image = self.0.lock().expect("whole");
        if image.room.is_some_and(|room| len as usize > room) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        image.now.resize(len as usize, 0);
        // The length counts as synced: the file system's own journal keeps it.
        image.synced.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        let mut image = self.0.lock().expect("whole");
        if let Some((syncs, seed)) = image.cut {
            if syncs == 0 && image.left.is_none() {
                image.left = Some(image.torn(seed));
            }
            image.cut = Some((syncs.saturating_sub(1), seed));
        }
        image.synced = image.now.clone();
        image.writes.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut image = self.0.lock().expect("whole");
        let to = offset as usize + data.len();
        if image.now.len() < to {
            image.now.resize(to, 0);
        }
        image.now[offset as usize..to].copy_from_slice(data);
        image.writes.push((offset, data.to_vec()));
        Ok(())
    }
}

/// Power is lost in the middle of any write: it is there whole or not at all, and what was promised before it
/// is.
#[test]
fn a_torn_write_is_whole_or_not_at_all() {
    let (mut whole, mut none) = (0, 0);
    for point in 0..48u64 {
        let disk = Lossy::default();
        let (store, saved) = disk.open();
        disk.0.lock().expect("whole").cut = Some((point / 2, point * 7919 + 1));
        let mut states = vec![saved];
        for step in steps() {
            store.write(&step).expect("written");
            let mut next = states.last().expect("some").clone();
            step.apply(&mut next);
            states.push(next);
            if let Some(left) = disk.0.lock().expect("whole").left.take() {
                let (_, found) = Lossy::of(left).open();
                let (old, new) = (&states[states.len() - 2], &states[states.len() - 1]);
                assert!(found == *old || found == *new, "point {point}: neither before nor after");
                whole += usize::from(found == *new);
                none += usize::from(found == *old);
                break;
            }
        }
    }
    assert!(whole + none > 20 && none > 0, "{whole} whole, {none} not at all");
}

/// What a write says it does and what the store does are one, also when the store is dropped after each
/// write.
#[test]
fn power_lost_after_any_write_leaves_all_that_was_promised() {
    let mut disk = Lossy::default();
    let (_, mut wanted) = disk.open();
    for (n, step) in steps().into_iter().enumerate() {
        let (store, found) = disk.open();
        assert_eq!(found, wanted, "before write {n}");
        store.write(&step).expect("written");
        step.apply(&mut wanted);
        let left = disk.0.lock().expect("whole").torn(n as u64);
        disk = Lossy::of(left);
    }
    assert_eq!(disk.open().1, wanted);
}

#[test]
fn a_full_disk_is_told_and_the_store_is_usable_again_after_it() {
    let disk = Lossy::default();
    let (store, mut promised) = disk.open();
    let room = disk.0.lock().expect("whole").now.len() + 4096;
    disk.0.lock().expect("whole").room = Some(room);
    let write = |index: u64| Write {
        number: index,
        from: Some(index),
        entries: vec![Entry { term: 1, index, payload: Payload::Data(vec![3; 60_000]) }],
        ..Write::default()
    };
    let failed = (1..4000).find_map(|n| match store.write(&write(n)) {
        Ok(()) => {
            write(n).apply(&mut promised);
            None
        }
        Err(e) => Some((n, e)),
    });
    let (n, error) = failed.expect("it runs full");
    assert!(error.full, "{error}");
    drop(store);
    disk.0.lock().expect("whole").room = None;
    let (store, found) = disk.open();
    assert_eq!(found, promised);
    store.write(&write(n)).expect("there is room again");
    write(n).apply(&mut promised);
    drop(store);
    assert_eq!(disk.open().1, promised);
}
