//! Exchanges updates on prefills, running requests and crashes with the other daemons.
//!
//! Each daemon writes its address to the key-value service under a lease. The updates are sent in
//! datagrams, since they are useless after a second; jsonrpsee, which the daemons use elsewhere,
//! would need a connection to each other daemon. In large fleets relays forward the updates, as
//! planned by `gooseberry_core::serving::relays`.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use async_std::{net::UdpSocket, task};
use gooseberry_core::{
    serving::{
        part_evidence::VerdictChanges,
        relays::{self, RelayCandidate, RelayPlan},
        software::{SoftwareKey, StreamKey, UnconfirmedOrigin},
    },
    time::Timestamp,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use strum::IntoEnumIterator;

use crate::{
    gateway::Gateway,
    origin, pace, reach,
    settings::GatewayOptions,
    shares, stored_evidence,
    updates::{
        format::{self, DatagramFormat, ReceivedDatagram},
        SendUpdate, UpdateBundle, UpdateDatagram,
    },
};

/// Prefix of the keys under which daemons write their addresses.
pub const KEY_PREFIX: &str = "daemons/";

/// Time for which updates are batched into one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(3);
/// Time for which a relay batches the updates that it forwards.
const RELAY_BATCH_DELAY: Duration = Duration::from_millis(15);
/// Time between summaries of this daemon's pending prefills and running requests.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(500);
/// Number of summaries from one record of the accounts' work to the next.
const SUMMARIES_PER_WORK_RECORD: u32 = 4;
/// Time without a datagram after which a relay is replaced: 2.5 summary intervals.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1250);
/// Time for which a relay plan is reused.
const PLAN_TTL: Duration = Duration::from_millis(100);
/// Time for which an unresponsive daemon isn't chosen as relay again.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(5);
/// Largest datagram that is received, in bytes.
const DATAGRAM_LIMIT_BYTES: usize = 64 * 1024;
/// Time in which a live daemon whose registration is missing writes it again. Until then it counts as
/// registered: its lease may have expired in an outage of the key-value service, or the service came
/// back from a copy.
const REWRITE_WINDOW: Duration = Duration::from_secs(3);
/// Number of updates from which a datagram is full. At about 50 bytes each, this many fit into one
/// packet of most networks. A relay doesn't split the bundles that it forwards, so its datagrams
/// may be larger.
const BATCH_LIMIT: usize = 24;
/// Record of a daemon in the key-value service. Other builds read it too, so fields are only added,
/// with a default for records without them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerRecord {
    pub address: SocketAddr,
    pub domain: SmolStr,
    /// Share of a CPU core that its VM has.
    pub capacity: f64,
    /// Token that requests handed to it must carry. Empty if it takes none.
    #[serde(default)]
    pub token: SmolStr,
    /// Hash of the daemon's name and incarnation.
    #[serde(default)]
    pub daemon: u64,
    /// Number of the newest [`DatagramFormat`] that it reads.
    #[serde(default)]
    pub reads: u8,
}

impl PeerRecord {
    /// Creates the record of this daemon.
    pub fn own(gateway: &Gateway) -> Self {
        let options = &gateway.options;
        Self {
            address: options.peer_listen,
            domain: options.domain.clone(),
            capacity: options.capacity,
            token: gateway.peer_token.clone(),
            daemon: gateway.daemon,
            reads: DatagramFormat::NEWEST.number(),
        }
    }
}

/// A daemon to which requests can be handed.
#[derive(Clone, Debug)]
pub struct ForwardTarget {
    pub name: SmolStr,
    pub address: SocketAddr,
    pub token: SmolStr,
}

/// Where updates are sent, and in which format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpdateTarget {
    pub address: SocketAddr,
    pub format: DatagramFormat,
}

#[derive(Clone, Debug)]
struct PeerRow {
    record: PeerRecord,
    /// Start of the daemon whose format is known, by its record or its datagrams, and the newest
    /// format that both builds read.
    format: (u64, DatagramFormat),
    /// Whether updates of this start were skipped.
    has_skipped: bool,
    /// Time of the daemon's last datagram or registration.
    last_seen_at: Timestamp,
    /// Time since which this daemon has expected updates from it as a relay.
    relay_since: Option<Timestamp>,
    /// Time at which it was found unresponsive as a relay.
    unresponsive_at: Option<Timestamp>,
    /// Time since which its registration has been missing.
    missing_since: Option<Timestamp>,
}

