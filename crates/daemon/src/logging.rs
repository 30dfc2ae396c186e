//! Logs: one line a message, with levels by part.

use std::io::Write;

use env_logger::{Builder, Env};

/// The environment variable that sets levels by part, such as `info,ledger=debug`.
pub const LOG_VARIABLE: &str = "KUMQUATKEEL_LOG";

/// Starts logging to standard error under the daemon's name.
///
/// Levels come from [`LOG_VARIABLE`], or else from `default_levels`. A second call changes
/// nothing.
pub fn start_logging(daemon: impl Into<String>, default_levels: &str) {
    let daemon = daemon.into();
    let env = Env::new().filter_or(LOG_VARIABLE, default_levels);
    let _ = Builder::from_env(env)
        .format(move |out, record| {
            let time = out.timestamp_millis();
            let level = record.level();
            writeln!(
                out,
                "{time} {level:5} {daemon} {}: {}",
                record.target(),
                record.args()
            )
        })
        .try_init();
}
