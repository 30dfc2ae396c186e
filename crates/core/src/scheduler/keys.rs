//! The idempotency keys that the agent has seen in its present incarnation.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::{AttemptId, Timestamp};

use super::PlainAnswer;
use super::record::KeyScope;

/// The progress of the call under a key.
#[derive(Debug, Clone)]
pub(super) enum KeyState {
    /// This attempt of the call waits or runs.
    InProgress(AttemptId),
    /// The call was answered.
    Answered(Arc<PlainAnswer>),
    /// The call ran; its answer is unknown or was evicted.
    Unknown,
}

/// The state of a key's call, with the digest that detects reuse of the key for another call.
#[derive(Debug, Clone)]
pub(super) struct KeyEntry {
    pub(super) digest: u64,
    pub(super) state: KeyState,
}

/// The keys and their stored answers.
///
/// The scheduler bounds the number of keys; the table bounds their age and the answers' bytes.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    entries: BTreeMap<KeyScope, KeyEntry>,
    ended: VecDeque<(Timestamp, KeyScope)>,
    answered: VecDeque<KeyScope>,
    bytes: usize,
}

impl KeyTable {
    /// Returns the entry of a key.
    pub(super) fn get(&self, scope: &KeyScope) -> Option<&KeyEntry> {
        self.entries.get(scope)
    }

    /// Returns the number of keys.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Enters a key whose call is in progress as `attempt`.
    pub(super) fn open(&mut self, scope: KeyScope, digest: u64, attempt: AttemptId) {
        let state = KeyState::InProgress(attempt);
        self.entries.insert(scope, KeyEntry { digest, state });
    }

    /// Removes a key whose call was not run, so that it may be used again.
    pub(super) fn remove(&mut self, scope: &KeyScope) {
        self.entries.remove(scope);
    }

    /// Stores the end of a key's call and evicts the oldest answers beyond `limit` bytes.
    pub(super) fn finish(
        &mut self,
        scope: &KeyScope,
        answer: Option<Arc<PlainAnswer>>,
        limit: usize,
        now: Timestamp,
    ) {
        let Some(entry) = self.entries.get_mut(scope) else {
            return;
        };
        self.ended.push_back((now, scope.clone()));
        let Some(answer) = answer else {
            entry.state = KeyState::Unknown;
            return;
        };
        self.bytes += answer.bytes();
        entry.state = KeyState::Answered(answer);
        self.answered.push_back(scope.clone());
        self.evict_answers(limit);
    }

    /// Drops the keys whose calls ended at least `age` ago.
    pub(super) fn expire(&mut self, age: Duration, now: Timestamp) {
        while let Some((ended, _)) = self.ended.front()
            && now.since(*ended) >= age
        {
            if let Some((_, scope)) = self.ended.pop_front() {
                self.drop_answer(&scope);
                self.entries.remove(&scope);
                if self.answered.front() == Some(&scope) {
                    self.answered.pop_front();
                }
            }
        }
    }

    fn evict_answers(&mut self, limit: usize) {
        while self.bytes > limit
            && let Some(scope) = self.answered.pop_front()
        {
            self.drop_answer(&scope);
        }
    }

    fn drop_answer(&mut self, scope: &KeyScope) {
        let Some(entry) = self.entries.get_mut(scope) else {
            return;
        };
        if let KeyState::Answered(answer) = &entry.state {
            self.bytes -= answer.bytes();
            entry.state = KeyState::Unknown;
        }
    }
}
