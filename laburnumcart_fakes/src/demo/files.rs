//! Writes the files of a demo to a directory.

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
/// `processes.txt` has a line per process with its name, binary and arguments, in start order.
/// `instances/NAME.json` is the value of the object `platform/instances/NAME`.
pub fn write(
    layout: &layout::Layout,
    dir: impl AsRef<path::Path>,
    keys: &[(String, String)],
) -> io::Result<()> {
    let dir = dir.as_ref();
    let keys = keys.iter().cloned().collect();
    fs::create_dir_all(dir.join("instances"))?;
    let dir = dir.canonicalize()?;
    write_document(&dir, "bundle", &documents::bundle(layout.shape))?;
    write_document(&dir, "load", &documents::load(layout))?;
    write_document(&dir, "control", &documents::control(layout, &keys))?;
    for entry in &layout.entries {
        write_document(&dir, &entry.name, &documents::entry(layout, entry, &keys))?;
    }
    for node in &layout.nodes {
        write_document(&dir, &node.agent, &documents::agent(layout, node, &keys))?;
    }
    for (name, value) in documents::instances(layout) {
        write_document(&dir.join("instances"), &name, &value)?;
    }
    fs::write(dir.join("processes.txt"), process_list(layout, &dir))?;
    fs::write(dir.join("ready.txt"), ready_list(layout))
}

fn write_document(dir: &path::Path, name: &str, value: &Value) -> io::Result<()> {
    let text = format!("{value:#}\n");
    fs::write(dir.join(format!("{name}.json")), text)
}

fn process_list(layout: &layout::Layout, dir: &path::Path) -> String {
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
        let orders = match service.order_fencing {
            bundle::Orders::Unfenced => "unfenced",
            bundle::Orders::Fenced | bundle::Orders::None => "fenced",
        };
        lines.push(format!(
            "targets-{} laburnum-fake-target {} {time} {} --prefill-time {} --slots {} --tokens {} \
             --orders {orders}",
            service.name,
            targets.collect::<Vec<_>>().join(" "),
            unit::Period(service.step_time(layout.time_factor)),
            unit::Period(shape::PREFILL_TIME * layout.time_factor),
            layout::SLOTS,
            shape::OUTPUT_TOKENS,
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

/// Returns a line per daemon with its name and the address of its admin pages.
fn ready_list(layout: &layout::Layout) -> String {
    let agents = layout.nodes.iter();
    let agents = agents.map(|node| format!("{} {}\n", node.agent, node.admin));
    let entries = layout.entries.iter();
    let entries = entries.map(|entry| format!("{} {}\n", entry.name, entry.callers));
    agents.chain(entries).collect()
}
