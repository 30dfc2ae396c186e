//! No bytes from outside a daemon make a decoder panic, and damaged messages are errors or valid.

use kumquatkeel_core::lease::LeaseRecord;
use kumquatkeel_core::ledger::{Operation, Partition};
use kumquatkeel_core::spread::ConfigHead;
use kumquatkeel_platform::wire::{WireInstances, WireObjects};
use kumquatkeel_standin::demo::sample_document;
use kumquatkeel_types::document::{Document, RawDocument};
use kumquatkeel_types::engine::{CacheEvents, EngineChunk, EngineLoad, EngineOrderReply};
use kumquatkeel_types::jsonc;
use kumquatkeel_types::message::{
    AttemptEvent, Dispatch, FenceReply, FenceRequest, Member, Order, OrderReply, PollReply,
    PollRequest, ProbeRequest,
};
use kumquatkeel_types::operator::ApplyRequest;
use proptest::prelude::*;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Decodes bytes; what is taken must be encoded and decoded again to the same form.
fn decode<T: DeserializeOwned + Serialize>(bytes: &[u8]) {
    let Ok(value) = serde_json::from_slice::<T>(bytes) else {
        return;
    };
    let once = serde_json::to_vec(&value).expect("encodes");
    let again: T = serde_json::from_slice(&once).expect("decodes what it encoded");
    assert_eq!(serde_json::to_vec(&again).expect("encodes"), once);
}

fn decode_all(bytes: &[u8]) {
    decode::<Dispatch>(bytes);
    decode::<AttemptEvent>(bytes);
    decode::<FenceRequest>(bytes);
    decode::<FenceReply>(bytes);
    decode::<Order>(bytes);
    decode::<OrderReply>(bytes);
    decode::<ProbeRequest>(bytes);
    decode::<PollRequest>(bytes);
    decode::<PollReply>(bytes);
    decode::<Member>(bytes);
    decode::<EngineChunk>(bytes);
    decode::<EngineLoad>(bytes);
    decode::<EngineOrderReply>(bytes);
    decode::<CacheEvents>(bytes);
    decode::<WireObjects>(bytes);
    decode::<WireInstances>(bytes);
    decode::<ConfigHead>(bytes);
    decode::<LeaseRecord>(bytes);
    decode::<Partition>(bytes);
    decode::<Operation>(bytes);
    decode::<ApplyRequest>(bytes);
}

/// A valid message of each form that a peer or a caller sends.
fn valid_messages() -> Vec<String> {
    let model = r#"{"name":"m","version":"1"}"#;
    let attempt = r#"{"request":{"entry":"e","life":1,"number":2},"number":1}"#;
    let action = format!(r#"{{"load":{{"model":{model},"accelerator":0}}}}"#);
    vec![
        format!(
            r#"{{"attempt":{attempt},"incarnation":4,"service":"s","priority":5,"deadline_ms":9,
            "first_token_ms":5,"work":{{"completion":{{"model":{model},"adapter":null,
            "prompt":"p","max_tokens":4,"seed":1}}}}}}"#
        ),
        format!(r#"{{"accepted":{{"attempt":{attempt},"incarnation":4}}}}"#),
        r#"{"token":{"index":3,"text":"abc"}}"#.into(),
        format!(r#"{{"attempt":{attempt},"incarnation":4}}"#),
        format!(r#"{{"epoch":1,"number":2,"target":"t","incarnation":3,"action":{action}}}"#),
        r#"{"request_id":"r","index":0,"text":"a","finish_reason":"stop"}"#.into(),
        r#"{"age_ms":5,"replicas":[],"used_mb":[1,2],"fence":7}"#.into(),
        r#"{"holder":"e","life":1,"epoch":2,"renewal":3,"released":false}"#.into(),
    ]
}

fn damaged() -> impl Strategy<Value = Vec<u8>> {
    let messages = valid_messages();
    (
        0..messages.len(),
        any::<prop::sample::Index>(),
        any::<u8>(),
        any::<bool>(),
    )
        .prop_map(move |(message, at, byte, truncate)| {
            let mut bytes = messages[message].clone().into_bytes();
            let at = at.index(bytes.len());
            if truncate {
                bytes.truncate(at);
            } else {
                bytes[at] = byte;
            }
            bytes
        })
}

#[test]
fn every_sample_is_a_valid_message() {
    let [dispatch, accepted, token, fence, order, chunk, load, lease] =
        valid_messages().try_into().expect("eight samples");
    serde_json::from_str::<Dispatch>(&dispatch).expect("dispatch");
    serde_json::from_str::<AttemptEvent>(&accepted).expect("event");
    serde_json::from_str::<AttemptEvent>(&token).expect("event");
    serde_json::from_str::<FenceRequest>(&fence).expect("fence");
    serde_json::from_str::<Order>(&order).expect("order");
    serde_json::from_str::<EngineChunk>(&chunk).expect("chunk");
    serde_json::from_str::<EngineLoad>(&load).expect("load");
    serde_json::from_str::<LeaseRecord>(&lease).expect("lease");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        decode_all(&bytes);
        let _ = jsonc::parse_bytes::<RawDocument>(bytes);
    }

    #[test]
    fn a_damaged_message_is_an_error_or_valid(bytes in damaged()) {
        decode_all(&bytes);
    }

    #[test]
    fn a_damaged_document_is_an_error_or_checked(
        at in any::<prop::sample::Index>(),
        byte in any::<u8>(),
    ) {
        let text = serde_json::to_vec(&sample_document().expect("sample")).expect("encodes");
        let mut text = text;
        let at = at.index(text.len());
        text[at] = byte;
        if let Ok(raw) = jsonc::parse_bytes::<RawDocument>(text) {
            let _ = Document::try_from(raw);
        }
    }
}
