//! Publishes a signed bundle in the object service, as an operator does.

use std::collections;

use laburnumcart::{
    document,
    head,
    id,
    signing, //
};
use laburnumcart_daemon::bundle;
use laburnumcart_platform::{
    memory,
    store::{
        self,
        Store, //
    },
};
use serde_json::{
    Value,
    json, //
};

/// Publishes a bundle with one service and returns the options for an agent to follow it.
pub(crate) async fn accept(store: &memory::Memory, service: &Value) -> bundle::Options {
    let bundle = json!({
        "format": 1,
        "services": {"pool": service},
        "pipelines": {"check": {"stages": [{"name": "encode", "service": "pool"}]}},
        "teams": {
            "araya": {
                "tokens": ["00".repeat(32)],
                "weight": 1,
                "pipelines": {"check": {"deadline": "10s"}},
            },
        },
    });
    let key = signing::SecretKey::generate().unwrap();
    let name: id::KeyName = "ops".parse().unwrap();
    let mut envelope = signing::Envelope::new(bundle.to_string());
    envelope.sign(name.clone(), &key);
    let text = envelope.to_text();
    let digest = signing::Digest::of(text.as_bytes());
    let object = head::object_key(digest);
    store
        .put(&object, store::Expect::Absent, &text)
        .await
        .unwrap();
    move_head(store, digest).await;
    let keys: signing::Keys = key.public().to_string().parse().unwrap();
    let keys = collections::BTreeMap::from([(name, keys)]);
    bundle::Options::new(signing::Trust::new(keys, 1, &document::Path::root()).unwrap())
}

async fn move_head(store: &memory::Memory, digest: signing::Digest) {
    let before = store.get(head::KEY).await.unwrap();
    let base = before
        .as_ref()
        .map(|object| head::Head::parse(&object.value).unwrap());
    let next = head::Head::after(base.as_ref(), digest, id::Nonce::random());
    let expect = match before {
        Some(object) => store::Expect::Version(object.version),
        None => store::Expect::Absent,
    };
    store.put(head::KEY, expect, &next.to_text()).await.unwrap();
}
