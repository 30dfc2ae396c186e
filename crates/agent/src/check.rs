//! Validates a dispatch before it is offered to the scheduler.

use http::{HeaderValue, Uri};
use kumquatkeel_types::document::Fault;
use kumquatkeel_types::message::{Dispatch, PlainWork, Work};

/// Highest value of the priority field.
const MAX_PRIORITY: u8 = 9;
/// Longest deadline of a dispatch, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Returns the first field of a dispatch that is out of range.
pub(crate) fn check_dispatch(dispatch: &Dispatch) -> Result<(), Fault> {
    if dispatch.priority > MAX_PRIORITY {
        return Err(Fault::new(
            "priority",
            format!("must be from 0 to {MAX_PRIORITY}"),
        ));
    }
    let limits = [
        ("deadline_ms", dispatch.deadline_ms),
        ("first_token_ms", dispatch.first_token_ms),
    ];
    for (field, value) in limits {
        if value > MAX_DEADLINE_MS {
            let reason = format!("must be at most {MAX_DEADLINE_MS}, not {value}");
            return Err(Fault::new(field, reason));
        }
    }
    match &dispatch.work {
        Work::Completion(work) if work.max_tokens == 0 => {
            Err(Fault::new("work.completion.max_tokens", "must be above 0"))
        }
        Work::Completion(_) => Ok(()),
        Work::Plain(work) => check_plain(work),
    }
}

fn check_plain(work: &PlainWork) -> Result<(), Fault> {
    let is_path = work.path.starts_with('/') && !work.path.starts_with("//");
    if !is_path || work.path.parse::<Uri>().is_err() {
        return Err(Fault::new(
            "work.plain.path",
            "must be a path that starts with one slash",
        ));
    }
    if HeaderValue::from_str(&work.content_type).is_err() {
        return Err(Fault::new("work.plain.content_type", "is not a header"));
    }
    Ok(())
}
