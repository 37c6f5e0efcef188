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
const SPREAD_INTERVAL: Duration = Duration::from_millis(200);

/// Client of one peer and the reports that it was sent.
struct PeerSpread {
    link: PeerClient,
    told: SentReports,
}

/// Sends updates to the live peers of the failure domain, in an endless loop.
pub async fn run(context: Arc<DaemonContext>) {
    let mut peers: HashMap<SmolStr, Arc<Mutex<PeerSpread>>> = HashMap::new();
    loop {
        context.clock.sleep(SPREAD_INTERVAL).await;
        let live = context.loads.live_peers(&context.settings.name);
        peers.retain(|daemon, _| live.contains(daemon));
        for daemon in live {
            let Some(address) = context.limits.address(&daemon) else { continue };
            let new = || {
                let link = PeerClient::new(&address);
                Arc::new(Mutex::new(PeerSpread { link, told: SentReports::default() }))
            };
            let peer = Arc::clone(peers.entry(daemon).or_insert_with(new));
            task::spawn(tell(Arc::clone(&context), peer));
        }
    }
}

/// Sends an update to one peer. Skips the peer while a call to it is still running.
async fn tell(context: Arc<DaemonContext>, peer: Arc<Mutex<PeerSpread>>) {
    let Some(mut peer) = peer.try_lock() else { return };
    let news = context.loads.news(&mut peer.told, context.clock.now());
    if news.is_empty() {
        return;
    }
    let own = &context.settings.name;
    let secret = &context.settings.peer_secret;
    let LoadUpdate { reports, pulses, unchanged: silent } = news;
    let params = rpc_params![secret, own, reports, pulses, silent];
    let text = params.clone().to_rpc_params().ok().flatten();
    context.metrics.load_bytes_sent(text.map_or(0, |text| text.get().len() as u64));
    let lacking: Option<Vec<String>> = peer.link.call("loads", params).await;
    match lacking {
        Some(lacking) => lacking.iter().for_each(|engine| peer.told.invalidate(engine)),
        // Which updates were lost is unknown, so everything is sent again.
        None => peer.told = SentReports::default(),
    }
}

impl LoadExchange {
    /// Collects the update for a peer.
    fn news(&self, told: &mut SentReports, now: Timestamp) -> LoadUpdate {
        let state = self.state.lock();
        let mut news = LoadUpdate::default();
        for engine in state.readers.assigned_engines(now) {
            if let Some(reading) = state.engines.get(engine) {
                told.add_update(&mut news, engine, reading, now);
            }
        }
        news
    }
}
