//! This process's own memory and time.

use std::hint::black_box;

use stats_alloc::{INSTRUMENTED_SYSTEM, Region};
use tokio::runtime::{Builder, Runtime};

/// Returns the memory that one structure takes, in bytes.
///
/// Counts only in a program whose global allocator is this one; elsewhere zero.
pub(super) fn memory_of<T>(make: impl Fn() -> T) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    let kept = black_box(make());
    let change = region.change();
    drop(kept);
    change.bytes_allocated as f64 - change.bytes_deallocated as f64
}

/// Returns the milliseconds of processor time that one call takes, over `calls` of them.
pub(super) fn millis_of(calls: u32, mut call: impl FnMut()) -> f64 {
    let before = thread_millis();
    for _ in 0..calls {
        call();
    }
    (thread_millis() - before) / f64::from(calls)
}

/// Returns the processor time of this thread, in milliseconds; zero where it can't be read.
fn thread_millis() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|nanos| nanos.parse::<f64>().ok());
    nanos.unwrap_or(0.0) / 1e6
}

/// A runtime on this thread, so that its processor time counts.
#[derive(Debug)]
pub(super) struct LocalRuntime {
    runtime: Runtime,
}

impl LocalRuntime {
    pub(super) fn new() -> Self {
        let runtime = Builder::new_current_thread().enable_time().build();
        Self {
            runtime: runtime.expect("a runtime of one thread starts"),
        }
    }

    pub(super) fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }
}
