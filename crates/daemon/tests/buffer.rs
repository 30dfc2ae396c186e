//! The memory for answers that are buffered: bounded for all of them, whatever their sizes and order.

use std::sync::Arc;

use http_body_util::BodyExt;
use kumquatkeel_daemon::buffer::{BufferLease, BufferPool, BufferedBody};
use proptest::prelude::*;

const SIZE: usize = 24 * 1024 * 1024;
/// Size of answers that are always buffered.
const SMALL: usize = 16 * 1024;

/// Grows a lease by steps until it is refused; returns its size.
fn fill(lease: &mut BufferLease) -> usize {
    let mut bytes = 0;
    while lease.resize(bytes + 4_096).is_ok() {
        bytes += 4_096;
    }
    bytes
}

/// One faulty target must not take the memory that the answers of others need.
#[test]
fn answers_without_end_leave_others_half_as_much_as_they_have() {
    let pool = Arc::new(BufferPool::new(SIZE));
    let mut leases: Vec<BufferLease> = (0..400).map(|_| pool.lease()).collect();
    let mut sizes = vec![0; leases.len()];
    // All grow at the same time.
    for step in 1..2_000 {
        for (lease, size) in leases.iter_mut().zip(&mut sizes) {
            if lease.resize(step * 4_096).is_ok() {
                *size = step * 4_096;
            }
        }
    }
    let largest = sizes.iter().copied().max().unwrap_or_default();
    assert!(pool.used() <= SIZE);
    let mut other = pool.lease();
    assert!(2 * fill(&mut other) >= largest, "{largest} bytes at most");
    drop((leases, other));
    assert_eq!(pool.used(), 0);
}

#[tokio::test]
async fn a_body_holds_its_memory_until_it_has_been_read() {
    let pool = Arc::new(BufferPool::new(SIZE));
    let mut lease = pool.lease();
    lease.resize(100_000).unwrap();
    let mut body = BufferedBody::new(vec![7; 100_000].into(), lease);
    let mut read = 0;
    while let Some(frame) = body.frame().await {
        assert_eq!(pool.used(), 100_000);
        read += frame.unwrap().into_data().unwrap().len();
    }
    assert_eq!(read, 100_000);
    drop(body);
    assert_eq!(pool.used(), 0);
}

proptest! {
    #[test]
    fn the_memory_is_bounded_whatever_the_order(
        steps in prop::collection::vec((0..40_usize, 0..8 * 1024 * 1024_usize), 1..300),
    ) {
        let pool = Arc::new(BufferPool::new(SIZE));
        let mut leases: Vec<Option<BufferLease>> = (0..40).map(|_| None).collect();
        for (index, bytes) in steps {
            if bytes % 7 == 0 {
                leases[index] = None;
                continue;
            }
            let lease = leases[index].get_or_insert_with(|| pool.lease());
            let resized = lease.resize(bytes);
            prop_assert!(resized.is_ok() || bytes > SMALL, "{bytes} bytes refused");
            if bytes % 3 == 0 {
                lease.shrink_to(bytes / 2);
            }
            prop_assert!(pool.used() <= SIZE, "{} bytes in use", pool.used());
        }
        drop(leases);
        prop_assert_eq!(pool.used(), 0);
    }
}
