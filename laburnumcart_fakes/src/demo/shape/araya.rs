//! Demo customer `araya`: services, pipelines and teams of a legal aid organisation.

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
            name: "case-model",
            order_fencing: bundle::Orders::Fenced,
            models: &["case-summary@3"],
            full_targets: 10,
            ..common::ENGINE
        },
        Service {
            name: "clinic-desk",
            full_targets: 3,
            ..common::POOL
        },
        Service {
            name: "records-archive",
            full_targets: 4,
            ..common::POOL
        },
        Service {
            name: "hearing-scheduling",
            full_targets: 5,
            ..common::POOL
        },
        Service {
            name: "family-notices",
            full_targets: 5,
            ..common::POOL
        },
    ],
    pipelines: &[
        Pipeline {
            name: "eligibility-check",
            stages: &[ENCODE, RETRIEVE, RERANK, ("generate", "case-model")],
            idempotent: true,
            deadline: "2s",
            priority: bundle::Priority::High,
            percent: 50,
        },
        Pipeline {
            name: "record-search",
            stages: &[ENCODE, RETRIEVE, RERANK, ("fetch", "records-archive")],
            idempotent: true,
            deadline: "2s",
            priority: bundle::Priority::Normal,
            percent: 20,
        },
        Pipeline {
            name: "open-case",
            stages: &[ENCODE, RETRIEVE, RERANK, ("open", "clinic-desk")],
            idempotent: false,
            deadline: "3s",
            priority: bundle::Priority::High,
            percent: 10,
        },
        Pipeline {
            name: "schedule-hearing",
            stages: &[ENCODE, ("schedule", "hearing-scheduling")],
            idempotent: false,
            deadline: "3s",
            priority: bundle::Priority::Normal,
            percent: 10,
        },
        Pipeline {
            name: "notify-family",
            stages: &[ENCODE, ("notify", "family-notices")],
            idempotent: false,
            deadline: "5s",
            priority: bundle::Priority::Low,
            percent: 10,
        },
    ],
    teams: &[
        Team {
            name: "clinic-central",
            weight: 4,
        },
        Team {
            name: "defenders-north",
            weight: 3,
        },
        Team {
            name: "clinic-south",
            weight: 1,
        },
        Team {
            name: "clinic-harbour",
            weight: 1,
        },
        Team {
            name: "clinic-east",
            weight: 1,
        },
    ],
};
