//! Which agents an entry keeps lanes to.

use std::net;

use tokio::time;

use laburnumcart_entry::{
    links,
    members::{
        self,
        subset_size, //
    },
};

use crate::{
    agent,
    bench,
    relay, //
};

/// Agents of the service; more than a subset holds.
const AGENTS: usize = 20;

/// An entry's members with the agents that they can choose from.
struct Setup {
    _bench: bench::Bench,
    members: members::Members,
    agents: Vec<agent::Running>,
    list: Vec<members::Instance>,
}

impl Setup {
    async fn start() -> Self {
        let bench = bench::Bench::start(&[]).await;
        let identity = &bench.entry.identity;
        let caller = links::Caller {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            peer: identity.peer,
            gossip: bench.entry.gossip.clone(),
            breaks: bench.entry.metrics.breaks.clone(),
            doubts: bench.entry.metrics.doubts.clone(),
            secret: bench::SECRET.parse().unwrap(),
            timing: bench::timing(),
        };
        let traffic = bench.entry.traffic.clone();
        let members = members::Members::new(caller, identity.data_centre.clone(), traffic);
        let mut agents = Vec::new();
        for _ in 0..AGENTS {
            agents.push(agent::start("pool", agent::Plan::default()).await);
        }
        let list = agents
            .iter()
            .enumerate()
            .map(|(i, agent)| instance(i, agent.addr));
        let mut setup = Self {
            _bench: bench,
            members,
            list: list.collect(),
            agents,
        };
        setup.members.apply(&setup.list);
        setup
    }

    /// Returns the addresses of the agents that take work.
    fn ready(&self) -> Vec<net::SocketAddr> {
        let takes = |m: &&members::Member| m.lane.takes(&m.service);
        let ready = self.members.agents().filter(takes);
        ready.map(|m| m.lane.addr).collect()
    }

    /// Waits until agents are ready and fit.
    async fn until(&mut self, fits: impl Fn(&[net::SocketAddr]) -> bool) -> Vec<net::SocketAddr> {
        let wait = async {
            loop {
                self.members.apply(&self.list);
                let ready = self.ready();
                if fits(&ready) {
                    return ready;
                }
                time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        bench::within(wait).await
    }
}

fn instance(number: usize, addr: net::SocketAddr) -> members::Instance {
    members::Instance {
        name: format!("agent-{number}").parse().unwrap(),
        data_centre: "dc-1".parse().unwrap(),
        role: members::Role::Agent,
        service: Some("pool".parse().unwrap()),
        addr,
        state: members::State::Live,
    }
}

// Callers' requests reach an entry whose subset has just lost all its agents, while others of the
// service work. The platform's list lags and still names the dead ones. Without lanes to the others
// each request is refused for want of a target until the list catches up.
#[tokio::test]
async fn lost_subset_is_replaced() {
    let mut setup = Setup::start().await;
    let subset = setup.until(|ready| ready.len() >= 8).await;
    assert!(subset.len() < AGENTS, "a subset");
    let agents = std::mem::take(&mut setup.agents);
    for agent in agents {
        match subset.contains(&agent.addr) {
            true => agent.kill().await,
            false => setup.agents.push(agent),
        }
    }
    let others = setup.until(|ready| ready.len() >= 8).await;
    assert!(others.iter().all(|addr| !subset.contains(addr)));
}

// The agents of a subset say that they leave, so that they refuse all work as not run. They are still
// listed and their connections are good.
#[tokio::test]
async fn leaving_subset_is_replaced() {
    let mut setup = Setup::start().await;
    let subset = setup.until(|ready| ready.len() >= 8).await;
    for agent in &setup.agents {
        if subset.contains(&agent.addr) {
            agent.fake.leave();
        }
    }
    let fits = |ready: &[net::SocketAddr]| {
        ready.len() >= 8 && ready.iter().all(|addr| !subset.contains(addr))
    };
    setup.until(fits).await;
}

// A lane breaks and comes back again and again. Each time one more agent would be called and dropped,
// so the subset stays wide until its agents have worked for a while.
#[tokio::test(start_paused = true)]
async fn narrows_late() {
    let mut width = subset_size::SubsetSize::default();
    let begun = time::Instant::now();
    let second = time::Duration::from_secs(1);
    assert!(width.update(subset_size::wanted_size(8, 0, 0), begun));
    assert!(width.update(subset_size::wanted_size(8, 8, 6), begun));
    assert_eq!(width.size(), 10);
    let full = subset_size::wanted_size(8, 10, 10);
    assert!(!width.update(full, begun));
    assert!(!width.update(full, begun + 9 * second));
    assert!(!width.update(10, begun + 9 * second), "broken again");
    assert!(!width.update(full, begun + 10 * second));
    assert!(width.update(full, begun + 20 * second));
    assert_eq!(width.size(), 8);
}

#[test]
fn doubles_while_none_works() {
    let next = |kept| subset_size::wanted_size(8, kept, 0);
    assert_eq!([next(0), next(8), next(16), next(32)], [8, 16, 32, 64]);
    // One that works is kept at whatever place it was found.
    assert_eq!(subset_size::wanted_size(8, 64, 1), 71);
}

// An agent in another region is 20 ms away, each way. Its heartbeats tell, so that work goes there
// only where it finishes sooner all the same.
#[tokio::test]
async fn heartbeats_measure_the_crossing() {
    let far = time::Duration::from_millis(20);
    let agent = agent::start("pool", agent::Plan::default()).await;
    let relay = relay::Relay::start_far(agent.addr, far).await;
    let bench = bench::Bench::start(&[("pool", relay.addr)]).await;
    let view = bench.entry.view.load();
    let lane = &view.routes[&"pool".parse().unwrap()].lanes()[0];
    let trip = bench::within(async {
        loop {
            if let Some(trip) = lane.report().and_then(|seen| seen.trip) {
                return trip;
            }
            time::sleep(time::Duration::from_millis(5)).await;
        }
    });
    let trip = trip.await;
    assert!(trip >= 2 * far, "{trip:?}");
}
