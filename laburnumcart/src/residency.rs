//! Regions to which requests are confined.

use std::collections;

use crate::id;

/// Region of each data centre.
pub type Regions = collections::BTreeMap<id::DataCentre, id::Region>;

/// Regions that a route and a team allow; each that names any binds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Residency(Vec<collections::BTreeSet<id::Region>>);

impl Residency {
    /// Confines to some regions beside what binds already; `None` names none.
    #[must_use]
    pub fn restrict(mut self, regions: Option<impl IntoIterator<Item = id::Region>>) -> Self {
        self.0
            .extend(regions.map(|regions| regions.into_iter().collect()));
        self
    }

    /// Returns the data centres that are allowed, `None` if all are.
    ///
    /// One whose region is not known is not among them: what is confined would leave its regions
    /// unseen.
    pub fn data_centres(&self, regions: &Regions) -> Option<Vec<id::DataCentre>> {
        if self.0.is_empty() {
            return None;
        }
        let is_allowed = |region: &id::Region| self.0.iter().all(|set| set.contains(region));
        let allowed = regions.iter().filter(|(_, region)| is_allowed(region));
        Some(allowed.map(|(place, _)| place.clone()).collect())
    }
}

/// Reports whether a data centre is among those allowed.
pub fn is_allowed(allowed: Option<&[id::DataCentre]>, place: &id::DataCentre) -> bool {
    allowed.is_none_or(|allowed| allowed.contains(place))
}
