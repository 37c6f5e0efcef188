//! Tells the other daemons what is sent where, and hears it from them.
//!
//! Each daemon writes its address to the key-value service under a lease.
//! jsonrpsee, which the daemons use elsewhere, needs a connection to each
//! other daemon; news that is worth nothing after a second goes by datagram.
//! In large fleets relays collect it, as `gooseberry_core::serving::relays`
//! plans.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use gooseberry_core::{
    serving::{
        backoff::RetryBackoff,
        relays::{self, RelayCandidate, RelayPlan},
    },
    time::Timestamp,
};
use gooseberry_platform::store::{StoreClient, StoreError, StorePut};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::{
    gateway::Gateway,
    settings::GatewayOptions,
    updates::{SendUpdate, UpdateBundle, UpdateDatagram},
};

/// Prefix of the keys under which daemons write their addresses.
pub const KEY_PREFIX: &str = "daemons/";

/// Time in which news is collected for one datagram.
const COLLECT_SPAN: Duration = Duration::from_millis(3);
/// Time in which a relay collects the news of its domain.
const RELAY_SPAN: Duration = Duration::from_millis(15);
/// Time between summaries.
const SUMMARY_SPAN: Duration = Duration::from_millis(500);
/// Time after which a relay that isn't heard is replaced: two summaries and a
/// half.
const RELAY_SILENCE: Duration = Duration::from_millis(1250);
/// Time for which a plan holds.
const PLAN_SPAN: Duration = Duration::from_millis(100);
/// Time for which a silent daemon isn't tried as a relay again.
const SILENT_SPAN: Duration = Duration::from_secs(5);
/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 64 * 1024;
/// News in one bundle; more go into the next datagram. With some 50 bytes each
/// a datagram stays within one packet of most networks.
const NEWS_LIMIT: usize = 24;
/// Time for which an address stays in the key-value service without renewal.
const LEASE_SPAN: Duration = Duration::from_secs(20);
/// Time between renewals.
const RENEW_SPAN: Duration = Duration::from_secs(7);
/// Longest time for a call.
const CALL_LIMIT: Duration = Duration::from_millis(1500);
/// Pause after the first failed call; later ones grow up to the longest, so that
/// an address comes back within seconds of an outage.
const RETRY_PAUSE: Duration = Duration::from_secs(1);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// What a daemon writes of itself to the key-value service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerRecord {
    pub address: SocketAddr,
    pub domain: SmolStr,
    /// Share of a core that its VM has.
    pub capacity: f64,
}

impl PeerRecord {
    fn own(options: &GatewayOptions) -> Self {
        Self {
            address: options.peer_listen,
            domain: options.domain.clone(),
            capacity: options.capacity,
        }
    }
}

#[derive(Clone, Debug)]
struct PeerRow {
    record: PeerRecord,
    /// When it last sent something, or registered.
    heard_at: Timestamp,
    /// Since when it is to pass news on to this daemon.
    relay_since: Option<Timestamp>,
    /// When it was found silent though it was to pass news on.
    silent_at: Option<Timestamp>,
}

impl PeerRow {
    fn is_silent(&self, now: Timestamp) -> bool {
        self.silent_at.is_some_and(|at| self.heard_at <= at && now.since(at) < SILENT_SPAN)
    }
}

/// Holds what is known of the other daemons.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    rows: Mutex<HashMap<SmolStr, PeerRow>>,
    /// The latest plan with the time at which it was made.
    planned: Mutex<Option<(Timestamp, Arc<RelayPlan<SocketAddr>>)>>,
    /// News that this daemon passes on as a relay.
    passing: Mutex<Vec<PassedBundle>>,
}

/// News of another daemon, on its way through this relay.
#[derive(Clone, Debug)]
struct PassedBundle {
    bundle: UpdateBundle,
    /// Whether it came from a daemon of this domain.
    is_home: bool,
}

impl PeerDirectory {
    /// Notes what a daemon wrote of itself; returns whether it is news.
    pub fn put(&self, name: &str, record: PeerRecord, now: Timestamp) -> bool {
        let mut rows = self.rows.lock();
        let old = rows.get(name).map(|row| row.record.clone());
        let is_news = old.as_ref() != Some(&record);
        let row = PeerRow { record, heard_at: now, relay_since: None, silent_at: None };
        rows.insert(name.into(), row);
        drop(rows);
        *self.planned.lock() = None;
        is_news
    }

    /// Forgets a daemon.
    pub fn remove(&self, name: &str) {
        self.rows.lock().remove(name);
        *self.planned.lock() = None;
    }

