//! The whole path of a request through entry hosts on loopback.

use fighall_testkit::{
    caller::CallRequest,
    cluster::{ClusterPlan, LocalCluster, SERVICE_HOST},
};
use http::StatusCode;

fn run(test: impl Future<Output = ()>) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

#[test]
fn a_request_is_served_from_end_to_end() {
    run(async {
        let cluster = LocalCluster::start(ClusterPlan::default()).await.unwrap();
        let caller = cluster.caller("andes");
        let request =
            CallRequest::new("GET", SERVICE_HOST, "/quotes").with_key(&cluster.key("andes"));
        for _ in 0..50 {
            let answer = caller.call(&request).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{:?}", answer.body);
        }
        let started: u64 = cluster
            .targets
            .values()
            .map(|target| target.record().started)
            .sum();
        assert_eq!(started, 50);
        assert!(
            cluster
                .targets
                .values()
                .all(|target| !target.record().saw_key)
        );
    });
}
