//! Tests of the subset of agents that an entry keeps lanes to, and of its heartbeats.

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
    fixture,
    relay, //
};

/// Number of agents of the service; more than a subset holds.
const AGENTS: usize = 20;

/// Members of an entry, and the agents that are listed to them.
struct Setup {
    _fixture: fixture::Fixture,
    members: members::Members,
    agents: Vec<agent::Running>,
    list: Vec<members::Instance>,
}

impl Setup {
    async fn start() -> Self {
        let fixture = fixture::Fixture::start(&[]).await;
        let identity = &fixture.entry.identity;
        let config = links::Config {
            instance: identity.instance.clone(),
            incarnation: identity.incarnation,
            peer: identity.peer,
            gossip: fixture.entry.gossip.clone(),
            closed_connections: fixture.entry.metrics.closed_connections.clone(),
            outcome_queries: fixture.entry.metrics.outcome_queries.clone(),
            secret: fixture::SECRET.parse().unwrap(),
            timing: fixture::timing(),
        };
        let traffic = fixture.entry.traffic.clone();
        let members = members::Members::new(config, identity.data_centre.clone(), traffic);
        let mut agents = Vec::new();
        for _ in 0..AGENTS {
            agents.push(agent::start("pool", agent::Behaviour::default()).await);
        }
        let list = agents
            .iter()
            .enumerate()
            .map(|(i, agent)| instance(i, agent.addr));
        let mut setup = Self {
            _fixture: fixture,
            members,
            list: list.collect(),
            agents,
        };
        setup.members.apply(&setup.list);
        setup
    }

    /// Returns the addresses of the agents that accept work.
    fn ready(&self) -> Vec<net::SocketAddr> {
        let takes = |m: &&members::Member| m.lane.accepts_work(&m.service);
        let ready = self.members.agents().filter(takes);
        ready.map(|m| m.lane.addr).collect()
    }

    /// Waits until the ready agents satisfy the condition and returns their addresses.
    async fn wait_until(
        &mut self,
        fits: impl Fn(&[net::SocketAddr]) -> bool,
    ) -> Vec<net::SocketAddr> {
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
        fixture::within_limit(wait).await
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

// If all agents of a subset die but stay listed, requests would be refused until a list update.
#[tokio::test]
async fn lost_subset_is_replaced() {
    let mut setup = Setup::start().await;
    let subset = setup.wait_until(|ready| ready.len() >= 8).await;
    assert!(subset.len() < AGENTS, "a subset");
    let agents = std::mem::take(&mut setup.agents);
    for agent in agents {
        match subset.contains(&agent.addr) {
            true => agent.kill().await,
            false => setup.agents.push(agent),
        }
    }
    let others = setup.wait_until(|ready| ready.len() >= 8).await;
    assert!(others.iter().all(|addr| !subset.contains(addr)));
}

// Leaving agents refuse all work although they are still listed and connected.
#[tokio::test]
async fn leaving_subset_is_replaced() {
    let mut setup = Setup::start().await;
    let subset = setup.wait_until(|ready| ready.len() >= 8).await;
    for agent in &setup.agents {
        if subset.contains(&agent.addr) {
            agent.fake.leave();
        }
    }
    let fits = |ready: &[net::SocketAddr]| {
        ready.len() >= 8 && ready.iter().all(|addr| !subset.contains(addr))
    };
    setup.wait_until(fits).await;
}

// If the subset narrowed at once, each failure of a flapping lane would open and drop a lane.
#[tokio::test(start_paused = true)]
async fn subset_narrows_only_after_a_stable_period() {
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
fn width_doubles_while_no_agent_works() {
    let next = |kept| subset_size::wanted_size(8, kept, 0);
    assert_eq!([next(0), next(8), next(16), next(32)], [8, 16, 32, 64]);
    // An agent that works is kept, at whatever rank it was found.
    assert_eq!(subset_size::wanted_size(8, 64, 1), 71);
}

// Without the measured time, routing's estimate for a remote agent would lack the round trip.
#[tokio::test]
async fn heartbeats_measure_the_round_trip() {
    let far = time::Duration::from_millis(20);
    let agent = agent::start("pool", agent::Behaviour::default()).await;
    let relay = relay::Relay::start_with_delay(agent.addr, far).await;
    let fixture = fixture::Fixture::start(&[("pool", relay.addr)]).await;
    let view = fixture.entry.view.load();
    let lane = &view.routes[&"pool".parse().unwrap()].lanes()[0];
    let trip = fixture::within_limit(async {
        loop {
            if let Some(trip) = lane.report().and_then(|seen| seen.min_rtt) {
                return trip;
            }
            time::sleep(time::Duration::from_millis(5)).await;
        }
    });
    let trip = trip.await;
    assert!(trip >= 2 * far, "{trip:?}");
}
