//! The store: synced data survives, a store that cannot be read is refused with an error that names its file, and no
//! store is silently replaced by a new one.

use consensus::disk::Store;
use consensus::{Entry, HardState, Member, Membership, Payload, PersistentState, Snapshot, Write};
use redb::StorageBackend;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

const ME: Member = Member::new(10, 0, 0, 1);

struct TempDir(PathBuf);

impl TempDir {
    fn new(name: &str) -> TempDir {
        let path = std::env::temp_dir().join(format!("consensus-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        TempDir(path)
    }

    fn open(&self, member: Member) -> Result<(Store, PersistentState), String> {
        Store::open(&self.0, member, || (7, PersistentState::founding([ME]))).map_err(|e| e.to_string())
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Writes as a member makes them: entries, truncations, snapshots, votes.
fn sample_writes() -> Vec<Write> {
    let mut sample_writes = Vec::new();
    let (mut index, mut base) = (1, (0, 0));
    for round in 0..16u64 {
        let term = 1 + round / 4;
        let from = if round % 4 == 0 && round > 0 { index - 1 } else { index };
        let data = |n: u64| Payload::Data(vec![n as u8; 40]);
        let entries: Vec<Entry> =
            (from..from + 3).map(|index| Entry { term, index, payload: data(index) }).collect();
        index = from + 3;
        let snapshot = (round % 4 == 3).then(|| {
            let membership = Membership { members: [(ME, 7)].into() };
            Arc::new(Snapshot { index: index - 2, term, membership, membership_index: 1, data: vec![7; 900] })
        });
        if snapshot.is_some() {
            base = (index - 3, term);
        }
        let hard = HardState { term, vote: Some(ME), commit: index - 2, voter: true };
        sample_writes.push(Write {
            number: round + 1,
            hard,
            snapshot,
            base,
            truncate_from: Some(from),
            entries,
        });
    }
    sample_writes
}

#[test]
fn what_was_written_is_there_again_and_belongs_to_one_member_and_one_process() {
    let dir = TempDir::new("again");
    let (store, mut expected) = dir.open(ME).expect("made");
    for write in sample_writes() {
        store.write(&write).expect("written");
        write.apply(&mut expected);
    }
    let error = dir.open(ME).err().expect("one process at a time");
    assert!(error.contains("in use by another process"), "{error}");
    drop(store);
    let error = dir.open(Member::new(10, 0, 0, 2)).err().expect("refused");
    assert!(error.contains("ratchet.redb") && error.contains("belongs to 10.0.0.1"), "{error}");
    let (store, found) = Store::open(&dir.0, ME, || panic!("it is there")).expect("opened");
    assert_eq!((store.disk(), found), (7, expected));
}

#[test]
fn a_store_that_cannot_be_read_is_refused_and_kept() {
    for (what, content) in [("empty", &b""[..]), ("foreign", &b"not a store at all, just some text"[..])] {
        let dir = TempDir::new(what);
        std::fs::create_dir_all(&dir.0).expect("a directory");
        std::fs::write(dir.0.join("ratchet.redb"), content).expect("written");
        let error = dir.open(ME).err().expect("refused");
        assert!(error.contains("ratchet.redb"), "{error}");
        let kept = std::fs::read(dir.0.join("ratchet.redb")).expect("still there");
        assert_eq!(kept, content, "nothing is written over it");
    }
    let dir = TempDir::new("changed");
    let (store, _) = dir.open(ME).expect("made");
    for write in sample_writes() {
        store.write(&write).expect("written");
    }
    drop(store);
    let path = dir.0.join("ratchet.redb");
    let intact = std::fs::read(&path).expect("there");
    std::fs::write(&path, &intact[..intact.len() / 3]).expect("torn");
    let error = dir.open(ME).err().expect("refused");
    assert!(error.contains("ratchet.redb"), "{error}");
    // Change single bytes of the last entry, wherever the store has put it.
    let positions: Vec<usize> =
        intact.windows(40).enumerate().filter(|(_, w)| *w == [45; 40]).map(|p| p.0).collect();
    assert!(!positions.is_empty(), "the entry is in the file");
    let mut bytes = intact.clone();
    positions.iter().for_each(|at| bytes[at + 20] ^= 1);
    std::fs::write(&path, bytes).expect("changed");
    let error = dir.open(ME).err().expect("refused");
    assert!(error.contains("ratchet.redb"), "{error}");
}

/// A disk in memory that loses unsynced writes or keeps a part of them, and can run full.
#[derive(Clone, Debug, Default)]
struct LossyDisk(Arc<Mutex<DiskImage>>);

#[derive(Debug, Default)]
struct DiskImage {
    synced: Vec<u8>,
    current: Vec<u8>,
    /// Writes since the last sync.
    writes: Vec<(u64, Vec<u8>)>,
    capacity: Option<usize>,
    /// The number of syncs until a loss of power, with a seed, and what the disk holds after it.
    power_loss: Option<(u64, u64)>,
    after_loss: Option<Vec<u8>>,
}

impl DiskImage {
    /// The disk after a loss of power: of the writes since the last sync a random part, in sectors of 512 bytes.
    fn after_power_loss(&self, mut seed: u64) -> Vec<u8> {
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

impl LossyDisk {
    fn with_content(bytes: Vec<u8>) -> LossyDisk {
        LossyDisk(Arc::new(Mutex::new(DiskImage {
            synced: bytes.clone(),
            current: bytes,
            ..DiskImage::default()
        })))
    }

    fn open(&self) -> (Store, PersistentState) {
        Store::on_backend(self.clone(), ME, || (7, PersistentState::founding([ME]))).expect("opened")
    }
}

impl StorageBackend for LossyDisk {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().expect("lock").current.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let image = self.0.lock().expect("lock");
        let from = offset as usize;
        out.copy_from_slice(image.current.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }
    fn set_len(&self, len: u64) -> Result<(), io::Error> {
        let mut image = self.0.lock().expect("lock");
        if image.capacity.is_some_and(|capacity| len as usize > capacity) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        image.current.resize(len as usize, 0);
        // The length counts as synced, as the file system's journal keeps it.
        image.synced.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> Result<(), io::Error> {
        let mut image = self.0.lock().expect("lock");
        if let Some((syncs, seed)) = image.power_loss {
            if syncs == 0 && image.after_loss.is_none() {
                image.after_loss = Some(image.after_power_loss(seed));
            }
            image.power_loss = Some((syncs.saturating_sub(1), seed));
        }
        image.synced = image.current.clone();
        image.writes.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
        let mut image = self.0.lock().expect("lock");
        let to = offset as usize + data.len();
        if image.current.len() < to {
            image.current.resize(to, 0);
        }
        image.current[offset as usize..to].copy_from_slice(data);
        image.writes.push((offset, data.to_vec()));
        Ok(())
    }
}

/// After a loss of power in the middle of any write, the write is there whole or not at all, and all writes before it
/// are there.
#[test]
fn a_torn_write_is_whole_or_not_at_all() {
    let (mut present, mut absent) = (0, 0);
    for point in 0..48u64 {
        let disk = LossyDisk::default();
        let (store, saved) = disk.open();
        disk.0.lock().expect("lock").power_loss = Some((point / 2, point * 7919 + 1));
        let mut states = vec![saved];
        for step in sample_writes() {
            store.write(&step).expect("written");
            let mut next = states.last().expect("some").clone();
            step.apply(&mut next);
            states.push(next);
            if let Some(after_loss) = disk.0.lock().expect("lock").after_loss.take() {
                let (_, found) = LossyDisk::with_content(after_loss).open();
                let (old, new) = (&states[states.len() - 2], &states[states.len() - 1]);
                assert!(found == *old || found == *new, "point {point}: neither the state before nor after");
                present += usize::from(found == *new);
                absent += usize::from(found == *old);
                break;
            }
        }
    }
    assert!(present + absent > 20 && absent > 0, "{present} present, {absent} absent");
}

/// [`Write::apply`] and the store agree on what a write does, also when power is lost after each write.
#[test]
fn power_loss_after_any_write_keeps_all_acknowledged_writes() {
    let mut disk = LossyDisk::default();
    let (_, mut expected) = disk.open();
    for (n, step) in sample_writes().into_iter().enumerate() {
        let (store, found) = disk.open();
        assert_eq!(found, expected, "before write {n}");
        store.write(&step).expect("written");
        step.apply(&mut expected);
        let after_loss = disk.0.lock().expect("lock").after_power_loss(n as u64);
        disk = LossyDisk::with_content(after_loss);
    }
    assert_eq!(disk.open().1, expected);
}

#[test]
fn a_full_disk_is_told_and_the_store_is_usable_again_after_it() {
    let disk = LossyDisk::default();
    let (store, mut expected) = disk.open();
    let capacity = disk.0.lock().expect("lock").current.len() + 4096;
    disk.0.lock().expect("lock").capacity = Some(capacity);
    let write = |index: u64| Write {
        number: index,
        truncate_from: Some(index),
        entries: vec![Entry { term: 1, index, payload: Payload::Data(vec![3; 60_000]) }],
        ..Write::default()
    };
    let failed = (1..4000).find_map(|n| match store.write(&write(n)) {
        Ok(()) => {
            write(n).apply(&mut expected);
            None
        }
        Err(e) => Some((n, e)),
    });
    let (n, error) = failed.expect("it runs full");
    assert!(error.full, "{error}");
    drop(store);
    disk.0.lock().expect("lock").capacity = None;
    let (store, found) = disk.open();
    assert_eq!(found, expected);
    store.write(&write(n)).expect("there is room again");
    write(n).apply(&mut expected);
    drop(store);
    assert_eq!(disk.open().1, expected);
}
