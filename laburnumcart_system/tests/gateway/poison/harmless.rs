//! Harmless content is served beside content that crashes targets.

use std::{
    sync::atomic::{
        AtomicUsize,
        Ordering, //
    },
    time,
};

use futures_util::future;
use http::StatusCode;
use laburnumcart_fakes::scripted::{
    Crash,
    Step, //
};
use rstest::rstest;
use tokio::time::Instant;

use super::trial::{
    Callers,
    Trial,
    poison_target, //
};
use crate::support::{
    System,
    config,
    target_entry, //
};

/// Harmless contents, each sent by several callers.
const CONTENTS: usize = 4;

/// Callers of each harmless content.
const CALLERS: usize = 3;

/// Time for which the entry of a crashed target stays.
const ENTRY_LIFETIME: time::Duration = time::Duration::from_millis(2500);

/// Responses to harmless content.
#[derive(Default)]
struct Outcomes {
    answered: AtomicUsize,
    refused: AtomicUsize,
}

impl Outcomes {
    /// Sends one harmless content after another until `end`.
    async fn send_until(&self, trial: &Trial, caller: usize, end: Instant) {
        let path = format!("/safe/harmless-{}", caller % CONTENTS);
        let callers = Callers {
            count: 1,
            path: &path,
            patience: time::Duration::from_secs(10),
        };
        let mut gateway = caller;
        while Instant::now() < end {
            let response = trial.send(gateway, &callers).await.expect("a response");
            match response.status {
                StatusCode::OK => &self.answered,
                _ if response.body.contains("quarantined") => &self.refused,
                // The target crashed, or none could be reached.
                _ => &self.answered,
            }
            .fetch_add(1, Ordering::Relaxed);
            gateway += 1;
            tokio::time::sleep(time::Duration::from_millis(40)).await;
        }
    }
}

/// Replaces the entries of crashed targets by those of new targets.
async fn replace_crashed(trial: &Trial, crash: Crash, end: Instant) {
    let system: &System = &trial.gateways[0];
    let mut known: Vec<_> = trial.targets.iter().cloned().enumerate().collect();
    let mut crashed: Vec<(usize, Instant)> = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
        for (number, target) in &known {
            if target.is_crashed() && !crashed.iter().any(|(n, _)| n == number) {
                crashed.push((*number, Instant::now()));
            }
        }
        let lapsed = |at: &Instant| at.elapsed() > ENTRY_LIFETIME;
        for (number, _) in crashed.iter().filter(|(_, at)| lapsed(at)) {
            let next = poison_target(&trial.arrivals, move |_| vec![Step::Crash(crash)]).await;
            system.remove(&format!("servers/i-{number}")).await;
            let number = 1000 + known.len();
            system
                .put(
                    &format!("servers/i-{number}"),
                    &target_entry("desk", &next, "ready"),
                )
                .await;
            known.push((number, next));
        }
        let gone: Vec<_> = crashed
            .iter()
            .filter(|(_, at)| lapsed(at))
            .map(|(n, _)| *n)
            .collect();
        known.retain(|(number, _)| !gone.contains(number));
        crashed.retain(|(number, _)| !gone.contains(number));
    }
}

// Other contents run beside several that crash targets, and fail with them.
#[rstest]
#[case::refused_connections(Crash::Refuses)]
#[case::reset_connections(Crash::Resets)]
#[tokio::test]
async fn harmless_content_beside_crashing_content_is_served(#[case] crash: Crash) {
    let trial = Trial::start(config(|_| ()), "desk", 6, 9, move |_| {
        vec![Step::Crash(crash)]
    })
    .await;
    let end = Instant::now() + time::Duration::from_secs(10);
    let outcomes = Outcomes::default();
    let harmless = (0..CONTENTS * CALLERS).map(|caller| outcomes.send_until(&trial, caller, end));
    let poison = async |n: usize| {
        let path = format!("/safe/poison-{n}");
        let callers = Callers {
            count: 1,
            path: &path,
            patience: time::Duration::from_secs(10),
        };
        let mut gateway = n;
        while Instant::now() < end {
            trial.send(gateway, &callers).await;
            gateway += 1;
            tokio::time::sleep(time::Duration::from_millis(700)).await;
        }
    };
    tokio::join!(
        future::join_all(harmless),
        future::join_all((0..3).map(poison)),
        replace_crashed(&trial, crash, end),
    );
    let answered = outcomes.answered.load(Ordering::Relaxed);
    let refused = outcomes.refused.load(Ordering::Relaxed);
    assert!(answered > 100, "{answered} answered");
    assert_eq!(refused, 0, "{refused} refused beside {answered} answered");
}
