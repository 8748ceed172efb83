//! What calls from outside make a registry hold, within the budget of `net::memory`.

use net::memory::{Lease, MAX_SMALL_BYTES, Memory};
use std::sync::Arc;

/// What one value of a JSON text takes while it is read, in bytes: a list grows to twice its length at the most.
const VALUE_BYTES: usize = 64;

/// The most values that a JSON text can have.
fn value_count(text: &[u8]) -> usize {
    1 + text.iter().filter(|byte| matches!(byte, b',' | b':' | b'[' | b'{')).count()
}

/// Room for the values of a call's body while they are read. A small body needs none. None: there is no room.
pub fn room_for_values(memory: &Arc<Memory>, body: &[u8]) -> Option<Option<Lease>> {
    if body.len() <= MAX_SMALL_BYTES {
        return Some(None);
    }
    memory.try_hold(value_count(body) * VALUE_BYTES).map(Some)
}

/// The text of a configuration, which counts once however many read it.
struct HeldText {
    text: Arc<str>,
    _room: Lease,
}

impl AsRef<[u8]> for HeldText {
    fn as_ref(&self) -> &[u8] {
        self.text.as_bytes()
    }
}

/// The last configuration that was read.
#[derive(Default)]
pub struct SharedConfiguration(Option<Arc<HeldText>>);

impl SharedConfiguration {
    /// The text as it is sent, the same copy as before if it is the same configuration. None: there is no room.
    pub fn share(
        &mut self,
        memory: &Arc<Memory>,
        text: &Arc<str>,
    ) -> Option<Arc<dyn AsRef<[u8]> + Send + Sync>> {
        let known = self.0.as_ref().filter(|held| Arc::ptr_eq(&held.text, text));
        let held = match known {
            Some(held) => held.clone(),
            None => {
                let room = memory.try_hold(text.len())?;
                Arc::new(HeldText { text: text.clone(), _room: room })
            }
        };
        self.0 = Some(held.clone());
        Some(held)
    }
}
