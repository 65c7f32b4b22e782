//! Signing and verification of envelopes.

use std::collections;

use proptest::prelude::*;
use rstest::rstest;

use laburnumcart::{
    document,
    signing, //
};

const TEXT: &str = r#"{"format":1}"#;

fn key() -> signing::SecretKey {
    signing::SecretKey::generate().expect("random numbers")
}

fn trust(keys: &[(&str, &signing::SecretKey)], required: u32) -> signing::Trust {
    let keys = keys.iter().map(|(name, key)| {
        let name = name.parse().expect("a name");
        (name, signing::Keys::from(key.public()))
    });
    let at = document::Path::root();
    signing::Trust::new(keys.collect(), required, &at).expect("valid settings")
}

fn signed(text: &str, keys: &[(&str, &signing::SecretKey)]) -> String {
    let mut envelope = signing::Envelope::new(text);
    for (name, key) in keys {
        envelope.sign(name.parse().expect("a name"), key);
    }
    envelope.to_text()
}

#[test]
fn envelope_with_enough_signers_is_verified() {
    let (ana, eva) = (key(), key());
    let text = signed(TEXT, &[("ana", &ana), ("eva", &eva)]);
    let digest = signing::Digest::of(text.as_bytes());
    let trust = trust(&[("ana", &ana), ("eva", &eva)], 2);
    let verified = trust.verify(&text, Some(digest)).expect("verified");
    assert_eq!(verified.bundle(), TEXT);
    assert_eq!(verified.digest(), digest);
    assert_eq!(verified.signers().len(), 2);
}

#[rstest]
#[case::none(&[], 0)]
#[case::unknown_key(&["bob"], 0)]
#[case::one_of_two(&["ana"], 1)]
#[case::one_known(&["ana", "bob"], 1)]
#[case::twice_the_same(&["ana", "ana"], 1)]
fn too_few_signers_are_refused(#[case] names: &[&str], #[case] valid: usize) {
    let (ana, eva, bob) = (key(), key(), key());
    let all = [("ana", &ana), ("eva", &eva), ("bob", &bob)];
    let find = |name: &&str| *all.iter().find(|(n, _)| n == name).expect("known");
    let keys: Vec<_> = names.iter().map(find).collect();
    let trust = trust(&[("ana", &ana), ("eva", &eva)], 2);
    let outcome = trust.verify(&signed(TEXT, &keys), None);
    assert_eq!(
        outcome,
        Err(signing::VerifyError::TooFew { valid, required: 2 })
    );
}

/// An unknown key under a trusted name or a signature of another text must not be accepted.
#[test]
fn forged_signatures_do_not_count() {
    let (ana, bob) = (key(), key());
    let trust = trust(&[("ana", &ana)], 1);
    let refused = signing::VerifyError::TooFew {
        valid: 0,
        required: 1,
    };
    let forged = signed(TEXT, &[("ana", &bob)]);
    assert_eq!(trust.verify(&forged, None), Err(refused));

    let other = signing::Envelope::parse(&signed("{}", &[("ana", &ana)])).expect("envelope");
    let mut moved = signing::Envelope::new(TEXT);
    moved.signatures = other.signatures;
    assert_eq!(trust.verify(&moved.to_text(), None), Err(refused));
}

#[test]
fn one_signature_twice_is_one_signer() {
    let (ana, eva) = (key(), key());
    let trust = trust(&[("ana", &ana), ("eva", &eva)], 2);
    let mut envelope = signing::Envelope::parse(&signed(TEXT, &[("ana", &ana)])).expect("envelope");
    envelope.signatures.push(envelope.signatures[0].clone());
    let refused = signing::VerifyError::TooFew {
        valid: 1,
        required: 2,
    };
    assert_eq!(trust.verify(&envelope.to_text(), None), Err(refused));
}

/// Processes that trust the old key, the new one or both must accept signatures by a trusted key.
#[test]
fn keys_are_rotated_without_a_gap() {
    let (old, new) = (key(), key());
    let both: signing::Keys = format!("{},{}", old.public(), new.public())
        .parse()
        .expect("keys");
    let keys = collections::BTreeMap::from([("ana".parse().expect("a name"), both)]);
    let rotating = signing::Trust::new(keys, 1, &document::Path::root()).expect("valid settings");
    for key in [&old, &new] {
        let text = signed(TEXT, &[("ana", key)]);
        assert!(rotating.verify(&text, None).is_ok());
        assert!(trust(&[("ana", key)], 1).verify(&text, None).is_ok());
    }
    let stale = trust(&[("ana", &old)], 1);
    assert!(stale.verify(&signed(TEXT, &[("ana", &new)]), None).is_err());
}

#[test]
fn one_key_cannot_be_two_signers() {
    let ana = key();
    let names = ["ana", "eva"].map(|name| name.parse().expect("a name"));
    let keys = names.map(|name| (name, signing::Keys::from(ana.public())));
    let faults = signing::Trust::new(keys.into(), 2, &document::Path::root());
    let text = faults.expect_err("a fault").to_string();
    assert_eq!(text, "$.keys.eva: holds a key that ana already has");
}

#[rstest]
#[case(0)]
#[case(2)]
fn required_signers_must_not_exceed_the_keys(#[case] required: u32) {
    let ana = key();
    let keys = [("ana".parse().expect("a name"), ana.public().into())];
    let faults = signing::Trust::new(keys.into(), required, &document::Path::root());
    let text = faults.expect_err("a fault").to_string();
    assert_eq!(text, "$.signers: must be from 1 to the number of keys, 1");
}

#[test]
fn secrets_are_not_shown() {
    let ana = key();
    assert!(!format!("{ana:?}").contains(&ana.expose()));
    let error = "c2VjcmV0"
        .parse::<signing::SecretKey>()
        .expect_err("too short");
    assert!(!error.to_string().contains("c2VjcmV0"));
    let envelope = signing::Envelope::new("hunter2");
    assert!(!format!("{envelope:?}").contains("hunter2"));
}

#[test]
fn large_envelope_is_rejected_unparsed() {
    let text = "x".repeat(signing::ENVELOPE_MAX + 1);
    let outcome = trust(&[("ana", &key())], 1).verify(&text, None);
    assert_eq!(outcome, Err(signing::VerifyError::TooLarge));
}

proptest! {
    #[test]
    fn verification_of_arbitrary_text_does_not_panic(text in ".{0,300}") {
        let _ = trust(&[("ana", &key())], 1).verify(&text, None);
    }

    #[test]
    fn signed_text_is_verified(text in ".{0,300}") {
        let ana = key();
        let stored = signed(&text, &[("ana", &ana)]);
        let verified = trust(&[("ana", &ana)], 1).verify(&stored, None);
        prop_assert_eq!(verified.map(|v| v.bundle().to_owned()), Ok(text));
    }

    #[test]
    fn changed_byte_is_detected(text in "[a-z]{1,80}", at in any::<prop::sample::Index>()) {
        let ana = key();
        let trust = trust(&[("ana", &ana)], 1);
        let stored = signed(&text, &[("ana", &ana)]);
        let mut envelope = signing::Envelope::parse(&stored).expect("envelope");
        let at = at.index(text.len());
        envelope.bundle.replace_range(at..=at, "_");
        prop_assert!(trust.verify(&envelope.to_text(), None).is_err());
        let digest = Some(signing::Digest::of(stored.as_bytes()));
        let outcome = trust.verify(&envelope.to_text(), digest);
        prop_assert_eq!(outcome, Err(signing::VerifyError::WrongDigest));
    }
}
