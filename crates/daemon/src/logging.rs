//! Logging to standard error: one line for each record, with levels by log target.

use std::io::Write;

use env_logger::{Builder, Env};

/// Environment variable that sets the levels by log target, such as `info,ledger=debug`.
pub const LOG_VARIABLE: &str = "KUMQUATKEEL_LOG";

/// Starts logging to standard error; each line carries the daemon's name.
///
/// Levels come from [`LOG_VARIABLE`] or, if it is not set, from `default_levels`. A second call has
/// no effect.
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