impl PeerRow {
    fn new(record: PeerRecord, now: Timestamp) -> Self {
        Self {
            format: (record.daemon, DatagramFormat::up_to(record.reads)),
            has_skipped: false,
            last_seen_at: now,
            relay_since: None,
            unresponsive_at: None,
            missing_since: None,
            record,
        }
    }

    /// Records the format of a datagram that the daemon sent itself. One without a frame says nothing
    /// of what a start reads that is already known. Returns whether the format changed.
    fn record_format(&mut self, daemon: Option<u64>, reads: Option<u8>) -> bool {
        let format = match (daemon, reads) {
            (daemon, Some(reads)) => {
                (daemon.unwrap_or(self.format.0), DatagramFormat::up_to(reads))
            }
            (Some(daemon), None) if daemon != self.format.0 => (daemon, DatagramFormat::Unframed),
            (_, None) => return false,
        };
        let has_changed = format.1 != self.format.1;
        self.has_skipped &= format.0 == self.format.0;
        self.format = format;
        has_changed
    }

    fn is_unresponsive(&self, now: Timestamp) -> bool {
        self.unresponsive_at
            .is_some_and(|at| self.last_seen_at <= at && now.since(at) < UNRESPONSIVE_DURATION)
    }
}

/// The other daemons, as registered in the key-value service.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    rows: Mutex<HashMap<SmolStr, PeerRow>>,
    /// The latest plan, with the time at which it was made.
    cached_plan: Mutex<Option<(Timestamp, Arc<RelayPlan<UpdateTarget>>)>>,
    /// Updates that this daemon has received as a relay and hasn't forwarded yet.
    forward_queue: Mutex<Vec<QueuedBundle>>,
}

/// Updates of another daemon that this relay is to forward.
#[derive(Clone, Debug)]
struct QueuedBundle {
    bundle: UpdateBundle,
    /// Whether the sender of the datagram belongs to this failure domain.
    is_home: bool,
}

impl PeerDirectory {
    /// Records the registration of a daemon. Returns whether it is new or has changed.
    pub fn put(&self, name: &str, record: PeerRecord, now: Timestamp) -> bool {
        let mut rows = self.rows.lock();
        let old = rows.get(name).map(|row| row.record.clone());
        let has_changed = old.as_ref() != Some(&record);
        rows.insert(name.into(), PeerRow::new(record, now));
        drop(rows);
        *self.cached_plan.lock() = None;
        has_changed
    }

    /// Records that the registration of a daemon is missing.
    pub fn record_missing(&self, name: &str, now: Timestamp) {
        if let Some(row) = self.rows.lock().get_mut(name) {
            row.missing_since.get_or_insert(now);
        }
    }

    /// Records that the registrations of all daemons are missing that aren't in `named`.
    pub fn record_missing_except(&self, named: &HashSet<&str>, now: Timestamp) {
        for (name, row) in self.rows.lock().iter_mut() {
            if !named.contains(name.as_str()) {
                row.missing_since.get_or_insert(now);
            }
        }
    }

    /// Removes the daemons whose registrations have been missing for so long that they have ended.
    pub fn remove_expired(&self, now: Timestamp) {
        let is_expired = |row: &PeerRow| {
            row.missing_since.is_some_and(|since| now.since(since) >= REWRITE_WINDOW)
        };
        let mut rows = self.rows.lock();
        let before = rows.len();
        rows.retain(|_, row| !is_expired(row));
        let has_changed = rows.len() < before;
        drop(rows);
        if has_changed {
            *self.cached_plan.lock() = None;
        }
    }

    /// Returns the relay plan, which is at most `PLAN_TTL` old.
    pub fn plan(&self, options: &GatewayOptions, now: Timestamp) -> Arc<RelayPlan<UpdateTarget>> {
        let mut cached_plan = self.cached_plan.lock();
        match &*cached_plan {
            Some((at, plan)) if now.since(*at) < PLAN_TTL => Arc::clone(plan),
            _ => {
                let plan = Arc::new(self.make_plan(options, now));
                *cached_plan = Some((now, Arc::clone(&plan)));
                plan
            }
        }
    }

