//! What calls make a registry hold.

use net::memory::{MAX_SMALL_BYTES, Memory};
use registry::held::{SharedConfiguration, room_for_values};
use std::sync::Arc;

const MB: usize = 1 << 20;

/// Otherwise each of many slow readers would hold a copy.
#[test]
fn a_configuration_counts_once_however_many_read_it() {
    let memory = Arc::new(Memory::new(32)); // 16 MB
    let (mut shared, text): (_, Arc<str>) = (SharedConfiguration::default(), "x".repeat(5 * MB).into());
    let copies: Vec<_> = (0..100).map(|_| shared.share(&memory, &text).expect("there is room")).collect();
    assert!(copies.iter().all(|copy| (**copy).as_ref() == text.as_bytes()));
    assert_eq!(memory.used(), 5 * MB);
    let newer: Arc<str> = "y".repeat(5 * MB).into();
    let newer_copy = shared.share(&memory, &newer).expect("there is room");
    assert_eq!(memory.used(), 10 * MB, "older ones are still read");
    let newest: Arc<str> = "z".repeat(5 * MB).into();
    assert!(shared.share(&memory, &newest).is_none(), "refused");
    drop(copies);
    assert!(shared.share(&memory, &newest).is_some());
    drop((newer_copy, shared));
    assert_eq!(memory.used(), 0);
}

/// A body of 4 MB may hold two million values, which take many times its length.
#[test]
fn the_values_of_a_long_body_count_before_they_are_read() {
    let memory = Arc::new(Memory::new(32));
    let body = |values: usize| format!("[{}1]", "1,".repeat(values)).into_bytes();
    assert!(room_for_values(&memory, &body(2_000_000)).is_none());
    let held = room_for_values(&memory, &body(100_000)).expect("there is room").expect("a lease");
    assert!(held.bytes() >= 100_000 * size_of::<jzon::JsonValue>(), "{}", held.bytes());
    drop(held);
    assert_eq!(memory.used(), 0);
    let small = body(MAX_SMALL_BYTES / 2 - 2);
    assert!(small.len() <= MAX_SMALL_BYTES && room_for_values(&memory, &small).is_some_and(|r| r.is_none()));
}
