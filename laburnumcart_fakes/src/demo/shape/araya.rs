//! Legal aid eligibility.

use laburnumcart::bundle;

use crate::demo::shape::{
    Pipeline, User,
    common::{
        self,
        ENCODE,
        RERANK,
        RETRIEVE, //
    },
};

pub(super) const USER: User = User {
    services: &[
        common::engine(
            "case-model",
            bundle::Orders::Fenced,
            &["case-summary@3"],
            10,
        ),
        common::pool("clinic-desk", 1, 3, "10ms"),
        common::pool("records-archive", 1, 4, "10ms"),
        common::pool("hearing-scheduling", 1, 5, "10ms"),
        common::pool("family-notices", 1, 5, "10ms"),
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
        common::team("clinic-central", 4),
        common::team("defenders-north", 3),
        common::team("clinic-south", 1),
        common::team("clinic-harbour", 1),
        common::team("clinic-east", 1),
    ],
};
