//! The demo's calls all hold.

use kumquatkeel_standin::demo::{DemoOptions, run};

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn every_answer_of_the_demo_is_the_expected_one() {
    let report = run(DemoOptions { once: true }).await.expect("all hold");
    assert_eq!(report.calls.len(), 5);
}
