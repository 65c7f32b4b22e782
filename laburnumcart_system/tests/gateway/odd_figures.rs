//! Figures of targets that no target can mean.

use http::StatusCode;
use laburnumcart_fakes::scripted::Target;
use rstest::rstest;

use crate::support::{
    System,
    config,
    response, //
};

#[rstest]
#[case::idle_timeout("keep-alive: timeout=18446744073709551615\r\n")]
#[case::long_idle_timeout("keep-alive: timeout=9999999999999\r\n")]
#[case::idle_timeout_beyond("keep-alive: timeout=18446744073709551616\r\n")]
#[case::large_rate("server-limit: 1e400\r\n")]
#[case::highest_rate("server-limit: 1.7e308\r\n")]
#[case::lowest_rate("server-limit: 5e-324\r\n")]
#[case::negative_rate("server-limit: -1e400\r\n")]
#[case::large_load("x-laburnumcart-instance-load: 4294967295,4294967295,4294967295,1e400\r\n")]
#[case::load_beyond("x-laburnumcart-instance-load: 4294967296,-1,0.5,-1e400\r\n")]
#[case::small_load("x-laburnumcart-instance-load: 0,0,0,1e-320\r\n")]
#[case::long_backoff("retry-after: 1e19\r\n")]
#[case::endless_backoff("retry-after: 1e400\r\n")]
#[tokio::test]
async fn answers_pass_whatever_a_target_states(#[case] header: &'static str) {
    let headers = format!("x-laburnumcart-server-stamp: s\r\n{header}");
    let script = move |seen: &_, _| vec![response(seen, "200 OK", &headers, "done")];
    let desk = Target::start(script).await.unwrap();
    let system = System::start(config(|_| ()), &[("i-1", "desk", &desk)]).await;
    let first = system.call("/safe/1", |_| ()).await;
    assert_eq!((first.status, &first.body[..]), (StatusCode::OK, "done"));
    assert_eq!(system.gateway.metrics.panics.get(), 0);
}
