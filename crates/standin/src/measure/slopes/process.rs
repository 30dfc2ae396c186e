//! This process's own memory and time.

use std::hint::black_box;

use tokio::runtime::{Builder, Runtime};
use tokio::time::Instant;

/// Size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4_096.0;
/// Copies that are kept while memory is read, so that small structures show.
const COPIES: usize = 8;

/// Returns the memory that one structure takes, in bytes.
pub(super) fn memory_of<T>(make: impl Fn() -> T) -> f64 {
    let first = make();
    let before = resident_bytes();
    let kept: Vec<T> = (0..COPIES).map(|_| make()).collect();
    let after = resident_bytes();
    black_box((&first, &kept));
    ((after - before) / COPIES as f64).max(0.0)
}

/// Returns the milliseconds that one call takes, over `calls` of them.
pub(super) fn millis_of(calls: u32, mut call: impl FnMut()) -> f64 {
    let begun = Instant::now();
    for _ in 0..calls {
        call();
    }
    begun.elapsed().as_secs_f64() * 1_000.0 / f64::from(calls)
}

/// Returns the resident memory of this process, in bytes; zero where it can't be read.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * PAGE_BYTES
}

/// A runtime of its own whose clock stands still, so that waits take no time.
#[derive(Debug)]
pub(super) struct PausedRuntime {
    runtime: Runtime,
}

impl PausedRuntime {
    pub(super) fn new() -> Self {
        let runtime = Builder::new_current_thread().enable_time().start_paused(true).build();
        Self { runtime: runtime.expect("a runtime of one thread starts") }
    }

    pub(super) fn block_on<T>(&self, future: impl Future<Output = T>) -> T {
        self.runtime.block_on(future)
    }
}
