//! Sends load reports that this daemon has read to the peers of its failure domain.

use std::{collections::HashMap, sync::Arc, time::Duration};

use async_std::{sync::Mutex, task};
use gooseberry_core::time::Timestamp;
use jsonrpsee::{core::traits::ToRpcParams, rpc_params};
use smol_str::SmolStr;

use crate::{
    context::DaemonContext,
    loads::{
        updates::{LoadUpdate, SentReports},
        LoadExchange,
    },
    poison::rpc::PeerClient,
};

/// Interval of load updates to peers.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);

/// Client of one peer and the reports that it was sent.
struct PeerSession {
    client: PeerClient,
    sent: SentReports,
}

/// Sends updates to the live peers of the failure domain, in an endless loop.
pub async fn run(context: Arc<DaemonContext>) {
    let mut peers: HashMap<SmolStr, Arc<Mutex<PeerSession>>> = HashMap::new();
    loop {
        context.clock.sleep(PUBLISH_INTERVAL).await;
        let live = context.loads.live_peers(&context.settings.name);
        peers.retain(|daemon, _| live.contains(daemon));
        for daemon in live {
            let Some(address) = context.limits.address(&daemon) else { continue };
            let new = || {
                let client = PeerClient::new(&address);
                Arc::new(Mutex::new(PeerSession { client, sent: SentReports::default() }))
            };
            let peer = Arc::clone(peers.entry(daemon).or_insert_with(new));
            task::spawn(send_update(Arc::clone(&context), peer));
        }
    }
}

/// Sends an update to one peer. Skips the peer while a call to it is still running.
async fn send_update(context: Arc<DaemonContext>, peer: Arc<Mutex<PeerSession>>) {
    let Some(mut peer) = peer.try_lock() else { return };
    let update = context.loads.collect_update(&mut peer.sent, context.clock.now());
    if update.is_empty() {
        return;
    }
    let own = &context.settings.name;
    let secret = &context.settings.peer_secret;
    let LoadUpdate { reports, deltas, unchanged } = update;
    let params = rpc_params![secret, own, reports, deltas, unchanged];
    let text = params.clone().to_rpc_params().ok().flatten();
    context.metrics.load_bytes_sent(text.map_or(0, |text| text.get().len() as u64));
    let missing: Option<Vec<String>> = peer.client.call("loads", params).await;
    match missing {
        Some(missing) => missing.iter().for_each(|engine| peer.sent.invalidate(engine)),
        // Which updates were lost is unknown, so everything is sent again.
        None => peer.sent = SentReports::default(),
    }
}

impl LoadExchange {
    /// Collects the update for a peer.
    fn collect_update(&self, sent: &mut SentReports, now: Timestamp) -> LoadUpdate {
        let state = self.state.lock();
        let mut update = LoadUpdate::default();
        for engine in state.readers.assigned_engines(now) {
            if let Some(poll) = state.engines.get(engine) {
                sent.add_update(&mut update, engine, poll, now);
            }
        }
        update
    }
}
