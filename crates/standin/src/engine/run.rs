//! One run of a completion: it waits for a slot, processes the prompt and generates the tokens.

use std::time::Duration;

use kumquatkeel_types::engine::{EngineChunk, EngineCompletion};
use kumquatkeel_types::message::FinishReason;
use tokio::sync::{mpsc, oneshot};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::accelerators::ReplicaKey;
use super::{Engine, EngineFault, Prompt, RunEnd};

/// One run of a completion; dropping it frees its slot and wakes the next waiting run.
pub(super) struct Run {
    pub(super) engine: Engine,
    pub(super) number: u64,
    pub(super) replica: ReplicaKey,
    pub(super) request: EngineCompletion,
    /// The request whose answer is sent; the previous one with [`EngineFault::Crossed`].
    pub(super) answered: EngineCompletion,
    pub(super) fault: Option<EngineFault>,
    /// Notified when a waiting run gets a slot; `None` if it has one.
    pub(super) slot_wake: Option<oneshot::Receiver<()>>,
    pub(super) cancel: CancellationToken,
    pub(super) chunks: mpsc::Sender<EngineChunk>,
}

impl Run {
    /// Generates the answer until it ends or is cancelled.
    pub(super) async fn drive(mut self) {
        let cancel = self.cancel.clone();
        let chunks = self.chunks.clone();
        let end = tokio::select! {
            end = self.generate() => end,
            () = cancel.cancelled() => RunEnd::Cancelled,
            () = chunks.closed() => RunEnd::Cancelled,
        };
        self.engine.lock().record.runs[self.number as usize].end = end;
    }

    async fn generate(&mut self) -> RunEnd {
        if let Some(slot_wake) = self.slot_wake.take() {
            let _ = slot_wake.await;
        }
        sleep(self.prefill_time()).await;
        let prompt = Prompt::from(&self.answered);
        let (count, reason) = prompt.length(self.answered.max_tokens);
        let start = self.answered.resume.len() as u32;
        for index in start..count {
            sleep(self.token_time()).await;
            if self.is_interrupted(index - start) {
                return RunEnd::Interrupted;
            }
            if !self.send(index, prompt.token(index), None).await {
                return RunEnd::Cancelled;
            }
            self.engine.lock().record.runs[self.number as usize].sent += 1;
        }
        if self.is_interrupted(count.saturating_sub(start)) {
            return RunEnd::Interrupted;
        }
        if self.send(count, String::new(), Some(reason)).await {
            RunEnd::Finished(reason)
        } else {
            RunEnd::Cancelled
        }
    }

    fn prefill_time(&self) -> Duration {
        let options = &self.engine.shared.options;
        let model = self.request.model.to_string();
        let missing = self.engine.lock().cache.store(&model, &self.request.prompt);
        let span = options.block_time * missing;
        self.engine.shared.faults.scale_time(span)
    }

    fn token_time(&self) -> Duration {
        let options = &self.engine.shared.options;
        let running = self.engine.lock().batch.running(&self.replica);
        let span = options.token_gap + options.batch_gap * running.saturating_sub(1);
        self.engine.shared.faults.scale_time(span)
    }

    fn is_interrupted(&self, sent: u32) -> bool {
        let scripted =
            matches!(self.fault, Some(EngineFault::InterruptAfter(limit)) if sent >= limit);
        scripted || self.engine.shared.faults.is_dead()
    }

    async fn send(&self, index: u32, text: String, finish_reason: Option<FinishReason>) -> bool {
        let chunk = EngineChunk {
            request_id: self.answered.request_id.clone(),
            index,
            text,
            finish_reason,
        };
        self.chunks.send(chunk).await.is_ok()
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        let slots = self.engine.slots(&self.replica);
        let mut state = self.engine.lock();
        state.wakers.remove(&self.number);
        state.cancels.remove(&self.request.request_id);
        if let Some(next) = state.batch.remove(&self.replica, self.number, slots)
            && let Some(waker) = state.wakers.remove(&next)
        {
            let _ = waker.send(());
        }
        state.publish_report();
    }
}
