//! The HTTP server for the system's own processes: peer key, JSON-RPC, metrics and shutdown.
//!
//! Guards against access without the peer key, a key that shows in logs, and a refused connection
//! that is not reported as unsent (a request that is certainly unsent may be sent elsewhere).

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use jsonrpsee::RpcModule;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use kumquatkeel_daemon::http::{PeerClient, rpc_client};
use kumquatkeel_daemon::metrics::Metrics;
use kumquatkeel_daemon::peer::PeerKey;
use kumquatkeel_daemon::server::{NoRoutes, PeerServer};

const KEY: &str = "a-peer-key-of-the-tests";
const TIMEOUT: Duration = Duration::from_secs(30);

fn key(text: &str) -> PeerKey {
    PeerKey::try_from(text).expect("a valid key")
}

async fn server(metrics: Metrics) -> PeerServer {
    let mut module = RpcModule::new(());
    module
        .register_method("double", |params, (), _| params.one::<u32>().map(|n| n * 2))
        .unwrap();
    let listen = "127.0.0.1:0".parse().unwrap();
    PeerServer::start(listen, key(KEY), metrics, module, Arc::new(NoRoutes))
        .await
        .unwrap()
}

async fn get(server: &PeerServer, path: &str, peer_key: Option<&PeerKey>) -> (StatusCode, Bytes) {
    let mut request = Request::get(format!("http://{}{path}", server.address()));
    if let Some(peer_key) = peer_key {
        request = request.header("authorization", peer_key.header());
    }
    let request = request.body(Full::default()).unwrap();
    let response = PeerClient::new()
        .send("get", server.address(), request)
        .await
        .unwrap();
    let status = response.status();
    (
        status,
        response.into_body().collect().await.unwrap().to_bytes(),
    )
}

#[tokio::test]
async fn rpc_needs_the_peer_key() {
    let server = server(Metrics::start().unwrap()).await;
    let client = rpc_client(server.address(), &key(KEY), TIMEOUT).unwrap();
    assert_eq!(
        client
            .request::<u32, _>("double", rpc_params![21])
            .await
            .unwrap(),
        42
    );
    let unauthorised =
        rpc_client(server.address(), &key("another-key-of-the-tests"), TIMEOUT).unwrap();
    assert!(
        unauthorised
            .request::<u32, _>("double", rpc_params![21])
            .await
            .is_err()
    );
}

#[tokio::test]
async fn other_paths_need_the_key_but_metrics_and_liveness_do_not() {
    let metrics = Metrics::start().unwrap();
    metrics
        .meter("tests")
        .u64_counter("calls")
        .build()
        .add(3, &[]);
    let server = server(metrics).await;
    assert_eq!(get(&server, "/healthz", None).await.0, StatusCode::OK);
    assert_eq!(
        get(&server, "/elsewhere", None).await.0,
        StatusCode::UNAUTHORIZED
    );
    assert_eq!(
        get(&server, "/elsewhere", Some(&key(KEY))).await.0,
        StatusCode::NOT_FOUND
    );
    let (status, text) = get(&server, "/metrics", None).await;
    assert_eq!(status, StatusCode::OK);
    let text = String::from_utf8(text.to_vec()).unwrap();
    assert!(text.contains("kumquatkeel_calls_total"), "{text}");
}

#[tokio::test]
async fn a_stopped_server_refuses_connections_as_unsent() {
    let server = server(Metrics::start().unwrap()).await;
    let address = server.address();
    server.stop().await;
    let request = Request::get(format!("http://{address}/healthz"))
        .body(Full::default())
        .unwrap();
    let error = PeerClient::new()
        .send("get", address, request)
        .await
        .unwrap_err();
    assert!(error.unsent, "{error}");
}

#[test]
fn a_peer_key_is_validated_and_absent_from_debug_output() {
    assert_eq!(PeerKey::try_from("short").unwrap_err().path, "peer_key");
    assert!(!format!("{:?}", key(KEY)).contains(KEY));
}
