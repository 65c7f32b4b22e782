//! Cases and statistics of the measurement, and the faults that fake targets inject for it.

use std::time::Duration;

use laburnumcart::{
    bundle,
    unit, //
};
use laburnumcart_fakes::{
    client,
    demo::{
        self,
        layout,
        shape, //
    },
    load::plan,
    measure::{
        case,
        figures,
        plot,
        runner,
        table, //
    },
    target::{
        self,
        behaviour,
        settings, //
    },
};
use rstest::rstest;
use serde_json::Value;

/// First port of the layouts.
const BASE_PORT: u16 = 20_000;

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(20);

fn layout(shape: shape::Shape, time_factor: u32) -> layout::Layout {
    let mut layout = layout::Layout::new(shape, shape::Size::Full, BASE_PORT);
    layout.time_factor = time_factor;
    layout
}

fn plan(shape: shape::Shape) -> plan::Plan {
    let name = format!("laburnum-measure-{:016x}", rand::random::<u64>());
    let dir = std::env::temp_dir().join(name);
    demo::write(&layout(shape, 1), &dir, &[]).unwrap();
    let text = std::fs::read_to_string(dir.join("load.json")).unwrap();
    std::fs::remove_dir_all(&dir).unwrap();
    serde_json::from_str(&text).unwrap()
}

#[rstest]
#[case(&[], (0.0, 0.0, 0.0))]
#[case(&[3.0], (3.0, 3.0, 3.0))]
#[case(&[3.0, 1.0, 2.0], (1.0, 2.0, 3.0))]
#[case(&[4.0, 1.0], (1.0, 1.0, 4.0))]
fn spread_holds_minimum_median_and_maximum(
    #[case] values: &[f64],
    #[case] expected: (f64, f64, f64),
) {
    let spread = figures::Spread::of(values.iter().copied());
    assert_eq!((spread.low, spread.mid, spread.high), expected);
}

// 80% of the requests call one of 3 retrievers with 4 slots for 8 ms, which is the bottleneck.
#[rstest]
#[case(1, 1875.0)]
#[case(10, 187.5)]
fn capacity_is_that_of_the_slowest_service(#[case] time_factor: u32, #[case] expected: f64) {
    let capacity = layout(shape::Shape::Araya, time_factor).capacity();
    assert!((capacity - expected).abs() < 0.1, "{capacity}");
}

#[rstest]
fn cases_are_valid_plans(
    #[values(shape::Shape::Araya, shape::Shape::Quetzal)] shape: shape::Shape,
) {
    let plan = plan(shape);
    let cases = case::all(&plan, Duration::from_secs(5));
    for case in &cases {
        assert_eq!(case.plan.validate(), Vec::<String>::new(), "{}", case.name);
    }
    let faulty_targets = |text: &str| {
        let case = cases.iter().find(|case| case.name.contains(text)).unwrap();
        case.plan.faults[0].targets.len()
    };
    assert_eq!(faulty_targets("killed"), plan.targets().count() / 5);
    assert_eq!(faulty_targets("late"), plan.targets().count());
    let stragglers = cases.iter().filter(|case| case.name.contains("straggler"));
    assert_eq!(stragglers.count(), 4);
}

#[test]
fn results_become_tables_and_a_plot() {
    let plan = plan(shape::Shape::Araya);
    let outcome = |load| runner::Outcome {
        case: format!("offered {load}x"),
        load,
        load_average: figures::Spread::of([7.0]),
        strategies: runner::STRATEGIES
            .map(|strategy| (strategy, figures::Figures::default()))
            .into(),
    };
    let outcomes = [outcome(0.5), outcome(3.0)];
    let teams = plan.teams.iter();
    let page = table::Tables {
        outcomes: &outcomes,
        weights: teams
            .map(|(name, team)| (name.clone(), team.weight))
            .collect(),
    };
    let text = page.to_string();
    let columns = |line: &&str| line.matches('|').count();
    for block in text.split("\n\n").filter(|block| block.starts_with('|')) {
        let counts: std::collections::HashSet<_> = block.lines().map(|l| columns(&l)).collect();
        assert_eq!(counts.len(), 1, "{block}");
    }
    let name = format!("laburnum-measure-{:016x}.svg", rand::random::<u64>());
    let path = std::env::temp_dir().join(name);
    plot::write(&outcomes, &path).unwrap();
    let svg = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    assert!(svg.contains("least loaded") && svg.ends_with("</svg>\n"));
}

// A fault with a downtime must not end after the shorter restart time of a crash.
#[tokio::test]
async fn killed_target_stays_down_for_the_requested_time() {
    let address = "127.0.0.1:0".parse().unwrap();
    let name = "t-1".parse().unwrap();
    let mut settings = settings::Settings::new(name, bundle::Kind::Pool, address);
    settings.restart_time = Duration::ZERO;
    let target = target::start(settings).unwrap();
    let client = client::Client::default();
    let url = |path: &str| format!("http://{}{path}", target.address());
    let behave = async |change: behaviour::Change| {
        let body = serde_json::to_string(&change).unwrap();
        client.post(&url("/admin/behave"), &[], body).await
    };
    let read = async |path: &str, field: &str| -> Option<Value> {
        let answer = client.get(&url(path)).await.ok()?;
        Some(answer.json()?[field].clone())
    };
    let late = behaviour::Change {
        load_lag: Some(unit::Period::from_secs(5)),
        ..Default::default()
    };
    behave(late).await.unwrap();
    let boot = read("/v1/state", "boot").await.unwrap();
    let start = std::time::Instant::now();
    let down = Duration::from_millis(400);
    let killed = behaviour::Change {
        down: Some(unit::Period(down)),
        ..Default::default()
    };
    // The response may be lost with the connection.
    let _ = behave(killed).await;
    let back = async {
        loop {
            match read("/v1/state", "boot").await {
                Some(other) if other != boot => return,
                _ => tokio::time::sleep(Duration::from_millis(5)).await,
            }
        }
    };
    tokio::time::timeout(TIMEOUT, back).await.unwrap();
    assert!(start.elapsed() >= down);
    assert_eq!(read("/v1/load", "age_ms").await, Some(5000.into()));
}
