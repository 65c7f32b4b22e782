//! Entries of other writers in answers of the object service.

use std::{
    io::{
        Read as _,
        Write as _, //
    },
    net,
    time, //
};

use laburnumcart_platform::{
    client, raw,
    store::{
        self,
        Store, //
    },
};
use rstest::rstest;

/// Returns a client of a service that answers one call with `body`.
fn client(body: Vec<u8>) -> client::Client {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        assert!(stream.read(&mut request).unwrap() > 0);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        stream
            .write_all(&[head.as_bytes(), &body].concat())
            .unwrap();
    });
    client::Client::builder([addr]).build().unwrap()
}

fn body(member: &str, odd: &str) -> Vec<u8> {
    let sound = |key: &str| format!(r#"{{"key":"{key}","version":3,"value":"{{}}"}}"#);
    let text = format!(
        r#"{{"revision":9,"{member}":[{},{odd},{}],"more":{{}}}}"#,
        sound("a"),
        sound("c")
    );
    text.bytes()
        .map(|b| if b == b'?' { 0xff } else { b })
        .collect()
}

#[rstest]
#[case::null("null")]
#[case::empty("{}")]
#[case::nested_lists(&format!("{}1{}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::nested_objects(&format!("{}1{}", "{\"a\":".repeat(100_000), "}".repeat(100_000)))]
#[case::nested_key(&format!("{{\"key\":{}1{}}}", "[".repeat(100_000), "]".repeat(100_000)))]
#[case::large_version(r#"{"key":"b","version":1e400,"value":"1"}"#)]
#[case::long_version(r#"{"key":"b","version":18446744073709551616,"value":"1"}"#)]
#[case::fraction(r#"{"key":"b","version":0.5,"value":"1"}"#)]
#[case::value_of_another_type(r#"{"key":"b","version":4,"value":1}"#)]
#[case::half_pair(r#"{"key":"b","version":4,"value":"\ud800"}"#)]
#[case::unknown_word(r#"{"key":"b","version":NaN,"value":"1"}"#)]
#[case::repeated(r#"{"key":"b","key":"b","version":4,"value":"1"}"#)]
#[case::invalid_utf8(r#"{"key":"?","version":?,"value":"1"}"#)]
#[tokio::test]
async fn unreadable_entries_hide_no_other_entry(#[case] odd: &str) {
    let listing = client(body("objects", odd)).list("").await.unwrap();
    let keys: Vec<_> = listing.objects.iter().map(|o| o.key.as_str()).collect();
    assert_eq!(
        (keys, listing.revision),
        (vec!["a", "c"], store::Revision(9))
    );
    let client = client(body("events", odd));
    let changes = client
        .watch("", store::Revision(1), time::Duration::ZERO)
        .await;
    let changes = changes.unwrap();
    let keys: Vec<_> = changes.events.iter().map(|e| e.key.as_str()).collect();
    assert_eq!(
        (keys, changes.revision),
        (vec!["a", "c"], store::Revision(9))
    );
}

#[rstest]
#[case("[]", Some(&[][..]))]
#[case(" [ 1 , {\"a\":[2]} ] ", Some(&["1", "{\"a\":[2]}"][..]))]
#[case(r#"["a,]\"","\\",NaN]"#, Some(&[r#""a,]\"""#, r#""\\""#, "NaN"][..]))]
#[case("[1,]", Some(&["1", ""][..]))]
#[case("[1", None)]
#[case("[1}", None)]
#[case("[\"]", None)]
#[case("[\"\\", None)]
#[case("[1]2", None)]
#[case("{}", None)]
#[case("", None)]
fn lists_are_split(#[case] text: &str, #[case] expected: Option<&[&str]>) {
    assert_eq!(raw::elements(text).as_deref(), expected);
}

#[rstest]
#[case(r#"{"a":1,"b":{"a":2}}"#, Some("1"))]
#[case(r#"{"b":{"a":2}, "a" : [1] }"#, Some("[1]"))]
#[case(r#"{"a":1,"a":2}"#, Some("1"))]
#[case(r#"{"aa":1}"#, None)]
#[case(r#"{"b":"\"a\":1"}"#, None)]
#[case(r#"["a",1]"#, None)]
#[case("{", None)]
fn members_are_found(#[case] text: &str, #[case] expected: Option<&str>) {
    assert_eq!(raw::field(text, "a"), expected);
}