    /// Forgets all daemons but those named.
    pub fn retain(&self, named: &HashSet<&str>) {
        self.rows.lock().retain(|name, _| named.contains(name.as_str()));
        *self.planned.lock() = None;
    }

    /// Returns where news goes now.
    pub fn plan(&self, options: &GatewayOptions, now: Timestamp) -> Arc<RelayPlan<SocketAddr>> {
        let mut planned = self.planned.lock();
        match &*planned {
            Some((at, plan)) if now.since(*at) < PLAN_SPAN => Arc::clone(plan),
            _ => {
                let plan = Arc::new(self.make_plan(options, now));
                *planned = Some((now, Arc::clone(&plan)));
                plan
            }
        }
    }

    fn make_plan(&self, options: &GatewayOptions, now: Timestamp) -> RelayPlan<SocketAddr> {
        let mut rows = self.rows.lock();
        let candidate = |name: &SmolStr, record: &PeerRecord, is_silent| RelayCandidate {
            name: name.clone(),
            domain: record.domain.clone(),
            address: record.address,
            capacity: record.capacity,
            is_unresponsive: is_silent,
        };
        let mut candidates: Vec<_> = rows
            .iter()
            .map(|(name, row)| candidate(name, &row.record, row.is_silent(now)))
            .collect();
        candidates.push(candidate(&options.name, &PeerRecord::own(options), false));
        let plan = relays::plan(&options.name, &candidates);
        for (name, row) in rows.iter_mut() {
            if !plan.expected_relays.contains(name) {
                row.relay_since = None;
                continue;
            }
            let since = *row.relay_since.get_or_insert(now);
            if now.since(since.max(row.heard_at)) > RELAY_SILENCE {
                row.silent_at = Some(now);
                tracing::info!(relay = %name, "relay is silent; another one takes its place");
            }
        }
        plan
    }

    fn heard(&self, name: &str, now: Timestamp) -> Option<SmolStr> {
        let mut rows = self.rows.lock();
        let row = rows.get_mut(name)?;
        row.heard_at = now;
        Some(row.record.domain.clone())
    }
}

/// Writes this daemon's address and keeps it there.
pub async fn register(gateway: Arc<Gateway>) {
    let mut client = StoreClient::new(gateway.options.store);
    let mut pace = RetryBackoff::new(RETRY_PAUSE, LONGEST_PAUSE, gateway.daemon);
    let mut lease = None;
    loop {
        let fault = match keep_registered(&gateway, &mut client, &mut lease, &mut pace).await {
            Ok(never) => match never {},
            Err(fault) => fault,
        };
        gateway.metrics.store_calls.with_label_values(&["failed"]).inc();
        tracing::info!(%fault, "address isn't registered");
        if matches!(fault, StoreError::NoLease) {
            lease = None;
        } else {
            gateway.clock.sleep(pace.next_delay()).await;
        }
    }
}

async fn keep_registered(
    gateway: &Gateway,
    client: &mut StoreClient,
    registered: &mut Option<u64>,
    pace: &mut RetryBackoff,
) -> Result<std::convert::Infallible, StoreError> {
    let options = &gateway.options;
    let lease = match *registered {
        // The lease may have outlived an outage.
        Some(lease) => lease,
        None => {
            let lease = client.grant_lease(LEASE_SPAN, CALL_LIMIT).await?.id;
            let key = format!("{KEY_PREFIX}{}", options.name);
            let value = serde_json::to_vec(&PeerRecord::own(options))?;
            let put = StorePut { key: &key, value: &value, lease, expected: None };
            client.put(&put, CALL_LIMIT).await?;
            *registered = Some(lease);
            pace.reset();
            gateway.clock.sleep(RENEW_SPAN).await;
            lease
        }
    };
    loop {
        client.renew_lease(lease, CALL_LIMIT).await?;
        pace.reset();
        gateway.clock.sleep(RENEW_SPAN).await;
    }
}

/// What the tasks that exchange news share.
#[derive(Clone)]
struct NewsExchange {
    gateway: Arc<Gateway>,
    peers: Arc<PeerDirectory>,
    socket: Arc<UdpSocket>,
}

/// Exchanges news for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(gateway: &Arc<Gateway>, peers: &Arc<PeerDirectory>) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(gateway.options.peer_listen).await?);
    let exchange = NewsExchange { gateway: Arc::clone(gateway), peers: Arc::clone(peers), socket };
    task::spawn(exchange.clone().hear());
    task::spawn(exchange.clone().tell());
    task::spawn(exchange.clone().pass_on());
    task::spawn(exchange.summarize());
    Ok(())
}

