//! Routes by host and path, weights of backends, and teams by API key.

use std::time;

use laburnumcart::{
    ingress,
    unit, //
};
use rstest::rstest;

const LIMITS: ingress::Limits = ingress::Limits {
    max_head: 16384,
    max_body: 1 << 20,
    head_timeout: time::Duration::from_secs(3),
    idle_timeout: time::Duration::from_secs(15),
};

fn route(name: &str, host: &str, prefix: &str) -> ingress::Route {
    ingress::Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        retry: ingress::RetryPolicy::Never,
        stream: false,
        timeout: time::Duration::from_secs(1),
        objective: time::Duration::from_millis(300),
        max_gap: None,
        rank: 0,
        max_sends: 1,
        backends: vec![backend("north", 1)],
        stages: Vec::new(),
        anonymous: false,
        regions: None,
    }
}

fn backend(service: &str, weight: u32) -> ingress::Backend {
    ingress::Backend {
        service: service.parse().unwrap(),
        weight,
    }
}

fn stage(inputs: &[usize]) -> ingress::Stage {
    ingress::Stage {
        service: "encode".parse().unwrap(),
        inputs: inputs.to_vec(),
        result_size: unit::Size(1000),
    }
}

#[rstest]
#[case("a.example", "/x/1", Some("short"))]
#[case("a.example", "/x/y/1", Some("long"))]
#[case("A.Example:8080", "/x/y/1", Some("long"))]
#[case("a.example", "/x", None)]
#[case("a.example", "/xy/1", None)]
#[case("b.example", "/x/1", Some("other"))]
#[case("c.example", "/x/1", None)]
fn the_longest_prefix_of_the_host_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<&str>,
) {
    let mut table = ingress::Table::new(1, LIMITS);
    table.add_route(route("short", "a.example", "/x/"));
    table.add_route(route("long", "a.example", "/x/y/"));
    table.add_route(route("other", "b.example", "/x/"));
    let found = table.find_route(host, path).map(|r| r.name.as_str());
    assert_eq!(found, expected.ok_or(ingress::NoRoute::Unknown));
}

#[test]
fn requests_are_split_by_weight() {
    let mut split = route("split", "a.example", "/");
    split.backends = vec![backend("north", 90), backend("south", 10)];
    let south = (0..1000).filter(|n| split.choose_backend(*n).unwrap().as_str() == "south");
    assert_eq!(south.count(), 100);
    split.backends.clear();
    assert_eq!(split.choose_backend(7), None);
}

#[test]
fn last_stages_are_those_without_a_reader() {
    let mut staged = route("staged", "a.example", "/");
    staged.stages = vec![stage(&[]), stage(&[]), stage(&[1]), stage(&[2])];
    assert_eq!(staged.last_stages().collect::<Vec<_>>(), [0, 3]);
}

#[test]
fn api_key_identifies_the_team() {
    let mut table = ingress::Table::new(1, LIMITS);
    let (mut open, closed) = (route("open", "a", "/"), route("closed", "a", "/"));
    open.anonymous = true;
    assert_eq!(table.find_team(&closed, None), Ok(None));
    let team = ingress::Team {
        regions: None,
        name: "clinic".parse().unwrap(),
        rank: Some(1),
    };
    table.add_key("secret", team.clone());
    assert_eq!(table.find_team(&closed, Some("secret")), Ok(Some(&team)));
    assert_eq!(
        table.find_team(&closed, Some("other")),
        Err(ingress::NoTeam::Unauthorized)
    );
    assert_eq!(
        table.find_team(&closed, None),
        Err(ingress::NoTeam::Unauthorized)
    );
    assert_eq!(table.find_team(&open, None), Ok(None));
}
