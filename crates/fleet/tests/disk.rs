//! The store: what is synced stays, what cannot be read is refused by name, nothing starts afresh unsaid.

use curlewfront_fleet::birth::{Founder, Group};
use curlewfront_fleet::disk::{Store, Unsynced};
use curlewfront_fleet::mirror::{Hard, LogEntry, Saved, Snap, Write};
use proptest::prelude::*;
use redb::StorageBackend;
use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("curlewfront-disk-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path);
        Folder(path)
    }
    fn open(&self, installation: &str, name: &str) -> Result<Store, String> {
        Store::open(&self.0, installation, name, 77, Unsynced::System).map_err(|e| e.to_string())
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn entry(index: u64, term: u64) -> LogEntry {
    LogEntry { term, index, conf: false, data: vec![index as u8; 40], context: vec![1] }
}

fn group() -> Group {
    Group::of("here", vec![Founder { name: "a".into(), disk: 77, addr: "x".into() }])
}

#[test]
fn what_was_written_is_there_when_it_is_opened_again() {
    let folder = Folder::new("again");
    let mut wanted = group().first();
    {
        let store = folder.open("here", "a").expect("made");
        store.be_born(&group(), &wanted).expect("written");
        for write in [
            Write { entries: (2..9).map(|n| entry(n, 1)).collect(), ..Write::default() },
            Write {
                entries: vec![entry(6, 2)],
                hard: Some(Hard { term: 2, vote: 77, commit: 5 }),
                snap: None,
            },
        ] {
            store.write(&write).expect("written");
            write.apply(&mut wanted);
        }
    }
    let store = folder.open("here", "a").expect("opened");
    assert_eq!((store.owner.disk, store.load().expect("read")), (77, (group(), wanted)));
}

#[test]
fn a_store_of_another_is_refused_and_says_whose_it_is() {
    let folder = Folder::new("other");
    drop(folder.open("here", "a").expect("made"));
    for (installation, name, says) in [("there", "a", "\"here\""), ("here", "b", "\"a\"")] {
        let error = folder.open(installation, name).err().expect("refused");
        assert!(
            error.contains("fleet.redb") && error.contains("belongs to") && error.contains(says),
            "{error}"
        );
    }
    let held = folder.open("here", "a").expect("its owner may");
    let error = folder.open("here", "a").err().expect("one process at a time");
    assert!(error.contains("in use by another process"), "{error}");
    drop(held);
}

#[test]
fn a_torn_an_emptied_and_a_foreign_file_are_refused_by_name() {
    for (what, content) in [("empty", &b""[..]), ("foreign", &b"not a store at all, just some text"[..])] {
        let folder = Folder::new(what);
        std::fs::create_dir_all(&folder.0).expect("a folder");
        std::fs::write(folder.0.join("fleet.redb"), content).expect("written");
        let error = folder.open("here", "a").err().expect("refused");
        assert!(error.contains("fleet.redb"), "{error}");
        let kept = std::fs::read(folder.0.join("fleet.redb")).expect("still there");
        assert_eq!(kept, content, "nothing is written over it");
    }
    let folder = Folder::new("torn");
    let store = folder.open("here", "a").expect("made");
    store.be_born(&group(), &group().first()).expect("written");
    drop(store);
    let path = folder.0.join("fleet.redb");
    let bytes = std::fs::read(&path).expect("there");
    std::fs::write(&path, &bytes[..bytes.len() / 3]).expect("torn");
    let error = folder.open("here", "a").err().expect("refused");
    assert!(error.contains("fleet.redb"), "{error}");
}

#[test]
fn a_folder_that_cannot_be_written_is_named() {
    let folder = Folder::new("file");
    std::fs::write(&folder.0, b"a file where a folder belongs").expect("written");
    let error = folder.open("here", "a").err().expect("refused");
    assert!(error.contains("curlewfront-disk-file"), "{error}");
    let _ = std::fs::remove_file(&folder.0);
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
    syncs: u64,
    room: Option<usize>,
}

impl Lossy {
    /// Power is lost: of the writes since the last sync those that `keep` says are kept, in parts of 512 bytes.
    fn lose(&self, keep: &mut dyn FnMut() -> bool) -> Lossy {
        let image = self.0.lock().expect("whole");
        let mut bytes = image.synced.clone();
        for (at, data) in &image.writes {
            for (n, part) in data.chunks(512).enumerate() {
                let from = *at as usize + n * 512;
                if keep() {
                    bytes.resize(bytes.len().max(from + part.len()), 0);
                    bytes[from..from + part.len()].copy_from_slice(part);
                }
            }
        }
        Lossy(Arc::new(Mutex::new(Image { synced: bytes.clone(), now: bytes, ..Image::default() })))
    }
}

impl StorageBackend for Lossy {
    fn len(&self) -> Result<u64, io::Error> {
        Ok(self.0.lock().expect("whole").now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
        let image = self.0.lock().expect("whole");
        let from = offset as usize;
        let found = image.now.get(from..from + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(found);
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
        image.synced = image.now.clone();
        image.writes.clear();
        image.syncs += 1;
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

fn steps() -> Vec<Write> {
    let mut steps = Vec::new();
    let mut index = 2;
    for round in 0..12u64 {
        let entries = (index..index + 3).map(|n| entry(n, 1 + round / 4)).collect();
        steps.push(Write {
            entries,
            hard: Some(Hard { term: 1 + round / 4, vote: 77, commit: index }),
            snap: None,
        });
        index += 3;
        if round % 4 == 3 {
            let snap = Snap {
                index: index - 2,
                term: 1 + round / 4,
                voters: vec![77],
                data: vec![7; 900],
                ..Snap::default()
            };
            steps.push(Write { snap: Some((snap, index - 3)), ..Write::default() });
        }
    }
    steps
}

/// At every sync point in turn: after the power comes back the store holds what was promised, or the write that was
/// under way on top of it, and nothing in between.
#[test]
fn power_lost_at_any_write_leaves_what_was_synced() {
    let steps = steps();
    let mut seed = 9u64;
    let mut points = 0;
    for cut in 0..=steps.len() {
        for part in 0..4 {
            let disk = Lossy::default();
            let store = Store::on_backend(disk.clone(), "here", "a", 77).expect("made");
            store.be_born(&group(), &group().first()).expect("written");
            let mut before = group().first();
            for step in &steps[..cut] {
                store.write(step).expect("written");
                step.apply(&mut before);
            }
            let image = disk.lose(&mut || {
                seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                part > 0 && (seed >> 33) % 4 < part
            });
            let again = Store::on_backend(image, "here", "a", 1).expect("opened");
            let (_, found) = again.load().expect("read");
            assert_eq!(found, before, "cut after {cut} writes");
            points += 1;
        }
    }
    assert!(points > 40);
}

/// A write that the power loss falls into is there whole or not at all.
#[test]
fn a_write_under_way_is_whole_or_not_at_all() {
    /// Syncs left until the picture is taken, a source of chance, the picture.
    type Picture = Arc<Mutex<Option<(u64, u64, Option<Lossy>)>>>;
    #[derive(Clone, Debug)]
    struct Cut(Lossy, Picture);
    impl StorageBackend for Cut {
        fn len(&self) -> Result<u64, io::Error> {
            self.0.len()
        }
        fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), io::Error> {
            self.0.read(offset, out)
        }
        fn set_len(&self, len: u64) -> Result<(), io::Error> {
            self.0.set_len(len)
        }
        fn sync_data(&self) -> Result<(), io::Error> {
            // The picture of the disk just before the sync that was asked for, with a part of what was to be synced.
            if let Some((left, seed, image)) = self.1.lock().expect("whole").as_mut() {
                if *left == 0 && image.is_none() {
                    *image = Some(self.0.lose(&mut || {
                        *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                        (*seed >> 33) % 2 == 0
                    }));
                }
                *left = left.wrapping_sub(1);
            }
            self.0.sync_data()
        }
        fn write(&self, offset: u64, data: &[u8]) -> Result<(), io::Error> {
            self.0.write(offset, data)
        }
    }
    let steps = steps();
    let (mut whole, mut none) = (0, 0);
    for point in 0..60u64 {
        let cut = Cut(Lossy::default(), Arc::new(Mutex::new(None)));
        let store = Store::on_backend(cut.clone(), "here", "a", 77).expect("made");
        store.be_born(&group(), &group().first()).expect("written");
        *cut.1.lock().expect("whole") = Some((point / 2, point * 7919 + 1, None));
        let mut states: Vec<Saved> = vec![group().first()];
        for step in &steps {
            store.write(step).expect("written");
            let mut next = states.last().expect("some").clone();
            step.apply(&mut next);
            states.push(next);
            let taken = cut.1.lock().expect("whole").as_mut().and_then(|(_, _, image)| image.take());
            if let Some(image) = taken {
                let again = Store::on_backend(image, "here", "a", 1).expect("opened");
                let (_, found) = again.load().expect("read");
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

#[test]
fn a_full_disk_is_told_and_nothing_promised_is_lost() {
    let disk = Lossy::default();
    let store = Store::on_backend(disk.clone(), "here", "a", 77).expect("made");
    store.be_born(&group(), &group().first()).expect("written");
    let mut promised = group().first();
    let room = disk.0.lock().expect("whole").now.len() + 4096;
    disk.0.lock().expect("whole").room = Some(room);
    let mut failed = None;
    for n in 2..4000 {
        let entries = vec![LogEntry { data: vec![3; 60_000], ..entry(n, 1) }];
        let write = Write { entries, ..Write::default() };
        match store.write(&write) {
            Ok(()) => write.apply(&mut promised),
            Err(e) => {
                failed = Some(e);
                break;
            }
        }
    }
    let failed = failed.expect("it runs full");
    assert!(failed.full, "{failed}");
    drop(store);
    let again = Store::on_backend(disk.lose(&mut || false), "here", "a", 1).expect("opened");
    assert_eq!(again.load().expect("read").1, promised);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// What the store does with a write is what [`Write::apply`] says.
    #[test]
    fn any_course_of_writes_is_kept(course in prop::collection::vec((0u64..6, 1u64..5, any::<bool>()), 1..14)) {
        let store = Store::on_backend(Lossy::default(), "here", "a", 77).expect("made");
        store.be_born(&group(), &group().first()).expect("written");
        let mut saved = group().first();
        let mut terms = BTreeMap::new();
        for (step, (back, count, snap)) in course.iter().enumerate() {
            let last = saved.entries.last().map_or(saved.snap.index, |e| e.index);
            let from = last.saturating_sub(*back).max(saved.snap.index) + 1;
            let entries = (from..from + count).map(|n| entry(n, step as u64 + 1)).collect();
            let mut write = Write { entries, hard: Some(Hard { term: step as u64, vote: 1, commit: 1 }), snap: None };
            store.write(&write).expect("written");
            write.apply(&mut saved);
            if *snap {
                let index = saved.entries.last().expect("some").index - count / 2;
                terms.insert(index, step);
                write = Write { snap: Some((Snap { index, term: 1, ..Snap::default() }, index.saturating_sub(1).max(1))), ..Write::default() };
                store.write(&write).expect("written");
                write.apply(&mut saved);
            }
            prop_assert_eq!(&store.load().expect("read").1, &saved);
        }
    }
}
