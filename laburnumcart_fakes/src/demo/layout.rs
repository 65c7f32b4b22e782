//! Which processes a demo has, where, and on which ports.

use std::net;

use crate::demo::shape;

/// Data centres that instances are spread over.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Calls that a stand-in runs at full speed.
pub(super) const SLOTS: u32 = 4;

/// Entries, each in another data centre.
const ENTRIES: usize = 2;

/// All processes of a demo.
#[derive(Debug)]
pub struct Layout {
    /// Whose services it has.
    pub shape: shape::Shape,
    /// Factor on the times of all targets.
    pub pace: u32,
    /// Address of the object service.
    pub store: net::SocketAddr,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Targets, each with its agent.
    pub nodes: Vec<Node>,
}

/// One entry.
#[derive(Debug)]
pub struct Entry {
    /// Name of the instance.
    pub name: String,
    /// Data centre.
    pub data_centre: &'static str,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for peers.
    pub peer: net::SocketAddr,
}

/// One target with its agent.
#[derive(Debug)]
pub struct Node {
    /// Name of the target.
    pub name: String,
    /// Name of the agent's instance.
    pub agent: String,
    /// Service that it belongs to.
    pub service: &'static shape::Service,
    /// Data centre.
    pub data_centre: &'static str,
    /// Address of the target.
    pub target: net::SocketAddr,
    /// Address of the agent for peers.
    pub peer: net::SocketAddr,
    /// Address of the agent's pages.
    pub admin: net::SocketAddr,
}

/// Hands out loopback ports one after another.
struct Ports(u16);

impl Ports {
    fn next(&mut self) -> net::SocketAddr {
        let port = self.0;
        self.0 += 1;
        net::SocketAddr::from(([127, 0, 0, 1], port))
    }
}

impl Layout {
    /// Lays out a demo on the ports from `base` on.
    pub fn new(shape: shape::Shape, size: shape::Size, base: u16) -> Self {
        let mut ports = Ports(base);
        let store = ports.next();
        let entries = (0..ENTRIES).map(|number| entry(number, &mut ports));
        let entries = entries.collect();
        let mut nodes = Vec::new();
        for service in shape.services() {
            for number in 0..service.target_count(size) {
                // Services start in different data centres, so that none holds all first targets.
                let data_centre = DATA_CENTRES[nodes.len() % DATA_CENTRES.len()];
                nodes.push(node(service, number, data_centre, &mut ports));
            }
        }
        Self {
            shape,
            pace: 1,
            store,
            entries,
            nodes,
        }
    }

    /// Returns the requests a second that the slowest service can keep up with.
    ///
    /// The mixture is that of the load's rates; each engine has the prefixes in its cache.
    pub fn capacity(&self) -> f64 {
        let services = self.shape.services().into_iter();
        let bounds = services.map(|service| {
            let targets = self.targets(service.name).count() as f64;
            let slots = f64::from(SLOTS);
            targets * slots
                / service.call_time(self.pace).as_secs_f64()
                / self.shape.call_share(service.name)
        });
        bounds.fold(f64::INFINITY, f64::min)
    }

    /// Returns the targets of a service.
    pub fn targets(&self, service: &str) -> impl Iterator<Item = &Node> {
        let nodes = self.nodes.iter();
        nodes.filter(move |node| node.service.name == service)
    }
}

fn entry(number: usize, ports: &mut Ports) -> Entry {
    Entry {
        name: format!("entry-{}", number + 1),
        data_centre: DATA_CENTRES[number % DATA_CENTRES.len()],
        callers: ports.next(),
        peer: ports.next(),
    }
}

fn node(
    service: &'static shape::Service,
    number: usize,
    data_centre: &'static str,
    ports: &mut Ports,
) -> Node {
    let name = format!("{}-{}", service.name, number + 1);
    Node {
        agent: format!("agent-{name}"),
        name,
        service,
        data_centre,
        target: ports.next(),
        peer: ports.next(),
        admin: ports.next(),
    }
}
