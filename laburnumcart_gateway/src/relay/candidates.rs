//! Peers that a process asks for store data.

use rand::seq::IndexedRandom;
use tokio::time::Instant;

use laburnumcart::readers;
use laburnumcart_platform::store;

use crate::{
    relay::{
        Peers,
        fetch::Shared, //
    },
    view, //
};

/// Number of other peers that are asked when no reader has fresh data.
///
/// Even if the store refuses a share of all processes, that share rarely includes every reader and
/// two of these. The others are asked a little later, as the first ones may be silent.
const FALLBACK_PEERS: usize = 4;

/// Peers that a process can ask.
pub(super) struct Candidates {
    /// Readers in the order in which they are asked, without this process.
    pub(super) readers: Vec<view::Member>,
    /// Whether this process is a reader.
    pub(super) is_reader: bool,
    /// A few other peers, chosen at random.
    pub(super) others: Vec<view::Member>,
    /// Number of members.
    pub(super) members: usize,
}

impl<S: store::Store, P: Peers> Shared<S, P> {
    /// Returns the peers to ask.
    pub(super) fn candidates(&self) -> Candidates {
        let members = self.view.members.load();
        let is_own = |m: &view::Member| m.instance == self.own.instance;
        let (up, down): (Vec<_>, Vec<_>) = members
            .iter()
            .partition(|m| is_own(m) || self.peers.is_up(m));
        let choice = up.iter().map(|m| readers::Member {
            name: &m.instance,
            data_centre: &m.data_centre,
            cores: m.cores,
        });
        let mut chosen = readers::choose(choice);
        readers::sort_by_proximity(&mut chosen, &self.own.instance, &self.own.data_centre);
        let find = |reader: &readers::Member<'_>| up.iter().find(|m| m.instance == *reader.name);
        let chosen = chosen.iter().filter_map(find).map(|m| (*m).clone());
        let mut readers: Vec<view::Member> = chosen.collect();
        let is_reader = readers.is_empty() || readers.iter().any(is_own);
        let is_other = |m: &&&view::Member| !is_own(m) && !readers.contains(m);
        let rest: Vec<_> = up.iter().filter(is_other).copied().collect();
        let mut rng = view::lock(&self.rng);
        let others = rest.choose_multiple(&mut *rng, FALLBACK_PEERS);
        let mut others: Vec<_> = others.map(|m| (*m).clone()).collect();
        // A backoff must not hide the only peers that have news.
        let missing = FALLBACK_PEERS - others.len();
        let forced = down.choose_multiple(&mut *rng, missing);
        others.extend(forced.map(|m| (*m).clone()));
        drop(rng);
        readers.retain(|m| !is_own(m));
        self.sort_late_last(&mut readers);
        Candidates {
            readers,
            is_reader,
            others,
            members: members.len(),
        }
    }

    fn sort_late_last(&self, readers: &mut [view::Member]) {
        let now = Instant::now();
        let mut late = view::lock(&self.late_peers);
        late.retain(|_, until| *until > now);
        readers.sort_by_key(|m| late.contains_key(&m.incarnation));
    }
}
