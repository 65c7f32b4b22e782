//! Data residency: the regions in which a request may be processed.

use std::collections;

use crate::id;

/// Region of each data centre.
pub type Regions = collections::BTreeMap<id::DataCentre, id::Region>;

/// Sets of regions allowed by a route and a team; a data centre must be in all of them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Residency(Vec<collections::BTreeSet<id::Region>>);

impl Residency {
    /// Adds a set of allowed regions; `None` adds no restriction.
    #[must_use]
    pub fn restrict(mut self, regions: Option<impl IntoIterator<Item = id::Region>>) -> Self {
        self.0
            .extend(regions.map(|regions| regions.into_iter().collect()));
        self
    }

    /// Returns the allowed data centres, or `None` if all are allowed.
    ///
    /// A data centre of unknown region is not allowed: a restricted request could leave its regions
    /// unnoticed.
    pub fn data_centres(&self, regions: &Regions) -> Option<Vec<id::DataCentre>> {
        if self.0.is_empty() {
            return None;
        }
        let is_allowed = |region: &id::Region| self.0.iter().all(|set| set.contains(region));
        let allowed = regions.iter().filter(|(_, region)| is_allowed(region));
        Some(
            allowed
                .map(|(data_centre, _)| data_centre.clone())
                .collect(),
        )
    }
}

/// Reports whether a data centre is allowed; `None` allows all.
pub fn is_allowed(allowed: Option<&[id::DataCentre]>, data_centre: &id::DataCentre) -> bool {
    allowed.is_none_or(|allowed| allowed.contains(data_centre))
}
