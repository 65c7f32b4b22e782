//! Writes the JSON Schemas of bundles and settings files into a folder.
//!
//! `cargo run -p laburnumcart_system --example schemas docs/schema`

use std::{
    env,
    fs,
    io,
    path, //
};

use laburnumcart_system::schema;

fn main() -> io::Result<()> {
    let folder = env::args().nth(1).unwrap_or_else(|| "docs/schema".into());
    let folder = path::Path::new(&folder);
    fs::create_dir_all(folder)?;
    for (name, schema) in schema::all() {
        let file = folder.join(name).with_extension("json");
        fs::write(file, schema::text(&schema))?;
    }
    Ok(())
}
