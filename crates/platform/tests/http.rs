//! The HTTP clients against a server with a fixed behaviour.
//!
//! The tests guard against a failed write that is reported as certain when its outcome is unknown,
//! against reads that take a failure for an absent object, against large answers that are given up
//! while they arrive, and against answers from before a restore of the store.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use kumquatkeel_platform::{
    CallCounts, CallKind, HttpInstanceList, HttpObjectStore, HttpOptions, InstanceList, Object,
    ObjectKey, ObjectStore, ObjectVersion, Precondition, StoreFault, WriteId,
};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::sleep;

const OPTIONS: HttpOptions = HttpOptions {
    connect: Duration::from_millis(500),
    call: Duration::from_millis(200),
};

/// How the server treats every call.
#[derive(Debug, Clone, Copy)]
enum Behaviour {
    /// Answers with a status and a body.
    Answer(u16, &'static str),
    /// Closes the connection without an answer.
    Disconnect,
    /// Never answers.
    Unresponsive,
}

async fn serve(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let service = service_fn(move |request: Request<Incoming>| answer(behaviour, request));
            tokio::spawn(async move {
                if !matches!(behaviour, Behaviour::Disconnect) {
                    let connection =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                    let _ = connection.await;
                }
            });
        }
    });
    address
}

async fn answer(
    behaviour: Behaviour,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let Behaviour::Answer(status, body) = behaviour else {
        std::future::pending::<()>().await;
        unreachable!("{request:?}")
    };
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = StatusCode::from_u16(status).unwrap();
    Ok(response)
}

fn store(address: SocketAddr) -> HttpObjectStore {
    HttpObjectStore::new(address, OPTIONS, Arc::default())
}

async fn put(address: SocketAddr) -> Result<ObjectVersion, StoreFault> {
    let key = ObjectKey::from("config/head");
    let value = Bytes::from("{}");
    store(address)
        .put(&key, Precondition::Absent, &WriteId::from("w.1"), value)
        .await
        .map_err(|e| e.fault)
}

const OBJECT: &str = r#"{"key":"a","version":3,"write":"w","value":"v"}"#;

#[rstest]
#[case::written(Behaviour::Answer(200, r#"{"version":7}"#), Ok(ObjectVersion(7)))]
#[case::rate_limit(Behaviour::Answer(429, ""), Err(StoreFault::RateLimited))]
#[case::outage(Behaviour::Answer(503, ""), Err(StoreFault::Unavailable))]
#[case::too_large(Behaviour::Answer(413, ""), Err(StoreFault::TooLarge { bytes: 2 }))]
#[case::conflict(
    Behaviour::Answer(412, r#"{"current":9}"#),
    Err(StoreFault::Conflict { current: Some(ObjectVersion(9)) })
)]
#[case::undefined_status(Behaviour::Answer(500, ""), Err(StoreFault::Unknown))]
#[case::disconnect(Behaviour::Disconnect, Err(StoreFault::Unknown))]
#[case::unresponsive(Behaviour::Unresponsive, Err(StoreFault::Unknown))]
#[tokio::test]
async fn a_write_reports_whether_it_took_effect(
    #[case] behaviour: Behaviour,
    #[case] expected: Result<ObjectVersion, StoreFault>,
) {
    assert_eq!(put(serve(behaviour).await).await, expected);
}

#[tokio::test]
async fn a_write_with_a_malformed_answer_has_an_unknown_outcome() {
    let store = store(serve(Behaviour::Answer(200, "{")).await);
    let key = ObjectKey::from("a");
    let id = WriteId::from("w");
    let write = store.put(&key, Precondition::Absent, &id, Bytes::new());
    assert!(write.await.unwrap_err().may_have_written());
}

#[tokio::test]
async fn a_write_on_a_refused_connection_has_no_effect() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(put(address).await, Err(StoreFault::Unavailable));
}

#[rstest]
#[case::found(Behaviour::Answer(200, OBJECT), Ok(true))]
#[case::absent(Behaviour::Answer(404, ""), Ok(false))]
#[case::rate_limit(Behaviour::Answer(429, ""), Err(StoreFault::RateLimited))]
#[case::outage(Behaviour::Answer(503, ""), Err(StoreFault::Unavailable))]
#[case::disconnect(Behaviour::Disconnect, Err(StoreFault::Unavailable))]
#[case::unresponsive(Behaviour::Unresponsive, Err(StoreFault::Unavailable))]
#[tokio::test]
async fn a_read_returns_the_object_or_the_fault(
    #[case] behaviour: Behaviour,
    #[case] found: Result<bool, StoreFault>,
) {
    let read = store(serve(behaviour).await)
        .get(&ObjectKey::from("a"))
        .await;
    let expected = Object {
        key: ObjectKey::from("a"),
        version: ObjectVersion(3),
        write: WriteId::from("w"),
        value: Bytes::from("v"),
    };
    match read {
        Ok(object) => assert_eq!(object, found.unwrap().then_some(expected)),
        Err(error) => assert_eq!(Err(error.fault), found),
    }
}