    fn make_plan(&self, options: &GatewayOptions, now: Timestamp) -> RelayPlan<UpdateTarget> {
        let mut rows = self.rows.lock();
        let candidate = |(name, row): (&SmolStr, &PeerRow)| RelayCandidate {
            name: name.clone(),
            domain: row.record.domain.clone(),
            address: UpdateTarget { address: row.record.address, format: row.format.1 },
            capacity: row.record.capacity,
            is_unresponsive: row.is_unresponsive(now),
        };
        let mut candidates: Vec<_> = rows.iter().map(candidate).collect();
        candidates.push(RelayCandidate {
            name: options.name.clone(),
            domain: options.domain.clone(),
            address: UpdateTarget { address: options.peer_listen, format: DatagramFormat::NEWEST },
            capacity: options.capacity,
            is_unresponsive: false,
        });
        let plan = relays::plan(&options.name, &candidates);
        for (name, row) in rows.iter_mut() {
            if !plan.expected_relays.contains(name) {
                row.relay_since = None;
                continue;
            }
            let since = *row.relay_since.get_or_insert(now);
            if now.since(since.max(row.last_seen_at)) > RELAY_TIMEOUT {
                row.unresponsive_at = Some(now);
                tracing::info!(relay = %name, "relay timed out; choosing another one");
            }
        }
        plan
    }

    /// Returns the number of other daemons that are registered.
    pub fn count(&self) -> usize {
        self.rows.lock().len()
    }

    /// Returns how updates are sent to a daemon.
    pub fn target(&self, name: &str) -> Option<UpdateTarget> {
        let rows = self.rows.lock();
        let row = rows.get(name)?;
        Some(UpdateTarget { address: row.record.address, format: row.format.1 })
    }

    /// Returns how requests are handed to a daemon, if it takes any.
    pub fn forward_target(&self, name: &SmolStr) -> Option<ForwardTarget> {
        let rows = self.rows.lock();
        let PeerRecord { address, token, .. } = rows.get(name)?.record.clone();
        let target = ForwardTarget { name: name.clone(), address, token };
        // The token is sent in a header.
        let is_usable =
            |token: &str| !token.is_empty() && token.bytes().all(|b| b.is_ascii_hexdigit());
        is_usable(&target.token).then_some(target)
    }

    /// Returns all daemons that take requests.
    pub fn forward_targets(&self) -> Vec<ForwardTarget> {
        let names: Vec<SmolStr> = self.rows.lock().keys().cloned().collect();
        names.iter().filter_map(|name| self.forward_target(name)).collect()
    }

    /// Records a datagram, and returns the failure domain of its sender if that is known.
    pub fn record_datagram(&self, received: &ReceivedDatagram, now: Timestamp) -> Option<SmolStr> {
        let ReceivedDatagram { datagram, reads, skipped } = received;
        let sender = &datagram.sender;
        let own = datagram.bundles.iter().find(|bundle| bundle.name == *sender);
        let mut rows = self.rows.lock();
        let row = rows.get_mut(sender.as_str())?;
        row.last_seen_at = now;
        let has_changed = row.record_format(own.map(|bundle| bundle.daemon), *reads);
        if *skipped > 0 && !std::mem::replace(&mut row.has_skipped, true) {
            tracing::info!(daemon = %sender, reads, skipped, "updates of another build are unknown; skipping these");
        }
        let (format, domain) = (row.format.1, row.record.domain.clone());
        drop(rows);
        if has_changed {
            tracing::info!(daemon = %sender, %format, "daemon reads another format; sending it that one");
            *self.cached_plan.lock() = None;
        }
        Some(domain)
    }
}

/// State that the tasks for the exchange of updates share.
#[derive(Clone)]
struct UpdateExchange {
    gateway: Arc<Gateway>,
    peers: Arc<PeerDirectory>,
    socket: Arc<UdpSocket>,
}

