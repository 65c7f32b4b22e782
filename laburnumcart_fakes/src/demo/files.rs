//! Writes a demo into a folder.

use std::{
    fs,
    io,
    path, //
};

use laburnumcart::{
    bundle,
    unit, //
};
use serde_json::Value;

use crate::demo::{
    documents,
    layout,
    shape, //
};

/// Writes the documents of a demo and the list of its processes.
///
/// `processes.txt` has one process a line, its name, binary and arguments divided by spaces, in
/// the order in which they start. `instances/NAME.json` is the value of the object
/// `platform/instances/NAME`.
pub fn write(
    layout: &layout::Layout,
    dir: impl AsRef<path::Path>,
    keys: &[(String, String)],
) -> io::Result<()> {
    let dir = dir.as_ref();
    let keys = keys.iter().cloned().collect();
    fs::create_dir_all(dir.join("instances"))?;
    let dir = dir.canonicalize()?;
    document(&dir, "bundle", &documents::bundle(layout.shape))?;
    document(&dir, "load", &documents::load(layout))?;
    document(&dir, "control", &documents::control(layout, &keys))?;
    for entry in &layout.entries {
        document(&dir, &entry.name, &documents::entry(layout, entry, &keys))?;
    }
    for node in &layout.nodes {
        document(&dir, &node.agent, &documents::agent(layout, node, &keys))?;
    }
    for (name, value) in documents::instances(layout) {
        document(&dir.join("instances"), &name, &value)?;
    }
    fs::write(dir.join("processes.txt"), processes(layout, &dir))?;
    fs::write(dir.join("ready.txt"), ready(layout))
}

fn document(dir: &path::Path, name: &str, value: &Value) -> io::Result<()> {
    let text = format!("{value:#}\n");
    fs::write(dir.join(format!("{name}.json")), text)
}

fn processes(layout: &layout::Layout, dir: &path::Path) -> String {
    let mut lines = vec![format!(
        "store laburnum-fake-store --listen {}",
        layout.store
    )];
    for service in layout.shape.services() {
        let targets = layout.targets(service.name);
        let (kind, time) = match service.kind {
            bundle::Kind::Engine => ("engine", "--token-time"),
            bundle::Kind::Pool => ("pool", "--service-time"),
        };
        let targets = targets.map(|node| format!("--target {}={kind}@{}", node.name, node.target));
        let orders = match service.orders {
            bundle::Orders::Unfenced => "unfenced",
            bundle::Orders::Fenced | bundle::Orders::None => "fenced",
        };
        lines.push(format!(
            "targets-{} laburnum-fake-target {} {time} {} --prefill-time {} --slots {} --tokens {} \
             --orders {orders}",
            service.name,
            targets.collect::<Vec<_>>().join(" "),
            unit::Period(service.step_time(layout.pace)),
            unit::Period(shape::PREFILL * layout.pace),
            layout::SLOTS,
            shape::TOKENS,
        ));
    }
    let daemon = |name: &str, binary| {
        let settings = dir.join(format!("{name}.json"));
        format!("{name} {binary} --settings {}", settings.display())
    };
    let agents = layout.nodes.iter();
    lines.extend(agents.map(|node| daemon(&node.agent, "laburnum-agent")));
    let entries = layout.entries.iter();
    lines.extend(entries.map(|entry| daemon(&entry.name, "laburnum-entry")));
    lines.join("\n") + "\n"
}

/// Lists the daemons with the addresses of their pages, one a line.
fn ready(layout: &layout::Layout) -> String {
    let agents = layout.nodes.iter();
    let agents = agents.map(|node| format!("{} {}\n", node.agent, node.admin));
    let entries = layout.entries.iter();
    let entries = entries.map(|entry| format!("{} {}\n", entry.name, entry.callers));
    agents.chain(entries).collect()
}
