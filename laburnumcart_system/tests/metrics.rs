//! Checks that the metrics of the daemons match the operators' page.

use std::collections;

use serde_json::json;

use laburnumcart_system::{
    fleet,
    sample,
    wait, //
};

/// The operators' page.
const PAGE: &str = include_str!("../../docs/OPERATIONS.md");

/// Suffixes of names that stand for units other than the base units.
const NOT_BASE: [&str; 10] = [
    "ms",
    "millis",
    "milliseconds",
    "us",
    "micros",
    "minutes",
    "kb",
    "kib",
    "mib",
    "percent",
];

/// Largest number of series of one metric with two teams, two pipelines and five services.
const SERIES_MAX: usize = 64;

/// One metric, as documented or as exported.
#[derive(Debug, Default, PartialEq)]
struct Metric {
    kind: String,
    labels: collections::BTreeSet<String>,
}

/// A metric's row on the page.
#[derive(Debug)]
struct Row {
    metric: Metric,
    unit: String,
    alert: String,
}

/// Returns the cells of each row of the table whose head starts with `first`.
fn table_rows(first: &str) -> Vec<Vec<String>> {
    let head = format!("| {first} |");
    let lines = PAGE.lines().skip_while(|line| !line.starts_with(&head));
    let rows = lines.skip(2).take_while(|line| line.starts_with('|'));
    let cells = |row: &str| -> Vec<String> {
        let cells = row.trim_matches('|').split('|');
        cells.map(|cell| cell.trim().replace('`', "")).collect()
    };
    rows.map(cells).collect()
}

/// Returns the documented metrics by name.
fn documented() -> collections::BTreeMap<String, Row> {
    let row = |cells: Vec<String>| {
        let [name, kind, unit, labels, meaning, alert] = &cells[..] else {
            panic!("{cells:?}");
        };
        assert!(!meaning.is_empty(), "{name} has no meaning");
        let labels = labels.split(", ").filter(|label| *label != "-");
        let metric = Metric {
            kind: kind.clone(),
            labels: labels.map(str::to_owned).collect(),
        };
        let (unit, alert) = (unit.clone(), alert.clone());
        (
            name.clone(),
            Row {
                metric,
                unit,
                alert,
            },
        )
    };
    table_rows("metric").into_iter().map(row).collect()
}

/// Returns the names and values of the labels of a sample.
fn labels(sample: &str) -> Vec<(String, String)> {
    let Some((_, rest)) = sample.split_once('{') else {
        return Vec::new();
    };
    let (inside, _) = rest.rsplit_once('}').expect("a closing brace");
    let pair = |pair: &str| {
        let (name, value) = pair.split_once('=').expect("a label");
        (name.to_owned(), value.trim_matches('"').to_owned())
    };
    inside.split(',').map(pair).collect()
}

/// Returns the metrics of a page by name, and checks the names and the number of series.
fn exported(page: &str) -> collections::BTreeMap<String, Metric> {
    let mut all = collections::BTreeMap::new();
    for line in page.lines() {
        let Some(rest) = line.strip_prefix("# TYPE ") else {
            continue;
        };
        let (family, kind) = rest.split_once(' ').expect("a type");
        let name = match kind {
            "counter" => format!("{family}_total"),
            _ => family.to_owned(),
        };
        let of = |line: &&str| {
            let name = line.split(['{', ' ']).next().unwrap_or_default();
            let suffix = name.strip_prefix(family);
            suffix.is_some_and(|s| ["", "_total", "_bucket", "_sum", "_count"].contains(&s))
        };
        let samples: Vec<&str> = page.lines().filter(of).collect();
        check_name(&name, family, kind, &samples);
        let names = samples.iter().flat_map(|sample| labels(sample));
        let names = names.map(|(name, _)| name).filter(|name| name != "le");
        let metric = Metric {
            kind: kind.into(),
            labels: names.collect(),
        };
        assert!(all.insert(name, metric).is_none(), "{family} appears twice");
    }
    all
}

fn check_name(name: &str, family: &str, kind: &str, samples: &[&str]) {
    let plain = |c: char| c.is_ascii_lowercase() || c == '_';
    assert!(name.chars().all(plain), "{name}");
    let own = name.starts_with("laburnum_") || name.starts_with("process_");
    assert!(own, "{name}");
    let parts: Vec<&str> = family.split('_').collect();
    assert!(!parts.iter().any(|part| NOT_BASE.contains(part)), "{name}");
    assert!(!parts.contains(&"total"), "{name}");
    if let Some(place) = parts.iter().position(|p| ["seconds", "bytes"].contains(p)) {
        assert_eq!(
            place + 1,
            parts.len(),
            "the unit of {name} is not at its end"
        );
    }
    if kind == "counter" {
        let total = |sample: &&str| sample.starts_with(&format!("{family}_total"));
        assert!(samples.iter().all(total), "{samples:?}");
    }
    assert!(samples.len() <= SERIES_MAX, "{name}: {}", samples.len());
}

