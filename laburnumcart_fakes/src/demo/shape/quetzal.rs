//! Demo customer `quetzal`: services, pipelines and teams of a race timing company.

use laburnumcart::bundle;

use crate::demo::shape::{
    Customer, Pipeline, Service, Team,
    common::{
        self,
        ENCODE,
        RERANK,
        RETRIEVE, //
    },
};

pub(super) const CUSTOMER: Customer = Customer {
    services: &[
        Service {
            name: "narrative-model",
            order_fencing: bundle::Orders::Unfenced,
            models: &["race-report@5"],
            full_targets: 12,
            ..common::ENGINE
        },
        Service {
            name: "results-posting",
            full_targets: 3,
            ..common::POOL
        },
        Service {
            name: "registration",
            full_targets: 5,
            ..common::POOL
        },
        Service {
            name: "sponsor-feed",
            full_targets: 5,
            ..common::POOL
        },
        Service {
            name: "federation-sync",
            full_targets: 5,
            ..common::POOL
        },
    ],
    pipelines: &[
        Pipeline {
            name: "race-report",
            stages: &[ENCODE, RETRIEVE, RERANK, ("generate", "narrative-model")],
            idempotent: true,
            deadline: "3s",
            priority: bundle::Priority::Normal,
            percent: 30,
        },
        Pipeline {
            name: "live-commentary",
            stages: &[ENCODE, RETRIEVE, RERANK, ("generate", "narrative-model")],
            idempotent: true,
            deadline: "1s",
            priority: bundle::Priority::High,
            percent: 30,
        },
        Pipeline {
            name: "post-finish",
            stages: &[ENCODE, RETRIEVE, RERANK, ("post", "results-posting")],
            idempotent: false,
            deadline: "3s",
            priority: bundle::Priority::High,
            percent: 10,
        },
        Pipeline {
            name: "register-athlete",
            stages: &[ENCODE, ("register", "registration")],
            idempotent: false,
            deadline: "3s",
            priority: bundle::Priority::Normal,
            percent: 10,
        },
        Pipeline {
            name: "feed-sponsors",
            stages: &[ENCODE, RETRIEVE, RERANK, ("feed", "sponsor-feed")],
            idempotent: true,
            deadline: "5s",
            priority: bundle::Priority::Low,
            percent: 10,
        },
        Pipeline {
            name: "sync-federation",
            stages: &[ENCODE, ("sync", "federation-sync")],
            idempotent: false,
            deadline: "5s",
            priority: bundle::Priority::Low,
            percent: 10,
        },
    ],
    teams: &[
        Team {
            name: "crew-capital",
            weight: 4,
        },
        Team {
            name: "crew-highlands",
            weight: 3,
        },
        Team {
            name: "crew-coast",
            weight: 1,
        },
        Team {
            name: "federation-desk",
            weight: 1,
        },
        Team {
            name: "sponsor-desk",
            weight: 1,
        },
    ],
};
