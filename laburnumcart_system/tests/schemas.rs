//! Checks that the committed schemas match the types.

use std::{
    fs,
    path, //
};

use laburnumcart_system::schema;

// To update the schemas, run `cargo run -p laburnumcart_system --example schemas docs/schema`.
#[test]
fn no_committed_schema_has_drifted() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs/schema");
    for (name, schema) in schema::all() {
        let file = folder.join(name).with_extension("json");
        let committed = fs::read_to_string(&file).unwrap_or_default();
        assert_eq!(committed, schema::text(&schema), "{name} has drifted");
    }
    let files = fs::read_dir(&folder).expect("a folder").count();
    assert_eq!(files, schema::all().len(), "a schema of nothing");
}
