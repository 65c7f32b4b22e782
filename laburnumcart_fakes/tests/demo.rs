//! Consistency of the documents of a demo, and that their readers accept them.

use std::{
    collections,
    env,
    fs,
    path, //
};

use laburnumcart::bundle;
use laburnumcart_fakes::{
    demo::{
        self,
        layout,
        shape, //
    },
    load::plan,
};
use rstest::rstest;
use serde_json::Value;

/// First port of the layouts.
const BASE_PORT: u16 = 20_000;

/// Temporary directory, removed on drop.
struct TempDir(path::PathBuf);

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

impl TempDir {
    fn new() -> Self {
        let name = format!("laburnum-plan-{:016x}", rand::random::<u64>());
        Self(env::temp_dir().join(name))
    }

    fn text(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap()
    }

    fn json(&self, name: &str) -> Value {
        serde_json::from_str(&self.text(name)).unwrap()
    }
}

#[rstest]
fn documents_are_consistent(
    #[values(shape::Shape::Araya, shape::Shape::Quetzal, shape::Shape::Both)] shape: shape::Shape,
    #[values(shape::Size::Small, shape::Size::Full)] size: shape::Size,
) {
    let dir = TempDir::new();
    let layout = layout::Layout::new(shape, size, BASE_PORT);
    demo::write(&layout, &dir.0, &[("ops".into(), "AAAA".into())]).unwrap();
    let bundle: bundle::Bundle = serde_json::from_value(dir.json("bundle.json")).unwrap();
    let load: plan::Plan = serde_json::from_value(dir.json("load.json")).unwrap();
    assert_eq!(load.validate(), Vec::<String>::new());
    assert_eq!(load.entries.len(), 2);
    assert!(load.teams.keys().eq(bundle.teams.keys()));
    assert!(load.pipelines.keys().eq(bundle.pipelines.keys()));
    assert!(load.services.keys().eq(bundle.services.keys()));
    for (name, pipeline) in &bundle.pipelines {
        assert_eq!(pipeline.idempotent, load.pipelines[name].idempotent);
        for stage in &pipeline.stages {
            assert!(bundle.services.contains_key(&stage.service));
        }
    }
    let processes = dir.text("processes.txt");
    let daemons: Vec<_> = processes
        .lines()
        .filter(|l| l.contains("--settings"))
        .collect();
    assert_eq!(daemons.len(), layout.nodes.len() + 2);
    let ready = dir.text("ready.txt");
    for (daemon, ready) in daemons.iter().zip(ready.lines()) {
        let name = daemon.split(' ').next().unwrap();
        assert_eq!(ready.split(' ').next(), Some(name));
        let settings = dir.json(&format!("{name}.json"));
        let instance = dir.json(&format!("instances/{name}.json"));
        assert_eq!(settings["instance"], instance["name"]);
        assert_eq!(settings["peer"], instance["addr"]);
        assert_eq!(settings["data_centre"], instance["data_centre"]);
        assert_eq!(settings["fleet"]["keys"]["ops"], "AAAA");
    }
}

#[test]
fn ports_are_distinct_and_instances_span_three_data_centres() {
    let layout = layout::Layout::new(shape::Shape::Both, shape::Size::Full, BASE_PORT);
    let mut ports: Vec<_> = vec![layout.store];
    for entry in &layout.entries {
        ports.extend([entry.callers, entry.peer]);
    }
    for node in &layout.nodes {
        ports.extend([node.target, node.peer, node.admin]);
    }
    let distinct: collections::HashSet<_> = ports.iter().collect();
    assert_eq!(distinct.len(), ports.len());
    let data_centres: collections::HashSet<_> =
        layout.nodes.iter().map(|node| node.data_centre).collect();
    assert_eq!(data_centres.len(), 3);
    assert_ne!(layout.entries[0].data_centre, layout.entries[1].data_centre);
}
