//! Line fits of the control cost and the measurements that they use.

use std::time;

use laburnumcart_system::{
    control_cost::{
        self,
        fit,
        fixture,
        usage, //
    },
    port, relay,
};
use rstest::rstest;
use tokio::io::{
    AsyncReadExt,
    AsyncWriteExt, //
};

#[test]
fn fit_of_points_on_a_line() {
    let fit = fit::Fit::new(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9);
    assert!((fit.intercept - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
}

#[test]
fn residual_of_points_off_the_line() {
    // The best line through these is y = 1; two points lie 1 above it and two 1 below.
    let points = [(0.0, 2.0), (1.0, 0.0), (2.0, 0.0), (3.0, 2.0)];
    let fit = fit::Fit::new(&points).unwrap();
    assert!(fit.slope.abs() < 1e-9);
    assert!((fit.residual - 1.0).abs() < 1e-9);
}

#[rstest]
#[case::none(&[])]
#[case::one(&[(1.0, 2.0)])]
#[case::one_size(&[(1.0, 2.0), (1.0, 3.0)])]
fn no_fit_without_two_sizes(#[case] points: &[(f64, f64)]) {
    assert_eq!(fit::Fit::new(points), None);
}

#[test]
fn table_prints_rows_and_fit() {
    let mut table = fit::Table::new("Title", "lanes", &["core %"]);
    table.push(0.0, [1.0]);
    table.push(100.0, [51.0]);
    let text = table.to_string();
    for line in ["| lanes | core % |", "| 100 | 51.0 |", "| slope | 0.5000 |"] {
        assert!(text.contains(line), "{text}");
    }
}

#[test]
fn usage_of_a_process_with_a_bracket_in_its_name() {
    let stat = "7 (a) b) S 1 7 7 0 -1 4194304 100 0 0 0 250 50 0 0 20 0 8 0 100 1 2";
    assert_eq!(usage::parse_cpu_seconds(stat), Some(3.0));
    assert_eq!(
        usage::parse_memory_megabytes("VmPeak: 9 kB\nVmRSS:\t 1000 kB\n"),
        Some(1.024)
    );
    assert_eq!(usage::parse_cpu_seconds("nothing"), None);
}

#[test]
fn sum_of_a_metric() {
    let page = "# HELP lanes x\nlanes{a=\"1\"} 2\nlanes{a=\"2\"} 3\nlanes_total 9\n";
    assert_eq!(fixture::sum_metric(page, "lanes"), Some(5.0));
    assert_eq!(fixture::sum_metric(page, "absent"), None);
}

#[test]
fn arguments() {
    let parse = |args: &[&str]| control_cost::parse_args(args.iter().map(ToString::to_string));
    let all = control_cost::Options {
        sections: control_cost::SECTIONS.to_vec(),
        window: time::Duration::from_secs(60),
    };
    assert_eq!(parse(&[]), Ok(control_cost::Command::Run(all)));
    let some = control_cost::Options {
        sections: vec![control_cost::Section::Agent],
        window: time::Duration::from_secs(5),
    };
    let args = ["--section", "agent", "--window", "5"];
    assert_eq!(parse(&args), Ok(control_cost::Command::Run(some)));
    assert!(parse(&["--section", "nothing"]).is_err());
    assert!(parse(&["--nothing"]).is_err());
}

#[tokio::test]
async fn relay_counts_bytes() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let dest = listener.local_addr().unwrap();
    let relay = relay::Relay::start(port::reserve_addr(), dest)
        .await
        .unwrap();
    let mut client = tokio::net::TcpStream::connect(relay.addr()).await.unwrap();
    let (mut server, _) = listener.accept().await.unwrap();
    client.write_all(&[1; 3]).await.unwrap();
    server.write_all(&[2; 5]).await.unwrap();
    server.read_exact(&mut [0; 3]).await.unwrap();
    client.read_exact(&mut [0; 5]).await.unwrap();
    let bytes = relay::Bytes {
        to_server: 3,
        to_client: 5,
    };
    laburnumcart_system::wait::until("bytes", || async { (relay.bytes() == bytes).then_some(()) })
        .await;
}
