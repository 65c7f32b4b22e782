//! Race timing.

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
            "narrative-model",
            bundle::Orders::Unfenced,
            &["race-report@5"],
            12,
        ),
        common::pool("results-posting", 1, 3, "10ms"),
        common::pool("registration", 1, 5, "10ms"),
        common::pool("sponsor-feed", 1, 5, "10ms"),
        common::pool("federation-sync", 1, 5, "10ms"),
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
        common::team("crew-capital", 4),
        common::team("crew-highlands", 3),
        common::team("crew-coast", 1),
        common::team("federation-desk", 1),
        common::team("sponsor-desk", 1),
    ],
};