/// Starts the tasks that exchange updates for as long as the process runs.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn start(gateway: &Arc<Gateway>, peers: &Arc<PeerDirectory>) -> std::io::Result<()> {
    let socket = Arc::new(UdpSocket::bind(gateway.options.peer_listen).await?);
    let exchange =
        UpdateExchange { gateway: Arc::clone(gateway), peers: Arc::clone(peers), socket };
    task::spawn(exchange.clone().receive());
    task::spawn(exchange.clone().publish());
    task::spawn(exchange.clone().forward());
    task::spawn(exchange.publish_summaries());
    Ok(())
}

impl UpdateExchange {
    /// Sends this daemon's updates.
    async fn publish(self) {
        loop {
            self.gateway.updates_ready().await;
            self.gateway.clock.sleep(BATCH_DELAY).await;
            let updates = self.gateway.state.lock().take_updates();
            let plan = self.peers.plan(&self.gateway.options, self.gateway.now());
            for updates in updates.chunks(BATCH_LIMIT) {
                self.send(vec![self.bundle(updates.to_vec())], &plan.own_update_targets).await;
            }
        }
    }

    /// Sends summaries, and removes expired state of other daemons.
    async fn publish_summaries(self) {
        let mut summaries: u32 = 0;
        loop {
            self.gateway.clock.sleep(SUMMARY_INTERVAL).await;
            let now = self.gateway.now();
            self.peers.remove_expired(now);
            let registered = self.peers.count();
            let (pending, running, repeated) = {
                let mut state = self.gateway.state.lock();
                state.remove_expired_peers(now);
                state.update_daemon_share(registered, now);
                let (pending, running) = state.own_summary();
                let mut repeated = state.limits_to_repeat(now);
                repeated.extend(state.crashes_to_repeat(now));
                repeated.extend(state.update_pace(now));
                if !self.gateway.is_stopping() {
                    repeated.extend(state.reach_report(now));
                }
                (pending, running, repeated)
            };
            self.publish_evidence(now);
            pace::report(&self.gateway.state, &self.gateway.metrics);
            // Changes of the store may have caused updates.
            self.gateway.wake_publisher();
            self.gateway.connections.prune(self.gateway.instant());
            let plan = self.peers.plan(&self.gateway.options, now);
            let mut updates = vec![SendUpdate::Summary { pending, running }];
            updates.extend(repeated);
            updates.extend(self.gateway.usage.clock_update());
            for updates in updates.chunks(BATCH_LIMIT) {
                self.send(vec![self.bundle(updates.to_vec())], &plan.own_update_targets).await;
            }
            summaries = summaries.wrapping_add(1);
            if summaries.is_multiple_of(SUMMARIES_PER_WORK_RECORD) {
                for (updates, targets) in shares::records(&self.gateway.state, &plan, now) {
                    self.send(vec![self.bundle(updates)], &targets).await;
                }
            }
        }
    }

    fn publish_evidence(&self, now: Timestamp) {
        let (changes, suspects) = {
            let mut state = self.gateway.state.lock();
            (state.take_verdict_changes(), state.take_suspect_histories(now))
        };
        if changes != VerdictChanges::default() {
            let gateway = Arc::clone(&self.gateway);
            task::spawn(async move { stored_evidence::publish_verdicts(&gateway, changes).await });
        }
        if !suspects.is_empty() {
            let gateway = Arc::clone(&self.gateway);
            task::spawn(async move { stored_evidence::publish_suspects(&gateway, suspects).await });
        }
    }

    /// Forwards the updates of other daemons while this daemon is a relay.
    async fn forward(self) {
        loop {
            self.gateway.clock.sleep(RELAY_BATCH_DELAY).await;
            let queue = std::mem::take(&mut *self.peers.forward_queue.lock());
            if queue.is_empty() {
                continue;
            }
            let plan = self.peers.plan(&self.gateway.options, self.gateway.now());
            let (home, remote): (Vec<_>, Vec<_>) =
                queue.into_iter().partition(|queued| queued.is_home);
            self.forward_to(home, &plan.member_update_targets).await;
            self.forward_to(remote, &plan.remote_update_targets).await;
        }
    }

