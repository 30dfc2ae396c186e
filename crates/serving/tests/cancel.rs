//! Guards against targets that go on working for callers who have left.
//!
//! A target notices an abandoned call only by the close of its connection, so a connection whose
//! call is cancelled before the response must be closed at once, whether it was new or reused.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use kumquatkeel_serving::net::open;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

/// Cancels a call that waits for its response, after `completed` calls on the same connection.
async fn cancel_pending_call(completed: usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = [0; 4096];
        for _ in 0..completed {
            assert!(stream.read(&mut buffer).await.unwrap() > 0);
            let response = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(response).await.unwrap();
        }
        assert!(stream.read(&mut buffer).await.unwrap() > 0);
        stream.read(&mut buffer).await.unwrap_or(0)
    });
    let mut connection = open(address, Duration::from_secs(1)).await.unwrap();
    let request = || {
        Request::post("/a/")
            .body(Full::new(Bytes::from_static(b"body")))
            .unwrap()
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    for _ in 0..completed {
        connection.send(request(), deadline).await.unwrap();
    }
    let pending = connection.send(request(), deadline);
    assert!(timeout(Duration::from_millis(50), pending).await.is_err());
    drop(connection);
    let end = timeout(Duration::from_secs(1), server).await;
    assert_eq!(
        end.expect("the connection closes within 1 s of the cancellation")
            .unwrap(),
        0
    );
}

#[tokio::test]
async fn a_new_connection_closes_when_its_call_is_cancelled() {
    cancel_pending_call(0).await;
}

#[tokio::test]
async fn a_reused_connection_closes_when_its_call_is_cancelled() {
    cancel_pending_call(1).await;
}