/// Sends requests of each kind, with faults, so that each metric with labels has a value.
async fn cause_all_metrics(fleet: &fleet::Fleet) {
    let check = fleet::Call::new(
        sample::CHECK_PIPELINE,
        sample::CLINIC_TOKEN,
        json!({"case": 1}),
    );
    let open = fleet::Call::new(
        sample::OPEN_PIPELINE,
        sample::FEDERATION_TOKEN,
        json!({"case": 2}),
    );
    let (unkeyed, keyed) = (open.clone(), open.key("a"));
    let unknown = fleet::Call::new("no-such-pipeline", sample::CLINIC_TOKEN, json!({}));
    assert_eq!(fleet.call(0, &check).await.expect("an answer").status, 200);
    assert_eq!(fleet.call(0, &keyed).await.expect("an answer").status, 200);
    for refused in [&unkeyed, &unknown] {
        let answer = fleet.call(0, refused).await.expect("an answer");
        assert!(answer.status >= 400, "{}", answer.status);
    }
    // The engine fails each attempt, so that its agent has a failure to count.
    let engine = fleet.nodes.iter().position(|n| n.service == "case-model");
    fleet
        .set_target_behaviour(engine.expect("an engine"), &json!({"fail": 1.0}))
        .await;
    let failed = fleet.call(0, &check).await.expect("an answer");
    assert!(failed.status >= 500, "{}", failed.status);
    fleet.set_store_faults(&json!({"down": true})).await;
}

/// Calls every peer port without the fleet's secret, which must be refused.
async fn call_peers_unauthenticated(fleet: &fleet::Fleet) {
    for addr in fleet.peer_addrs() {
        let answer = fleet.http.get(addr, "/").await.expect("an answer");
        assert_eq!(answer.status, 401);
    }
}

async fn metrics_page(fleet: &fleet::Fleet, addr: std::net::SocketAddr) -> String {
    fleet.http.get(addr, "/metrics").await.expect("a page").body
}

fn sample_value(page: &str, sample: &str) -> f64 {
    let line = page.lines().find_map(|line| line.strip_prefix(sample));
    line.and_then(|rest| rest.trim().parse().ok())
        .unwrap_or(f64::NAN)
}

// A metric without a row in the operators' page, or a row without a metric, misleads operators.
#[tokio::test(flavor = "multi_thread")]
async fn each_metric_is_documented() {
    let plan = fleet::Plan::new(sample::services(1), sample::bundle()).entries(1);
    let fleet = fleet::Fleet::start(plan).await;
    cause_all_metrics(&fleet).await;
    call_peers_unauthenticated(&fleet).await;
    let engine = fleet.nodes.iter().find(|n| n.service == "case-model");
    let engine = engine.expect("an engine").admin_addr;
    let mut pages = Vec::new();
    for addr in [fleet.entries[0].caller_addr, engine] {
        wait::until("failures of the object service", || async {
            let page = metrics_page(&fleet, addr).await;
            page.contains("laburnum_bundle_failures_total{")
                .then_some(())
        })
        .await;
        pages.push(metrics_page(&fleet, addr).await);
    }
    let documented = documented();
    let mut found = collections::BTreeMap::new();
    for page in &pages {
        assert_eq!(sample_value(page, "laburnum_peer_refused_total"), 1.0);
        assert!(!page.contains("no-such-pipeline"), "a caller chose a label");
        for (name, metric) in exported(page) {
            let row = documented.get(&name);
            let row = row.unwrap_or_else(|| panic!("{name} is not documented"));
            assert_eq!(metric, row.metric, "{name}");
            found.insert(name, metric);
        }
    }
    let absent: Vec<_> = documented
        .keys()
        .filter(|n| !found.contains_key(*n))
        .collect();
    assert!(absent.is_empty(), "documented but not exported: {absent:?}");
}

#[test]
fn units_labels_and_alerts_are_named() {
    let first = |cells: &Vec<String>| cells[0].clone();
    let alerts: Vec<String> = table_rows("alert").iter().map(first).collect();
    let known: Vec<String> = table_rows("label").iter().map(first).collect();
    let known: Vec<&str> = known.iter().flat_map(|names| names.split(", ")).collect();
    assert!(!alerts.is_empty() && !known.is_empty());
    let documented = documented();
    for (name, row) in &documented {
        assert!(!row.unit.is_empty(), "{name}");
        assert!(alerts.contains(&row.alert), "{name}: {}", row.alert);
        for unit in ["seconds", "bytes"] {
            let named = name.trim_end_matches("_total").ends_with(unit);
            assert_eq!(named, row.unit == unit, "{name} in {}", row.unit);
        }
        for label in &row.metric.labels {
            assert!(known.contains(&label.as_str()), "{name}: {label}");
        }
    }
    for alert in &alerts {
        let used = documented.values().any(|row| row.alert == *alert);
        assert!(used, "no metric raises {alert}");
    }
}
