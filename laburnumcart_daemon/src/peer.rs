//! Server for peers, with authentication by the fleet's secrets.

use std::{
    io,
    net, //
};

use jsonrpsee::server;
use prometheus_client::metrics::counter;

use laburnumcart_wire::peer;

use crate::{
    metrics,
    settings, //
};

/// Serves `methods` on `listener` to peers that present a secret of the fleet.
///
/// Requests without a valid secret are counted in `laburnum_peer_refused_total`.
pub fn serve(
    listener: net::TcpListener,
    fleet: &settings::Fleet,
    methods: impl Into<server::Methods>,
    metrics: &metrics::Metrics,
) -> io::Result<peer::Handle> {
    let refused = counter::Counter::<u64>::default();
    metrics.register("laburnum_peer", |registry| {
        let help = "Requests on the peer port without a valid secret";
        registry.register("refused", help, refused.clone());
    });
    peer::Server::new(&fleet.secrets)
        .on_refused(move || {
            refused.inc();
        })
        .serve(listener, methods)
}
