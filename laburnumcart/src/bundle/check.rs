//! Validation of the rules of a bundle that its JSON Schema cannot express.

use std::{
    collections,
    ops, //
};

use super::{
    Bundle,
    FORMAT,
    Kind,
    Orders,
    Pipeline,
    Service,
    Team, //
};
use crate::{
    document::{
        self,
        Faults,
        Path, //
    },
    id,
    signing,
    unit, //
};

/// Range of the deadline of a service level.
pub const DEADLINE: ops::RangeInclusive<unit::Period> =
    unit::Period::from_millis(10)..=unit::Period::from_secs(600);

/// Range of the retention time of claims.
pub const CLAIM_RETENTION: ops::RangeInclusive<unit::Period> =
    unit::Period::from_secs(60)..=unit::Period::from_secs(7 * 24 * 3600);

/// Range of the retention time of results.
pub const RESULT_RETENTION: ops::RangeInclusive<unit::Period> =
    unit::Period::from_secs(1)..=unit::Period::from_secs(3600);

/// Range of the quarantine time.
pub const QUARANTINE: ops::RangeInclusive<unit::Period> =
    unit::Period::from_secs(1)..=unit::Period::from_secs(24 * 3600);

/// Range of the timeout of an order.
pub const ORDER_LIMIT: ops::RangeInclusive<unit::Period> =
    unit::Period::from_millis(100)..=unit::Period::from_secs(600);

/// Range of the size limit of a request's body.
pub const BODY_LIMIT: ops::RangeInclusive<unit::Size> = unit::Size(1)..=unit::Size(16 << 20);

/// Largest number of stages of a pipeline.
pub const STAGES_MAX: usize = 16;

/// Largest number of shards of the claim log.
pub const SHARDS_MAX: u16 = 1024;

/// Upper bound on the bytes of the signatures in an envelope.
const SIGNATURES_BYTES_MAX: usize = signing::SIGNATURES_MAX * 256;

/// Parses and checks a bundle; the error lists all faults.
pub fn parse(text: &str) -> Result<Bundle, Faults> {
    check_size(text)?;
    let bundle: Bundle = document::parse(text)?;
    check(&bundle)?;
    Ok(bundle)
}

/// Checks a parsed bundle; the error lists all broken checker.
pub fn check(bundle: &Bundle) -> Result<(), Faults> {
    let mut checker = Checker {
        bundle,
        faults: Faults::default(),
    };
    checker.check_format();
    checker.check_services();
    checker.check_pipelines();
    checker.check_teams();
    checker.check_claims();
    checker.check_limits();
    checker.faults.into_result(())
}

/// Checks that the bundle's envelope will fit into an object.
fn check_size(text: &str) -> Result<(), Faults> {
    // JSON escapes each of these with one more byte within the envelope.
    let escaped = |b: &&u8| matches!(**b, b'"' | b'\\' | b'\n' | b'\r' | b'\t');
    let bytes = text.len() + text.as_bytes().iter().filter(escaped).count() + SIGNATURES_BYTES_MAX;
    if bytes <= signing::ENVELOPE_MAX {
        return Ok(());
    }
    let problem = format!("takes {bytes} bytes when signed; at most 1MiB fits into an object");
    Err(Faults::single(Path::root(), problem))
}

/// Checker of a bundle, with the faults found so far.
struct Checker<'a> {
    bundle: &'a Bundle,
    faults: Faults,
}

