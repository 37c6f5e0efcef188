//! Configuration revisions, from the platform and from peers.
//!
//! Revisions only grow: whoever offers one, a lower revision is never applied.

use std::{sync::Arc, time::Duration};

use gooseberry_config::fleet;
use gooseberry_edges::platform::PlatformEdge;
use gooseberry_wire::{edit::ConfigurationEdit, platform::KvRecord};
use parking_lot::Mutex;

use crate::{context::DaemonContext, control::ControlEvent};

/// Key of the configuration text in the key-value service.
pub const CONFIGURATION_KEY: &str = "configuration";
/// Time for which one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// Pause after a failed watch.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Holds the newest accepted text, for peers that ask.
#[derive(Debug, Default)]
pub struct RevisionStore {
    newest: Mutex<Option<AcceptedText>>,
}

/// Holds a text that was checked.
#[derive(Clone, Debug)]
pub struct AcceptedText {
    pub revision: u64,
    pub text: Arc<str>,
}

impl RevisionStore {
    /// Returns the newest accepted text.
    pub fn newest(&self) -> Option<AcceptedText> {
        self.newest.lock().clone()
    }

    /// Returns the newest accepted revision, or 0.
    pub fn revision(&self) -> u64 {
        self.newest.lock().as_ref().map_or(0, |accepted| accepted.revision)
    }

    /// Takes a text if it is valid and its revision is higher.
    pub async fn offer(&self, context: &DaemonContext, revision: u64, text: &str) {
        if revision <= self.revision() {
            return;
        }
        let fleet = match fleet::build(revision, text) {
            Ok(fleet) => fleet,
            Err(faults) => {
                tracing::error!(revision, %faults, "the configuration isn't valid and is ignored");
                return;
            }
        };
        {
            let mut newest = self.newest.lock();
            if newest.as_ref().is_some_and(|accepted| accepted.revision >= revision) {
                return;
            }
            *newest = Some(AcceptedText { revision, text: text.into() });
        }
        let _ = context.events.send(ControlEvent::Fleet(Arc::new(fleet))).await;
    }
}

async fn offer_record(context: &DaemonContext, store: &RevisionStore, record: &KvRecord) {
    match serde_json::from_str::<ConfigurationEdit>(&record.value) {
        Ok(edit) => store.offer(context, record.revision, &edit.text).await,
        Err(error) => {
            let revision = record.revision;
            tracing::error!(revision, %error, "the configuration's record can't be read");
        }
    }
}

/// Waits on the platform for new revisions for ever.
pub async fn watch_platform(
    context: Arc<DaemonContext>,
    platform: Arc<dyn PlatformEdge>,
    store: Arc<RevisionStore>,
) {
    loop {
        let after = store.revision();
        match platform.watch(CONFIGURATION_KEY, after, WATCH_WAIT).await {
            Ok(Some(record)) => {
                offer_record(&context, &store, &record).await;
                if store.revision() < record.revision {
                    // An invalid text would be handed out again at once.
                    context.clock.sleep(RETRY_PAUSE).await;
                }
            }
            Ok(None) => {}
            Err(error) => {
                tracing::warn!(%error, "can't watch the configuration");
                context.clock.sleep(RETRY_PAUSE).await;
            }
        }
    }
}
