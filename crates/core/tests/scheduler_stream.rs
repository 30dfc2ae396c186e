//! Validation of an engine's stream: a wrong or incomplete stream must not pass as an answer.

use kumquatkeel_core::scheduler::{ChunkStep, StreamCheck, StreamFault};
use kumquatkeel_types::engine::EngineChunk;
use kumquatkeel_types::message::FinishReason;
use rstest::rstest;

fn chunk(request: &str, index: u32, finish: bool) -> EngineChunk {
    EngineChunk {
        request_id: request.into(),
        index,
        text: "t".into(),
        finish_reason: finish.then_some(FinishReason::Stop),
    }
}

fn check_all(chunks: &[EngineChunk]) -> Result<Vec<ChunkStep>, StreamFault> {
    let mut check = StreamCheck::new("r", 2, 4);
    let steps = chunks.iter().map(|c| check.check(c.clone()));
    let steps = steps.collect::<Result<_, _>>()?;
    check.end().map(|()| steps)
}

#[test]
fn a_resumed_answer_continues_at_its_next_token() {
    let steps = check_all(&[
        chunk("r", 2, false),
        chunk("r", 3, false),
        chunk("r", 4, true),
    ]);
    let finish = ChunkStep::Finish {
        reason: FinishReason::Stop,
        tokens: 4,
    };
    assert_eq!(steps.unwrap().last(), Some(&finish));
}

#[rstest]
#[case::other_request(&[chunk("other", 2, false)],
    StreamFault::WrongRequest { expected: "r".into(), received: "other".into() })]
#[case::other_request_at_end(&[chunk("other", 2, true)],
    StreamFault::WrongRequest { expected: "r".into(), received: "other".into() })]
#[case::missing(&[chunk("r", 3, false)], StreamFault::WrongIndex { expected: 2, index: 3 })]
#[case::repeated(&[chunk("r", 2, false), chunk("r", 2, false)],
    StreamFault::WrongIndex { expected: 3, index: 2 })]
#[case::missing_before_end(&[chunk("r", 2, false), chunk("r", 4, true)],
    StreamFault::WrongIndex { expected: 3, index: 4 })]
#[case::too_long(&[chunk("r", 2, false), chunk("r", 3, false), chunk("r", 4, false)],
    StreamFault::TooLong { limit: 4 })]
#[case::unfinished(&[chunk("r", 2, false)], StreamFault::Unfinished { tokens: 3 })]
#[case::empty(&[], StreamFault::Unfinished { tokens: 2 })]
#[case::after_end(&[chunk("r", 2, true), chunk("r", 2, false)], StreamFault::AfterFinish)]
fn an_invalid_stream_is_rejected(#[case] chunks: &[EngineChunk], #[case] fault: StreamFault) {
    assert_eq!(check_all(chunks), Err(fault));
}
