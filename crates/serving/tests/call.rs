//! Calls to peers that answer without end.
//!
//! Guards against a call to the store, an engine or a target that takes memory or time without end.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use kumquatkeel_serving::net::{CallError, CallLimits, call};
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

const LIMITS: CallLimits = CallLimits {
    head: Duration::from_millis(400),
    pause: Duration::from_millis(300),
    total: Duration::from_secs(1),
    bytes: 8 * 1024 * 1024,
};

/// Starts a peer that answers with `head` and then sends a chunk after each pause, for as long as the
/// caller reads.
async fn start_peer(head: &'static str, chunk: usize, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let _ = stream.read(&mut [0; 1_024]).await;
            let _ = stream.write_all(head.as_bytes()).await;
            while stream.write_all(&vec![b'x'; chunk]).await.is_ok() {
                sleep(pause).await;
            }
        }
    });
    address
}

#[rstest]
#[case::head("HTTP/1.1 200 OK\r\nX-Padding: ", 64 * 1024, Duration::ZERO)]
#[case::slow_head("HTTP/1.1 200 OK\r\nX-Padding: ", 1, Duration::from_millis(50))]
#[case::body("HTTP/1.1 200 OK\r\n\r\n", 64 * 1024, Duration::ZERO)]
#[case::slow_body("HTTP/1.1 200 OK\r\n\r\n", 1, Duration::from_millis(50))]
#[tokio::test]
async fn an_answer_without_end_is_given_up(
    #[case] head: &'static str,
    #[case] chunk: usize,
    #[case] pause: Duration,
) {
    let address = start_peer(head, chunk, pause).await;
    let started = Instant::now();
    let mut connection = None;
    let request = Request::get("/").body(Full::new(Bytes::new())).unwrap();
    let call = call(&mut connection, address, request, LIMITS);
    let result = timeout(Duration::from_secs(5), call).await;
    assert!(result.is_ok_and(|result| result.is_err()));
    assert!(connection.is_none(), "the connection is not used again");
    assert!(
        started.elapsed() < LIMITS.total * 3,
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn a_slow_answer_is_read_as_long_as_bytes_arrive() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n";
    let address = start_peer(head, 1, Duration::from_millis(50)).await;
    let request = Request::get("/").body(Full::new(Bytes::new())).unwrap();
    let limits = CallLimits {
        pause: Duration::from_millis(200),
        ..LIMITS
    };
    let response = call(&mut None, address, request, limits).await;
    assert_eq!(response.unwrap().into_body().len(), 12);
}

#[tokio::test]
async fn a_call_that_times_out_tells_how_much_has_arrived() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n";
    let address = start_peer(head, 10, Duration::from_secs(3)).await;
    let request = Request::get("/").body(Full::new(Bytes::new())).unwrap();
    let result = call(&mut None, address, request, LIMITS).await;
    assert!(
        matches!(result, Err(CallError::Incomplete(10))),
        "{result:?}"
    );
}