impl NewsExchange {
    async fn tell(self) {
        loop {
            self.gateway.updates_ready().await;
            self.gateway.clock.sleep(COLLECT_SPAN).await;
            let news = self.gateway.state.lock().take_updates();
            let plan = self.peers.plan(&self.gateway.options, self.gateway.now());
            for news in news.chunks(NEWS_LIMIT) {
                self.send(vec![self.bundle(news.to_vec())], &plan.local_updates).await;
            }
        }
    }

    async fn summarize(self) {
        loop {
            self.gateway.clock.sleep(SUMMARY_SPAN).await;
            let now = self.gateway.now();
            let (pending, running) = {
                let mut state = self.gateway.state.lock();
                state.remove_expired_peers(now);
                state.own_summary()
            };
            self.gateway.connections.prune(self.gateway.instant());
            let plan = self.peers.plan(&self.gateway.options, now);
            let summary = SendUpdate::Summary { pending, running };
            self.send(vec![self.bundle(vec![summary])], &plan.local_updates).await;
        }
    }

    /// Passes the news of others on, as long as this daemon is a relay.
    async fn pass_on(self) {
        loop {
            self.gateway.clock.sleep(RELAY_SPAN).await;
            let passing = std::mem::take(&mut *self.peers.passing.lock());
            if passing.is_empty() {
                continue;
            }
            let plan = self.peers.plan(&self.gateway.options, self.gateway.now());
            let (home, far): (Vec<_>, Vec<_>) =
                passing.into_iter().partition(|passed| passed.is_home);
            self.pass(home, &plan.member_updates).await;
            self.pass(far, &plan.remote_updates).await;
        }
    }

    async fn pass(&self, passing: Vec<PassedBundle>, to: &[SocketAddr]) {
        let mut bundles = Vec::new();
        let mut news = 0;
        for passed in passing {
            news += passed.bundle.updates.len();
            bundles.push(passed.bundle);
            if news >= NEWS_LIMIT {
                self.send(std::mem::take(&mut bundles), to).await;
                news = 0;
            }
        }
        if !bundles.is_empty() {
            self.send(bundles, to).await;
        }
    }

    fn bundle(&self, news: Vec<SendUpdate>) -> UpdateBundle {
        let name = self.gateway.options.name.to_string();
        UpdateBundle { daemon: self.gateway.daemon, name, updates: news }
    }

    async fn send(&self, bundles: Vec<UpdateBundle>, to: &[SocketAddr]) {
        let datagram = UpdateDatagram { sender: self.gateway.options.name.to_string(), bundles };
        let bytes = match postcard::to_stdvec(&datagram) {
            Ok(bytes) => bytes,
            Err(error) => {
                tracing::warn!(%error, "news can't be written");
                return;
            }
        };
        let sent = self.gateway.metrics.datagrams.with_label_values(&["sent"]);
        for address in to {
            // A datagram that is lost is repaired by the next summary.
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                tracing::debug!(%error, %address, "datagram not sent");
            }
            sent.inc();
        }
    }

    async fn hear(self) {
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            let length = match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(error) => {
                    tracing::warn!(%error, "no datagrams can be read");
                    self.gateway.clock.sleep(COLLECT_SPAN).await;
                    continue;
                }
            };
            match postcard::from_bytes::<UpdateDatagram>(&buffer[..length]) {
                Ok(datagram) => {
                    self.gateway.metrics.datagrams.with_label_values(&["heard"]).inc();
                    self.take_in(datagram);
                }
                Err(error) => {
                    self.gateway.metrics.datagrams.with_label_values(&["unreadable"]).inc();
                    tracing::debug!(%error, "datagram can't be read");
                }
            }
        }
    }

    fn take_in(&self, datagram: UpdateDatagram) {
        let now = self.gateway.now();
        let sender_domain = self.peers.heard(&datagram.sender, now);
        let is_home = sender_domain.as_ref() == Some(&self.gateway.options.domain);
        {
            let mut state = self.gateway.state.lock();
            for bundle in &datagram.bundles {
                state.apply_updates(bundle.daemon, &bundle.updates, now);
            }
        }
        let plan = self.peers.plan(&self.gateway.options, now);
        let is_relay = !plan.member_updates.is_empty();
        // What a relay of this domain passed on has been to all its members.
        let is_first_hand = datagram.bundles.iter().all(|bundle| bundle.name == datagram.sender);
        if is_relay && (!is_home || is_first_hand) {
            let passed = datagram.bundles.into_iter();
            let passed = passed.map(|bundle| PassedBundle { bundle, is_home });
            self.peers.passing.lock().extend(passed);
        }
    }
}
