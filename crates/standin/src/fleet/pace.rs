//! Even steps of the paused clock, at which real sockets keep up with it.

use std::time::Duration;

use tokio::time::sleep;

/// One step of the paused clock.
const TICK: Duration = Duration::from_millis(1);
/// Time that sockets get at each step.
const SOCKET_TIME: Duration = Duration::from_micros(10);

/// Advances a paused clock evenly for ever, so that it never jumps over a socket's answer.
///
/// A paused clock jumps to the next timer whenever no task is ready, also while bytes are on their
/// way between two sockets of the same process. Spawned beside the daemons, this bounds each jump
/// and gives the sockets real time at each.
pub async fn pace_clock() {
    loop {
        sleep(TICK).await;
        std::thread::sleep(SOCKET_TIME);
    }
}
