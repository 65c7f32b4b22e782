//! Term of the agent over its target, stored in the object service.

use laburnumcart::id;
use laburnumcart_platform::store;
use serde::{
    Deserialize,
    Serialize, //
};

/// Stored object that names the holder of a target's term.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct Holder {
    pub(super) term: id::Term,
    /// Incarnation of the agent that holds the term.
    pub(super) incarnation: id::Incarnation,
}

/// Returns the key of a target's object.
pub(super) fn key(target: &id::TargetName) -> String {
    format!("agents/{target}")
}

/// Reads the holder of a target's term.
pub(super) async fn read(
    store: &impl store::Store,
    key: &str,
) -> Result<Option<(Holder, store::Version)>, store::Failure> {
    let Some(object) = store.get(key).await? else {
        return Ok(None);
    };
    let holder = serde_json::from_str(&object.value).map_err(|_| store::Failure::Invalid)?;
    Ok(Some((holder, object.version)))
}

/// Acquires the next term over a target.
///
/// An answer can be lost after the write took effect. The next try then finds its own incarnation
/// in the object and returns that term instead of incrementing it again.
pub(super) async fn acquire(
    store: &impl store::Store,
    key: &str,
    incarnation: id::Incarnation,
) -> Result<id::Term, store::Failure> {
    let before = read(store, key).await?;
    let (term, expect) = match before {
        Some((holder, _)) if holder.incarnation == incarnation => return Ok(holder.term),
        Some((holder, version)) => (holder.term.0 + 1, store::Expect::Version(version)),
        None => (1, store::Expect::Absent),
    };
    let holder = Holder {
        term: id::Term(term),
        incarnation,
    };
    let value = serde_json::to_string(&holder).map_err(|_| store::Failure::Invalid)?;
    store.put(key, expect, &value).await?;
    Ok(holder.term)
}
