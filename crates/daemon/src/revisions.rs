//! Configuration revisions, from the platform and from peers.
//!
//! Revisions only grow: a lower revision is never applied, whoever offers it.

use std::sync::Arc;

use gooseberry_config::fleet;
use gooseberry_core::{
    fleet::FleetTable,
    revisions::{
        self, RevisionTable, RevisionVerdict, WatchCandidate, STARTUP_TICK, WATCH_POLL_TIMEOUT,
        WATCH_RETRY_DELAY,
    },
};
use gooseberry_edges::platform::PlatformError;
use gooseberry_wire::{edit::ConfigurationEdit, peer::PeerRevision, platform::KvRecord};
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::{context::DaemonContext, control::ControlEvent, peers::PeerTable};

/// Key of the configuration text in the key-value store.
pub const CONFIGURATION_KEY: &str = "configuration";

/// Holds the newest accepted configuration text, for peers that request it.
#[derive(Debug)]
pub struct RevisionStore {
    state: Mutex<RevisionState>,
}

#[derive(Debug)]
struct RevisionState {
    table: RevisionTable,
    newest: Option<(AcceptedText, Arc<FleetTable>)>,
    /// Channels of the tasks that forward changes to peers.
    listeners: Vec<async_channel::Sender<()>>,
}

/// Validated configuration text.
#[derive(Clone, Debug)]
pub struct AcceptedText {
    pub revision: u64,
    pub text: Arc<str>,
}

impl From<AcceptedText> for PeerRevision {
    fn from(accepted: AcceptedText) -> Self {
        Self { revision: accepted.revision, text: accepted.text.to_string() }
    }
}

impl RevisionStore {
    /// Creates the store of a starting daemon with the given peers.
    pub fn new(peers: &[String]) -> Self {
        let table = RevisionTable::new(peers.iter().map(SmolStr::new));
        let state = RevisionState { table, newest: None, listeners: Vec::new() };
        Self { state: Mutex::new(state) }
    }

    /// Returns the newest accepted text.
    pub fn newest(&self) -> Option<AcceptedText> {
        self.state.lock().newest.as_ref().map(|(accepted, _)| accepted.clone())
    }

    /// Returns the newest accepted revision, or 0.
    pub fn revision(&self) -> u64 {
        self.state.lock().table.newest()
    }

    /// Returns a receiver that gets a message after each accepted revision.
    pub fn subscribe(&self) -> async_channel::Receiver<()> {
        let (sender, receiver) = async_channel::bounded(1);
        let mut state = self.state.lock();
        state.listeners.retain(|listener| !listener.is_closed());
        state.listeners.push(sender);
        receiver
    }

    /// Accepts a text if it is valid and its revision is higher.
    pub async fn offer(&self, context: &DaemonContext, revision: u64, text: &str) {
        let newest = self.revision();
        if revision < newest {
            tracing::warn!(
                revision,
                newest,
                "configuration refused: its revision is lower than the newest one"
            );
        }
        if revision <= newest {
            return;
        }
        let fleet = match fleet::build(revision, text) {
            Ok(fleet) => Arc::new(fleet),
            Err(faults) => {
                tracing::error!(revision, %faults, "configuration isn't valid and is ignored");
                return;
            }
        };
        self.accept(AcceptedText { revision, text: text.into() }, fleet);
        self.apply(context).await;
    }

    fn accept(&self, accepted: AcceptedText, fleet: Arc<FleetTable>) {
        let mut state = self.state.lock();
        if state.table.offer(accepted.revision) != RevisionVerdict::Accepted {
            return;
        }
        state.newest = Some((accepted, fleet));
        for listener in &state.listeners {
            let _ = listener.try_send(());
        }
    }

    /// Returns whether this daemon still waits for peers.
    pub fn is_starting(&self) -> bool {
        self.state.lock().table.is_starting()
    }

    /// Records that a peer has offered its revision.
    pub async fn peer_answered(&self, context: &DaemonContext, address: &str) {
        self.state.lock().table.peer_answered(address);
        self.apply(context).await;
    }

    /// Applies the newest revision if it is due.
    async fn apply(&self, context: &DaemonContext) {
        let due = {
            let mut state = self.state.lock();
            let due = state.table.next_to_apply();
            due.and_then(|_| state.newest.as_ref().map(|(_, fleet)| Arc::clone(fleet)))
        };
        if let Some(fleet) = due {
            let _ = context.events.send(ControlEvent::Configuration(fleet)).await;
        }
    }
}

/// Limits the wait for peers at startup. At its end applies the newest revision.
pub async fn finish_startup(context: Arc<DaemonContext>, store: Arc<RevisionStore>) {
    while store.is_starting() {
        context.clock.sleep(STARTUP_TICK).await;
        store.state.lock().table.tick();
    }
    store.apply(&context).await;
}

async fn offer_record(context: &DaemonContext, store: &RevisionStore, record: &KvRecord) {
    match serde_json::from_str::<ConfigurationEdit>(&record.value) {
        Ok(edit) => store.offer(context, record.revision, &edit.text).await,
        Err(error) => {
            let revision = record.revision;
            tracing::error!(revision, %error, "configuration record can't be read");
        }
    }
}

/// Watches the platform for new revisions, in an endless loop, while this daemon is
/// selected for it.
pub async fn watch_platform(
    context: Arc<DaemonContext>,
    store: Arc<RevisionStore>,
    table: Arc<PeerTable>,
) {
    let mut watched = false;
    loop {
        let watches = is_watcher(&context, &table);
        if watches != std::mem::replace(&mut watched, watches) {
            tracing::info!(watches, "selection of this daemon as configuration watcher changed");
        }
        if !watches {
            context.clock.sleep(WATCH_RETRY_DELAY).await;
            continue;
        }
        if let Err(error) = watch_once(&context, &store).await {
            tracing::warn!(%error, "can't watch the configuration on the platform");
            context.clock.sleep(WATCH_RETRY_DELAY).await;
        }
    }
}

fn is_watcher(context: &DaemonContext, table: &PeerTable) -> bool {
    let live = table.live_peers(context.clock.now());
    let domain = &context.settings.failure_domain;
    let peers = live.iter().filter(|peer| peer.failure_domain == *domain);
    let own = WatchCandidate {
        name: &context.settings.name,
        platform_reachable: context.is_platform_reachable(),
    };
    let peers = peers.map(|peer| WatchCandidate {
        name: &peer.daemon,
        platform_reachable: peer.platform_reachable,
    });
    revisions::should_watch(own, peers)
}

async fn watch_once(context: &DaemonContext, store: &RevisionStore) -> Result<(), PlatformError> {
    let after = store.revision();
    let watched = context.platform.watch(CONFIGURATION_KEY, after, WATCH_POLL_TIMEOUT).await?;
    let Some(record) = watched else {
        return check_platform(context, after).await;
    };
    offer_record(context, store, &record).await;
    if store.revision() < record.revision {
        // The watch would return an invalid text again immediately.
        context.clock.sleep(WATCH_RETRY_DELAY).await;
    }
    Ok(())
}

/// Checks whether the platform has lost an accepted revision. A watch for higher
/// revisions doesn't report that.
async fn check_platform(context: &DaemonContext, accepted: u64) -> Result<(), PlatformError> {
    let found = context.platform.get(CONFIGURATION_KEY).await?;
    let recorded = found.map_or(0, |record| record.revision);
    if recorded < accepted {
        tracing::error!(
            recorded,
            accepted,
            "platform offers a lower configuration revision, which is refused"
        );
    }
    Ok(())
}
