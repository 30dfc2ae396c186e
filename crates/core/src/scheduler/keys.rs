//! The calls that ran under an idempotency key in this life of the agent.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use kumquatkeel_types::{AttemptId, Timestamp};

use super::PlainAnswer;
use super::record::KeyScope;

/// How far the call under a key is.
#[derive(Debug, Clone)]
pub(super) enum KeyState {
    /// The attempt waits or runs.
    Open(AttemptId),
    /// The call was answered.
    Answered(Arc<PlainAnswer>),
    /// The call ran; its answer is not known or no longer kept.
    Unknown,
}

/// A key with the digest of its call.
#[derive(Debug, Clone)]
pub(super) struct KeyEntry {
    pub(super) digest: u64,
    pub(super) state: KeyState,
}

/// The keys, bounded in number, bytes of answers and age.
#[derive(Debug, Default)]
pub(super) struct Keys {
    entries: BTreeMap<KeyScope, KeyEntry>,
    ended: VecDeque<(Timestamp, KeyScope)>,
    stored: VecDeque<KeyScope>,
    bytes: usize,
}

impl Keys {
    /// Returns the entry of a key.
    pub(super) fn get(&self, scope: &KeyScope) -> Option<&KeyEntry> {
        self.entries.get(scope)
    }

    /// Returns the number of keys.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Opens a key for an attempt.
    pub(super) fn open(&mut self, scope: KeyScope, digest: u64, attempt: AttemptId) {
        let state = KeyState::Open(attempt);
        self.entries.insert(scope, KeyEntry { digest, state });
    }

    /// Forgets a key whose call was not run.
    pub(super) fn forget(&mut self, scope: &KeyScope) {
        self.entries.remove(scope);
    }

    /// Keeps the end of a key's call, within `limit` bytes of answers.
    pub(super) fn end(
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
        self.stored.push_back(scope.clone());
        self.shrink(limit);
    }

    /// Drops keys that ended longer than `age` ago.
    pub(super) fn expire(&mut self, age: Duration, now: Timestamp) {
        while let Some((ended, _)) = self.ended.front()
            && now.since(*ended) >= age
        {
            if let Some((_, scope)) = self.ended.pop_front() {
                self.drop_answer(&scope);
                self.entries.remove(&scope);
                if self.stored.front() == Some(&scope) {
                    self.stored.pop_front();
                }
            }
        }
    }

    fn shrink(&mut self, limit: usize) {
        while self.bytes > limit
            && let Some(scope) = self.stored.pop_front()
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
