//! Connection pool for calls to other entries.

use std::{
    collections, net,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use tokio::time;

use laburnumcart::{
    claim,
    unit, //
};
use laburnumcart_wire::{
    entry::{
        self,
        EntryClient, //
    },
    peer,
    secret, //
};

use crate::{
    answers,
    claims, //
};

/// Timeout of a call, in addition to the wait for a running request.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Maximum time that one call waits for a running request.
///
/// A connection may be dead without an error. Short calls detect that early, and the next call uses
/// a new connection.
const MAX_WAIT: time::Duration = time::Duration::from_secs(1);

/// Consecutive failed calls that are tolerated before an entry counts as unreachable.
const MAX_FAILURES: u32 = 3;

/// Connections to other entries, opened on demand.
#[derive(Debug)]
pub struct Pool {
    holder: claim::Holder,
    secret: secret::Secret,
    answers: Arc<answers::Answers>,
    open: Mutex<collections::HashMap<net::SocketAddr, Arc<peer::Client>>>,
}

impl Pool {
    /// Creates the pool of the process `holder`, whose own answers are read from `answers`.
    pub fn new(
        holder: claim::Holder,
        secret: secret::Secret,
        answers: Arc<answers::Answers>,
    ) -> Self {
        Self {
            holder,
            secret,
            answers,
            open: Mutex::default(),
        }
    }

    async fn client(
        &self,
        addr: net::SocketAddr,
    ) -> Result<Arc<peer::Client>, claims::Unreachable> {
        let known = self.lock().get(&addr).cloned();
        if let Some(client) = known.filter(|client| client.is_connected()) {
            return Ok(client);
        }
        let limits = peer::Limits::default();
        let opened = peer::connect(addr, &self.secret, &limits).await;
        let client = Arc::new(opened.map_err(|_| claims::Unreachable)?);
        self.lock().insert(addr, client.clone());
        Ok(client)
    }

    /// Makes one call; discards the connection if the call fails.
    async fn call<T, F>(
        &self,
        addr: net::SocketAddr,
        timeout: time::Duration,
        make: impl FnOnce(Arc<peer::Client>) -> F,
    ) -> Result<T, claims::Unreachable>
    where
        F: Future<Output = Result<T, jsonrpsee::core::ClientError>>,
    {
        let client = self.client(addr).await?;
        match time::timeout(timeout, make(client.clone())).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => {
                self.discard(addr, &client);
                Err(claims::Unreachable)
            }
        }
    }

    fn discard(&self, addr: net::SocketAddr, client: &Arc<peer::Client>) {
        let mut open = self.lock();
        if open
            .get(&addr)
            .is_some_and(|known| Arc::ptr_eq(known, client))
        {
            open.remove(&addr);
        }
    }

    fn lock(
        &self,
    ) -> std::sync::MutexGuard<'_, collections::HashMap<net::SocketAddr, Arc<peer::Client>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl claims::Peers for Pool {
    async fn claim(
        &self,
        addr: net::SocketAddr,
        claim: entry::Claim,
    ) -> Result<entry::Decision, claims::Unreachable> {
        self.call(addr, CALL_TIMEOUT, |c| async move { c.claim(claim).await })
            .await
    }

    async fn release(
        &self,
        addr: net::SocketAddr,
        release: entry::Release,
    ) -> Result<bool, claims::Unreachable> {
        self.call(
            addr,
            CALL_TIMEOUT,
            |c| async move { c.release(release).await },
        )
        .await
    }

    async fn fetch(
        &self,
        addr: net::SocketAddr,
        fetch: entry::Fetch,
    ) -> Result<entry::Answer, claims::Unreachable> {
        if fetch.incarnation == self.holder.incarnation {
            return Ok(self.answers.fetch(fetch.request, fetch.wait.0).await);
        }
        let until = time::Instant::now() + fetch.wait.0;
        let mut failures = 0;
        loop {
            let wait = until
                .saturating_duration_since(time::Instant::now())
                .min(MAX_WAIT);
            let request = entry::Fetch {
                wait: unit::Period(wait),
                ..fetch.clone()
            };
            let call = |c: Arc<peer::Client>| async move { c.fetch(request).await };
            match self.call(addr, wait + CALL_TIMEOUT, call).await {
                Ok(entry::Answer::Running) if time::Instant::now() < until => failures = 0,
                Ok(answer) => return Ok(answer),
                Err(claims::Unreachable) if failures < MAX_FAILURES => failures += 1,
                Err(claims::Unreachable) => return Err(claims::Unreachable),
            }
        }
    }
}
