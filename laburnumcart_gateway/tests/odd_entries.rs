//! Entries of other writers that peers tell each other.

use laburnumcart_gateway::relay::packed;
use laburnumcart_platform::store;
use rstest::rstest;

fn event(name: &str, value: String) -> store::Event {
    store::Event {
        key: format!("servers/{name}"),
        version: store::Version(4),
        value: Some(value),
    }
}

#[rstest]
#[case::nested_lists(format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::nested_objects(format!("{}1{}", "{\"a\":".repeat(100_000), "}".repeat(100_000)))]
#[case::large_number("1e400".into())]
#[case::not_json("NaN".into())]
#[case::replaced_bytes("\"\u{fffd}\u{0}\"".into())]
#[case::half_pair("\"\\ud800\"".into())]
#[case::megabyte(format!("\"{}\"", "\\\"".repeat(1 << 19)))]
#[case::empty(String::new())]
fn an_odd_value_is_told_as_it_is(#[case] value: String) {
    let events = [
        event("a", "{}".into()),
        event("b", value),
        event("c", "{}".into()),
    ];
    let bytes = packed::pack(&events, None).unwrap();
    let told = packed::unpack(&bytes, packed::Checksum::of(&bytes), None).unwrap();
    assert_eq!(told, events);
    let plain = serde_json::to_string(&events).unwrap();
    let told: Vec<store::Event> = serde_json::from_str(&plain).unwrap();
    assert_eq!(told, events);
}