impl Checker<'_> {
    fn check_format(&mut self) {
        if self.bundle.format != FORMAT {
            let problem = format!("this release reads format {FORMAT}");
            self.faults.push(Path::root().key("format"), problem);
        }
    }

    fn check_services(&mut self) {
        for (name, service) in &self.bundle.services {
            let at = Path::root().key("services").key(name.as_str());
            self.check_service(&at, service);
        }
    }

    fn check_service(&mut self, at: &Path, service: &Service) {
        self.check_range(at.key("order_limit"), &service.order_limit, &ORDER_LIMIT);
        if service.kind == Kind::Pool && service.orders != Orders::None {
            self.faults
                .push(at.key("orders"), "only engines take orders");
        }
        if service.kind == Kind::Pool && !service.models.is_empty() {
            self.faults
                .push(at.key("models"), "only engines load models");
        }
        let mut seen = collections::HashSet::new();
        for (index, model) in service.models.iter().enumerate() {
            let at = at.key("models").index(index);
            let parts = model.split_once('@');
            if !parts.is_some_and(|(name, version)| !name.is_empty() && !version.is_empty()) {
                self.faults
                    .push(at.clone(), "must be written as name@version");
            }
            if !seen.insert(model) {
                self.faults.push(at, "occurs twice");
            }
        }
    }

    fn check_pipelines(&mut self) {
        for (name, pipeline) in &self.bundle.pipelines {
            let at = Path::root().key("pipelines").key(name.as_str());
            self.check_pipeline(&at, pipeline);
        }
    }

    fn check_pipeline(&mut self, at: &Path, pipeline: &Pipeline) {
        self.check_range(at.key("body_limit"), &pipeline.body_limit, &BODY_LIMIT);
        let count = pipeline.stages.len();
        if !(1..=STAGES_MAX).contains(&count) {
            let problem = format!("must have 1 to {STAGES_MAX} stages, has {count}");
            self.faults.push(at.key("stages"), problem);
        }
        let mut seen = collections::HashSet::new();
        for (index, stage) in pipeline.stages.iter().enumerate() {
            let at = at.key("stages").index(index);
            if !seen.insert(&stage.name) {
                self.faults
                    .push(at.key("name"), "is the name of an earlier stage");
            }
            if !self.bundle.services.contains_key(&stage.service) {
                let known = self.bundle.services.keys().map(id::ServiceName::as_str);
                let problem = document::describe_unknown("service", stage.service.as_str(), known);
                self.faults.push(at.key("service"), problem);
            }
        }
    }

    fn check_teams(&mut self) {
        let mut tokens = collections::HashMap::new();
        for (name, team) in &self.bundle.teams {
            let at = Path::root().key("teams").key(name.as_str());
            self.check_team(&at, team);
            for (index, token) in team.tokens.iter().enumerate() {
                let at = at.key("tokens").index(index);
                if token.parse::<signing::Digest>().is_err() {
                    let problem = "must be the SHA-256 of a token, 64 hexadecimal digits";
                    self.faults.push(at.clone(), problem);
                }
                // With a shared token one team would be charged for the other's requests.
                if let Some(owner) = tokens.insert(token, name) {
                    self.faults
                        .push(at, format!("is already a token of {owner}"));
                }
            }
        }
    }

    fn check_team(&mut self, at: &Path, team: &Team) {
        if team.weight == 0 {
            self.faults.push(at.key("weight"), "must be at least 1");
        }
        if team.queue_limit == 0 {
            self.faults
                .push(at.key("queue_limit"), "must be at least 1");
        }
        for (name, promise) in &team.pipelines {
            let at = at.key("pipelines").key(name.as_str());
            if !self.bundle.pipelines.contains_key(name) {
                let known = self.bundle.pipelines.keys().map(id::PipelineName::as_str);
                let problem = document::describe_unknown("pipeline", name.as_str(), known);
                self.faults.push(at.clone(), problem);
            }
            self.check_range(at.key("deadline"), &promise.deadline, &DEADLINE);
        }
    }

    fn check_claims(&mut self) {
        let at = Path::root().key("claims");
        let claims = &self.bundle.claims;
        self.check_range(at.key("retention"), &claims.retention, &CLAIM_RETENTION);
        // If a claim expired while its request may still run, a resend would execute it again.
        let longest = self.longest_deadline();
        if claims.retention <= longest {
            let problem = format!("must be longer than the longest deadline, {longest}");
            self.faults.push(at.key("retention"), problem);
        }
        if !(1..=SHARDS_MAX).contains(&claims.shards) {
            let problem = format!("must be from 1 to {SHARDS_MAX}");
            self.faults.push(at.key("shards"), problem);
        }
    }

    fn check_limits(&mut self) {
        let at = Path::root().key("limits");
        let limits = &self.bundle.limits;
        let kept = &limits.result_retention;
        self.check_range(at.key("result_retention"), kept, &RESULT_RETENTION);
        self.check_range(at.key("quarantine"), &limits.quarantine, &QUARANTINE);
    }

    /// Returns the longest deadline of all service levels.
    fn longest_deadline(&self) -> unit::Period {
        let promises = self
            .bundle
            .teams
            .values()
            .flat_map(|t| t.pipelines.values());
        promises.map(|p| p.deadline).max().unwrap_or_default()
    }

    /// Adds a fault if a value is out of its range.
    fn check_range<T>(&mut self, at: Path, value: &T, range: &ops::RangeInclusive<T>)
    where
        T: PartialOrd + std::fmt::Display,
    {
        if !range.contains(value) {
            let problem = format!("must be from {} to {}", range.start(), range.end());
            self.faults.push(at, problem);
        }
    }
}
