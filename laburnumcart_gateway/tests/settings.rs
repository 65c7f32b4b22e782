//! Notations of numbers in the gateway's settings.

use std::time;

use laburnumcart_daemon::settings as daemon;
use laburnumcart_gateway::settings;
use rstest::rstest;

const SETTINGS: &str = r#"{
    "instance": "gateway-1", "data_centre": "north", "callers": "127.0.0.1:1",
    "admin": "127.0.0.1:2", "peer": "127.0.0.1:3", "store": "127.0.0.1:4",
    "cores": 0.12, "descriptors": 4100,
    "bounds": { "grace": "8s", "revoke": "5000ms", "retry_ratio": 0.2, "retry_extra": 246 }
}"#;

/// Returns the settings with one value in another notation.
fn with(field: &str, notation: &str) -> String {
    let field = format!("\"{field}\": ");
    let (head, tail) = SETTINGS.split_once(&field).unwrap();
    let end = tail.find([',', ' ', '\n']).unwrap();
    format!("{head}{field}{notation}{}", &tail[end..])
}

fn parse(text: &str) -> Result<settings::Settings, daemon::LoadError> {
    daemon::parse(text)
}

// Bounds computed from another deployment have fractions; a gateway that rejects them cannot start.
#[rstest]
#[case("retry_extra", "36.2")]
#[case("retry_extra", "36")]
#[case("retry_extra", "3.62e1")]
#[case("retry_ratio", "2E-1")]
#[case("retry_ratio", "1")]
#[case("grace", "\"8.5s\"")]
#[case("grace", "\"8.0s\"")]
#[case("grace", "\"8e0s\"")]
#[case("revoke", "\"5000.5ms\"")]
#[case("revoke", "\"5e+3ms\"")]
fn bounds_accept_any_number_notation(#[case] field: &str, #[case] notation: &str) {
    parse(&with(field, notation)).unwrap();
}

#[test]
fn fractions_keep_their_value() {
    let settings = parse(&with("retry_extra", "36.2")).unwrap();
    assert_eq!(settings.bounds.retry_extra, 36.2);
    let settings = parse(&with("revoke", "\"5000.5ms\"")).unwrap();
    let expected = time::Duration::from_micros(5_000_500);
    assert_eq!(settings.bounds.revoke.0, expected);
}

#[rstest]
#[case("4100.0")]
#[case("4.1e3")]
#[case("4100")]
fn whole_numbers_accept_any_notation(#[case] notation: &str) {
    let settings = parse(&with("descriptors", notation)).unwrap();
    assert_eq!(settings.descriptors, 4100);
}

#[rstest]
#[case("descriptors", "4100.5", "not of type \"integer\"")]
#[case("descriptors", "-1", "less than the minimum")]
#[case("descriptors", "5e9", "must be a whole number")]
#[case("cores", "0", "must be positive")]
#[case("retry_extra", "-0.5", "must not be negative")]
#[case("retry_ratio", "1.5", "must be between")]
#[case("grace", "\"8e\"", "")]
#[case("grace", "\"e3s\"", "")]
#[case("revoke", "\"-5ms\"", "")]
fn invalid_numbers_are_reported(
    #[case] field: &str,
    #[case] notation: &str,
    #[case] expected: &str,
) {
    let error = parse(&with(field, notation)).unwrap_err().to_string();
    assert!(error.contains(expected), "{error}");
    assert!(error.contains(&format!(".{field}: ")), "{error}");
}
