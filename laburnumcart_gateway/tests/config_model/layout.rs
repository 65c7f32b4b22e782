//! Objects of the store in the model.

use std::{
    net,
    time, //
};

use laburnumcart::{
    id,
    ingress, //
};
use laburnumcart_gateway::{
    dialect,
    view, //
};

/// Key of the configuration.
pub(crate) const CONFIG: &str = "config/main";

/// Key of the only target.
pub(crate) const TARGET: &str = "targets/t";

/// Port of a target before its first version.
pub(crate) const FIRST_PORT: u16 = 1024;

/// Number of routes with which a configuration has about a megabyte.
pub(crate) const ROUTES_MAX: usize = 4300;

/// Layout in which the configuration is its version, with padding or routes.
pub(crate) struct Layout;

impl dialect::StoreLayout for Layout {
    fn table_key(&self) -> &'static str {
        CONFIG
    }

    fn targets_prefix(&self) -> &'static str {
        "targets"
    }

    fn members_prefix(&self) -> &'static str {
        "gateways"
    }

    fn evacuations_prefix(&self) -> &'static str {
        "evacuations"
    }

    fn versions_prefix(&self) -> &'static str {
        "versions"
    }

    fn origins_prefix(&self) -> &'static str {
        "stream-origins"
    }

    fn usage_prefix(&self) -> &'static str {
        "version-usage"
    }

    fn contents_prefix(&self) -> &'static str {
        "contents"
    }

    fn parse_table(
        &self,
        value: &str,
        limits: &ingress::Limits,
    ) -> Result<ingress::Table, dialect::Malformed> {
        let text = value.trim_matches('"').trim_end_matches('x');
        let text = text.split(' ').next().unwrap_or_default();
        let version = text.parse().map_err(|_| dialect::Malformed("version"))?;
        Ok(ingress::Table::new(version, *limits))
    }

    /// Returns a target whose port tells the version of its entry.
    fn parse_target(
        &self,
        name: &str,
        value: &str,
    ) -> Result<dialect::TargetEntry, dialect::Malformed> {
        let text = value.trim_matches('"').trim_end_matches('x');
        let version: u16 = text.parse().map_err(|_| dialect::Malformed("version"))?;
        Ok(dialect::TargetEntry {
            cold_for: time::Duration::ZERO,
            target: view::Target {
                name: name.parse().map_err(|_| dialect::Malformed("name"))?,
                life: id::Life::default(),
                addr: net::SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + version)),
                data_centre: "dc-0".parse().expect("a valid name"),
                service: service(),
                version: None,
                leaving: false,
                cold_until: None,
            },
        })
    }
}

/// Size of the text of a route.
pub(crate) const ROUTE_BYTES: usize = 240;

/// Returns the text of a route, with names that don't repeat.
pub(crate) fn route(index: usize) -> String {
    let hash = (index as u64 + 1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
        .rotate_left(29);
    let name = format!("{:014x}", hash >> 8);
    let (host, path) = name.split_at(6);
    format!(
        "{{name:{host}-{path},host:{host}.example,path_prefix:/{path}/,kind:idempotent,\
         timeout_ms:1500,target_latency_ms:300,priority:1,max_attempts:2,service:desk,\
         traffic_split:[],stages:[],anonymous:false,resumable:false,allowed_regions:null}}"
    )
}

/// Returns the service of the target.
pub(crate) fn service() -> id::ServiceName {
    "desk".parse().expect("a valid name")
}