#[tokio::test]
async fn a_watch_reports_a_gap_and_calls_are_counted_by_kind() {
    let counts = Arc::new(CallCounts::default());
    let gone = serve(Behaviour::Answer(410, "")).await;
    let store = HttpObjectStore::new(gone, OPTIONS, counts.clone());
    let watch = store
        .watch("config/", ObjectVersion(4), Duration::ZERO)
        .await;
    assert_eq!(watch.unwrap_err().fault, StoreFault::WatchGap);
    let list = HttpInstanceList::new(gone, OPTIONS, counts.clone());
    assert!(list.instances().await.is_err());
    assert_eq!(counts.of(CallKind::Watch), 1);
    assert_eq!(counts.totals().instances, 1);
    assert_eq!(counts.totals().puts, 0);
}

#[rstest]
#[case("a key")]
#[case("a&key=b")]
#[case("a%2f")]
#[tokio::test]
async fn a_key_that_a_query_cannot_hold_is_not_sent(#[case] key: &str) {
    let store = store(serve(Behaviour::Answer(200, OBJECT)).await);
    assert!(store.get(&ObjectKey::from(key)).await.is_err());
    assert_eq!(store.counts().totals().gets, 0);
}

/// Starts a server that sends an object in parts, with a pause after each.
async fn serve_slowly(parts: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 4_096]).await;
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
            OBJECT.len()
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        for part in OBJECT.as_bytes().chunks(OBJECT.len().div_ceil(parts)) {
            if stream.write_all(part).await.is_err() {
                return;
            }
            sleep(pause).await;
        }
    });
    address
}

#[rstest]
#[case::parts_arrive(8, OPTIONS.call / 2, true)]
#[case::the_body_stops(2, OPTIONS.call * 4, false)]
#[tokio::test]
async fn a_large_answer_is_read_as_long_as_its_parts_arrive(
    #[case] parts: usize,
    #[case] pause: Duration,
    #[case] read: bool,
) {
    let address = serve_slowly(parts, pause).await;
    let object = store(address).get(&ObjectKey::from("a")).await;
    assert_eq!(object.is_ok(), read, "{object:?}");
}

/// Starts a server that answers each call with an object and the next of these headers.
async fn serve_headers(headers: Vec<&'static str>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        for lines in headers {
            let (mut stream, _) = listener.accept().await.unwrap();
            let _ = stream.read(&mut [0; 4_096]).await;
            let length = OBJECT.len();
            let head = format!(
                "HTTP/1.1 200 OK\r\n{lines}Connection: close\r\nContent-Length: {length}\r\n\r\n"
            );
            let _ = stream.write_all(head.as_bytes()).await;
            let _ = stream.write_all(OBJECT.as_bytes()).await;
        }
    });
    address
}

#[tokio::test]
async fn an_answer_from_before_a_restore_counts() {
    let headers = [
        "",
        "Store-Era: 4\r\n",
        "Store-Era: 5\r\n",
        "Store-Era: 4\r\n",
        "",
    ];
    let store = store(serve_headers(headers.to_vec()).await);
    let expected = [
        (None, true),
        (Some(4), true),
        (Some(5), true),
        (Some(5), false),
        (Some(5), true),
    ];
    for (era, answered) in expected {
        let read = store.get(&ObjectKey::from("a")).await;
        assert_eq!(read.is_ok(), answered, "{read:?}");
        assert_eq!(store.era().stated(), era);
    }
}

#[tokio::test]
async fn a_write_that_is_acknowledged_from_before_a_restore_counts_as_stored() {
    let headers = ["Store-Era: 5\r\n", "Store-Era: 4\r\n"];
    let address = serve_headers(headers.to_vec()).await;
    let store = store(address);
    store.get(&ObjectKey::from("a")).await.unwrap();
    let (key, id) = (ObjectKey::from("a"), WriteId::from("w"));
    let write = store.put(&key, Precondition::Absent, &id, Bytes::new());
    assert!(write.await.unwrap_err().may_have_written());
}

#[rstest]
#[case::no_number("Store-Era: new\r\n")]
#[case::negative("Store-Era: -1\r\n")]
#[case::fraction("Store-Era: 6.5\r\n")]
#[case::empty("Store-Era:\r\n")]
#[case::too_long("Store-Era: 99999999999999999999999\r\n")]
#[case::twice("Store-Era: 6\r\nStore-Era: 7\r\n")]
#[tokio::test]
async fn an_era_that_cannot_be_read_is_taken_for_a_restore(#[case] header: &'static str) {
    let store = store(serve_headers(vec!["Store-Era: 3\r\n", header]).await);
    for _ in 0..2 {
        assert!(store.get(&ObjectKey::from("a")).await.is_ok());
        assert_eq!(store.era().stated(), Some(3));
    }
}
