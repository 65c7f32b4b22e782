//! Processes of a demo with their data centres and ports.

use std::net;

use crate::demo::shape;

/// Data centres of the instances.
pub const DATA_CENTRES: [&str; 3] = ["dc-a", "dc-b", "dc-c"];

/// Slots of each fake target.
pub(super) const SLOTS: u32 = 4;

/// Number of entries, each in another data centre.
const ENTRY_COUNT: usize = 2;

/// All processes of a demo.
#[derive(Debug)]
pub struct Layout {
    /// Customers of the demo.
    pub shape: shape::Shape,
    /// Factor for the times of all targets.
    pub time_factor: u32,
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
    /// Address of the agent's admin pages.
    pub admin: net::SocketAddr,
}

/// Allocator of consecutive loopback ports.
struct PortAllocator(u16);

impl PortAllocator {
    fn next(&mut self) -> net::SocketAddr {
        let port = self.0;
        self.0 += 1;
        net::SocketAddr::from(([127, 0, 0, 1], port))
    }
}

impl Layout {
    /// Creates the layout of a demo with consecutive ports from `base_port`.
    pub fn new(shape: shape::Shape, size: shape::Size, base_port: u16) -> Self {
        let mut ports = PortAllocator(base_port);
        let store = ports.next();
        let entries = (0..ENTRY_COUNT).map(|number| entry(number, &mut ports));
        let entries = entries.collect();
        let mut nodes = Vec::new();
        for service in shape.services() {
            for number in 0..service.target_count(size) {
                // Continued across services, so that no data centre holds all first targets.
                let data_centre = DATA_CENTRES[nodes.len() % DATA_CENTRES.len()];
                nodes.push(node(service, number, data_centre, &mut ports));
            }
        }
        Self {
            shape,
            time_factor: 1,
            store,
            entries,
            nodes,
        }
    }

    /// Returns the highest rate in requests per second that the slowest service sustains.
    ///
    /// The figure assumes the mix of the load plan and cached prefixes at all engines.
    pub fn capacity(&self) -> f64 {
        let services = self.shape.services().into_iter();
        let bounds = services.map(|service| {
            let targets = self.targets(service.name).count() as f64;
            let slots = f64::from(SLOTS);
            targets * slots
                / service.call_time(self.time_factor).as_secs_f64()
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

fn entry(number: usize, ports: &mut PortAllocator) -> Entry {
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
    ports: &mut PortAllocator,
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