    async fn forward_to(&self, queue: Vec<QueuedBundle>, to: &[UpdateTarget]) {
        let mut bundles = Vec::new();
        let mut updates = 0;
        for queued_bundle in queue {
            let bundle = &queued_bundle.bundle;
            updates += bundle.updates.len() + bundle.unknown.len();
            bundles.push(queued_bundle.bundle);
            if updates >= BATCH_LIMIT {
                self.send(std::mem::take(&mut bundles), to).await;
                updates = 0;
            }
        }
        if !bundles.is_empty() {
            self.send(bundles, to).await;
        }
    }

    fn bundle(&self, updates: Vec<SendUpdate>) -> UpdateBundle {
        let name = self.gateway.options.name.to_string();
        UpdateBundle { daemon: self.gateway.daemon, name, updates, unknown: Vec::new() }
    }

    async fn send(&self, bundles: Vec<UpdateBundle>, to: &[UpdateTarget]) {
        let datagram = UpdateDatagram { sender: self.gateway.options.name.to_string(), bundles };
        for format in DatagramFormat::iter() {
            if !to.iter().any(|target| target.format == format) {
                continue;
            }
            let bytes = match format::encode(&datagram, format) {
                Ok(bytes) => bytes,
                Err(error) => {
                    tracing::warn!(%error, %format, "updates can't be encoded");
                    continue;
                }
            };
            for target in to {
                if target.format == format {
                    self.send_bytes(&bytes, target.address).await;
                }
            }
        }
    }

    /// Sends a datagram. A lost one isn't sent again: the next summary corrects the pending prefills
    /// and the counts of running requests.
    async fn send_bytes(&self, bytes: &[u8], address: SocketAddr) {
        if let Err(error) = self.socket.send_to(bytes, address).await {
            tracing::debug!(%error, %address, "datagram not sent");
        }
        self.gateway.metrics.datagrams.with_label_values(&["sent"]).inc();
    }

