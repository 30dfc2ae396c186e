//! The HTTP client against a server that answers as a test says.

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
use tokio::net::TcpListener;

const OPTIONS: HttpOptions = HttpOptions {
    connect: Duration::from_millis(500),
    call: Duration::from_millis(200),
};

/// What the server does with every call.
#[derive(Debug, Clone, Copy)]
enum Server {
    Answer(u16, &'static str),
    HangUp,
    Silent,
}

async fn serve(server: Server) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let service = service_fn(move |request: Request<Incoming>| answer(server, request));
            tokio::spawn(async move {
                if !matches!(server, Server::HangUp) {
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
    server: Server,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let Server::Answer(status, body) = server else {
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
#[case::done(Server::Answer(200, r#"{"version":7}"#), Ok(ObjectVersion(7)))]
#[case::rate(Server::Answer(429, ""), Err(StoreFault::RateLimited))]
#[case::outage(Server::Answer(503, ""), Err(StoreFault::Unavailable))]
#[case::large(Server::Answer(413, ""), Err(StoreFault::TooLarge { bytes: 2 }))]
#[case::conflict(
    Server::Answer(412, r#"{"current":9}"#),
    Err(StoreFault::Conflict { current: Some(ObjectVersion(9)) })
)]
#[case::unnamed_status(Server::Answer(500, ""), Err(StoreFault::Unknown))]
#[case::hung_up(Server::HangUp, Err(StoreFault::Unknown))]
#[case::silent(Server::Silent, Err(StoreFault::Unknown))]
#[tokio::test]
async fn a_write_tells_what_is_certain(
    #[case] server: Server,
    #[case] expected: Result<ObjectVersion, StoreFault>,
) {
    assert_eq!(put(serve(server).await).await, expected);
}

#[tokio::test]
async fn a_malformed_answer_leaves_a_write_open() {
    let store = store(serve(Server::Answer(200, "{")).await);
    let key = ObjectKey::from("a");
    let id = WriteId::from("w");
    let write = store.put(&key, Precondition::Absent, &id, Bytes::new());
    assert!(write.await.unwrap_err().may_have_written());
}

#[tokio::test]
async fn a_refused_connection_wrote_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    assert_eq!(put(address).await, Err(StoreFault::Unavailable));
}

#[rstest]
#[case::found(Server::Answer(200, OBJECT), Ok(true))]
#[case::absent(Server::Answer(404, ""), Ok(false))]
#[case::rate(Server::Answer(429, ""), Err(StoreFault::RateLimited))]
#[case::outage(Server::Answer(503, ""), Err(StoreFault::Unavailable))]
#[case::hung_up(Server::HangUp, Err(StoreFault::Unavailable))]
#[case::silent(Server::Silent, Err(StoreFault::Unavailable))]
#[tokio::test]
async fn a_read_finds_the_object_or_says_why_not(
    #[case] server: Server,
    #[case] found: Result<bool, StoreFault>,
) {
    let read = store(serve(server).await).get(&ObjectKey::from("a")).await;
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
async fn a_watch_tells_of_a_gap_and_calls_are_counted_by_kind() {
    let counts = Arc::new(CallCounts::default());
    let gone = serve(Server::Answer(410, "")).await;
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
async fn a_key_that_cannot_stand_in_a_query_is_never_sent(#[case] key: &str) {
    let store = store(serve(Server::Answer(200, OBJECT)).await);
    assert!(store.get(&ObjectKey::from(key)).await.is_err());
    assert_eq!(store.counts().totals().gets, 0);
}
