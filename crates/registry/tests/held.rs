//! What calls make a registry hold.

use net::memory::Memory;
use registry::held::SharedConfiguration;
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