    async fn receive(self) {
        let mut buffer = vec![0; DATAGRAM_LIMIT_BYTES];
        loop {
            let (length, source) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    tracing::warn!(%error, "can't receive datagrams");
                    self.gateway.clock.sleep(BATCH_DELAY).await;
                    continue;
                }
            };
            // While datagrams keep arriving, the socket is always ready.
            task::yield_now().await;
            match format::decode(&buffer[..length]) {
                Ok(received) => {
                    let metrics = &self.gateway.metrics;
                    metrics.datagrams.with_label_values(&["heard"]).inc();
                    if received.skipped > 0 {
                        let reads = received.reads.unwrap_or_default().to_string();
                        let skipped = metrics.skipped_updates.with_label_values(&[&reads]);
                        skipped.inc_by(received.skipped as u64);
                    }
                    let sender_domain = self.peers.record_datagram(&received, self.gateway.now());
                    let format = DatagramFormat::up_to(received.reads.unwrap_or_default());
                    let datagram = received.datagram;
                    self.respond(&datagram).await;
                    self.welcome(&datagram, UpdateTarget { address: source, format }).await;
                    self.apply(datagram, sender_domain);
                }
                Err(error) => {
                    self.gateway.metrics.datagrams.with_label_values(&["unreadable"]).inc();
                    tracing::debug!(%error, "datagram can't be decoded");
                }
            }
        }
    }

    /// Responds to the questions of a datagram's sender.
    async fn respond(&self, datagram: &UpdateDatagram) {
        let now = self.gateway.now();
        for update in datagram.bundles.iter().flat_map(|bundle| &bundle.updates) {
            if let SendUpdate::ReachAsked { service } = update {
                task::spawn(reach::answer(Arc::clone(&self.gateway), service.clone()));
            }
        }
        let mut responses = Vec::new();
        let mut unrecorded: HashMap<SmolStr, Vec<StreamKey>> = HashMap::new();
        let mut unconfirmed = Vec::new();
        {
            let state = self.gateway.state.lock();
            for bundle in &datagram.bundles {
                responses.extend(state.origin_responses(&bundle.updates));
                unconfirmed.extend(state.unconfirmed_origins(&bundle.updates));
                for (stream, service) in state.unrecorded_origins(&bundle.updates, now) {
                    unrecorded.entry(service).or_default().push(stream);
                }
            }
        }
        let Some(target) = self.peers.target(&datagram.sender) else {
            return;
        };
        if !responses.is_empty() {
            self.send(vec![self.bundle(responses)], &[target]).await;
        }
        if !unconfirmed.is_empty() {
            task::spawn(self.clone().respond_confirmed(unconfirmed, target));
        }
        for (service, streams) in unrecorded {
            task::spawn(self.clone().respond_sole_version(service, streams, target));
        }
    }

    /// Tells another daemon the versions that began streams, as far as the key-value service confirms
    /// them.
    async fn respond_confirmed(self, unconfirmed: Vec<UnconfirmedOrigin>, target: UpdateTarget) {
        let confirmed = origin::confirm(&self.gateway, unconfirmed).await;
        let response = |origin: &UnconfirmedOrigin| SendUpdate::StreamSent {
            stream: origin.stream.0,
            software: origin.software.0,
        };
        for origins in confirmed.chunks(BATCH_LIMIT) {
            let responses = origins.iter().map(response).collect();
            self.send(vec![self.bundle(responses)], &[target]).await;
        }
    }

    /// Tells another daemon the version that began streams of a service, if there was only one.
    async fn respond_sole_version(
        self,
        service: SmolStr,
        streams: Vec<StreamKey>,
        target: UpdateTarget,
    ) {
        let sole_version = origin::current_sole_version(&self.gateway, &service).await;
        let Some(SoftwareKey(software)) = sole_version else {
            return;
        };
        let response = |stream: &StreamKey| SendUpdate::StreamSent { stream: stream.0, software };
        for streams in streams.chunks(BATCH_LIMIT) {
            let responses = streams.iter().map(response).collect();
            self.send(vec![self.bundle(responses)], &[target]).await;
        }
    }

    /// Tells the evidence against requests and prompt parts to the sender of a datagram if it is heard
    /// for the first time. Its address may not be registered yet.
    async fn welcome(&self, datagram: &UpdateDatagram, source: UpdateTarget) {
        let updates = {
            let state = self.gateway.state.lock();
            let mut bundles = datagram.bundles.iter();
            let is_new = bundles
                .any(|bundle| bundle.name == datagram.sender && state.is_new_peer(bundle.daemon));
            if is_new {
                state.evidence_updates(self.gateway.now())
            } else {
                Vec::new()
            }
        };
        for updates in updates.chunks(BATCH_LIMIT) {
            self.send(vec![self.bundle(updates.to_vec())], &[source]).await;
        }
    }

    fn apply(&self, mut datagram: UpdateDatagram, sender_domain: Option<SmolStr>) {
        let now = self.gateway.now();
        let is_home = sender_domain.as_ref() == Some(&self.gateway.options.domain);
        {
            let mut state = self.gateway.state.lock();
            for bundle in &datagram.bundles {
                state.record_peer_name(bundle.daemon, &bundle.name);
                state.apply_updates(bundle.daemon, &bundle.updates, now);
                self.gateway.usage.record_clocks(bundle.daemon, &bundle.updates);
            }
        }
        let plan = self.peers.plan(&self.gateway.options, now);
        let is_relay = !plan.member_update_targets.is_empty();
        // Updates that another relay of this domain forwarded have already been sent to all members
        // of the domain.
        let is_direct = datagram.bundles.iter().all(|bundle| bundle.name == datagram.sender);
        if is_relay && (!is_home || is_direct) {
            for bundle in &mut datagram.bundles {
                bundle.updates.retain(|update| {
                    let is_for_relay = matches!(
                        update,
                        SendUpdate::OriginAsked { .. }
                            | SendUpdate::ReachAsked { .. }
                            | SendUpdate::AccountWork(_)
                    );
                    !is_for_relay
                });
            }
            datagram
                .bundles
                .retain(|bundle| !bundle.updates.is_empty() || !bundle.unknown.is_empty());
            let bundles = datagram.bundles.into_iter();
            let queued = bundles.map(|bundle| QueuedBundle { bundle, is_home });
            self.peers.forward_queue.lock().extend(queued);
        }
    }
}
