//! Reads, compares and writes the recorded configuration text.

use anyhow::Context;
use gooseberry_edges::{
    clock::Clock,
    http::HttpClient,
    platform::{PlatformApi, PlatformClient, PutOutcome},
};
use gooseberry_wire::{
    edit::ConfigurationEdit,
    platform::{KvPut, KvRecord},
};
use similar::TextDiff;

use crate::{arguments::Target, exit::CommandError, history::EditHistory};

/// Key of the configuration in the key-value service.
const CONFIGURATION_KEY: &str = "configuration";

/// Holds the recorded text with its revision.
#[derive(Clone, Debug)]
pub struct RecordedText {
    pub revision: u64,
    pub edit: ConfigurationEdit,
}

/// Reads and writes the recorded configuration.
pub struct ConfigurationStore {
    platform: PlatformClient,
    clock: Clock,
}

impl ConfigurationStore {
    /// Returns the store on the platform that the arguments name.
    ///
    /// # Errors
    ///
    /// Returns an error if the arguments name no platform.
    pub fn new(target: &Target) -> anyhow::Result<Self> {
        let address = target.platform.as_deref();
        let address = address.context("no platform is given; name it with --platform ADDRESS")?;
        let clock = Clock::system();
        let http = HttpClient::new(clock.clone());
        let platform = PlatformClient::new(http, address, target.platform_secret.as_deref());
        Ok(Self { platform, clock })
    }

    /// Reads the recorded text, if there is one.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform doesn't respond or the record can't be read.
    pub async fn get(&self) -> anyhow::Result<Option<RecordedText>> {
        self.platform.get(CONFIGURATION_KEY).await?.map(parse).transpose()
    }

    /// Returns the history of accepted edits.
    pub fn history(&self) -> EditHistory<'_> {
        EditHistory::new(&self.platform)
    }

    /// Records a text if the recorded revision is still the base, and returns
    /// its revision.
    ///
    /// If the response of the platform is lost, the write may have succeeded or
    /// not. The record is then read back and compared by the edit's identifier.
    /// If the next edit has already replaced it, the edit is looked up in the
    /// history.
    ///
    /// # Errors
    ///
    /// Returns the difference from the recorded text if another operator has
    /// recorded an edit in the meantime, or an error if the platform doesn't
    /// respond.
    pub async fn put(&self, base: u64, author: &str, text: &str) -> Result<u64, CommandError> {
        let replaced = self.get().await.context("nothing was recorded")?;
        if replaced.as_ref().map_or(0, |recorded| recorded.revision) != base {
            return Err(conflict(replaced, text));
        }
        if let Some(replaced) = &replaced {
            // An edit must be in the history before it is replaced.
            self.history().record(replaced).await.context("nothing was recorded")?;
        }
        let edit = self.edit(replaced.as_ref(), author, text);
        let value = serde_json::to_string(&edit).context("the edit can't be written as JSON")?;
        let put = KvPut { value, expected: Some(base), lease: None };
        let found = match self.platform.put(CONFIGURATION_KEY, &put).await {
            Ok(PutOutcome::Written(revision)) => {
                Some(RecordedText { revision, edit: edit.clone() })
            }
            Ok(PutOutcome::Conflict(found)) => found.map(parse).transpose()?,
            Err(error) if error.has_no_effect() => {
                return Err(anyhow::Error::from(error).context("nothing was recorded").into());
            }
            Err(_) => self.get().await.context("it isn't known whether the text was recorded")?,
        };
        self.check_accepted(found, &edit).await
    }

    fn edit(&self, base: Option<&RecordedText>, author: &str, text: &str) -> ConfigurationEdit {
        let base_text = base.map_or("", |base| base.edit.text.as_str());
        ConfigurationEdit {
            edit: format!("{:032x}", rand::random::<u128>()),
            author: author.to_owned(),
            made_at_ms: self.clock.now().as_millis(),
            base: base.map_or(0, |base| base.revision),
            text: text.to_owned(),
            sequence: base.map_or(0, |base| base.edit.sequence + 1),
            difference: difference(base_text, text),
        }
    }

    /// Returns the revision of an edit if the current record or the history
    /// shows that it was accepted.
    async fn check_accepted(
        &self,
        found: Option<RecordedText>,
        edit: &ConfigurationEdit,
    ) -> Result<u64, CommandError> {
        match found {
            Some(recorded) if recorded.edit.edit == edit.edit => {
                if let Err(error) = self.history().record(&recorded).await {
                    eprintln!(
                        "the text is recorded, but writing it to the history failed; \
                         the next edit will add it: {error:#}"
                    );
                }
                Ok(recorded.revision)
            }
            found => {
                let stored = self.history().find(edit.sequence).await;
                let stored = stored.context("it isn't known whether the text was recorded")?;
                match stored.filter(|stored| stored.edit == edit.edit) {
                    Some(stored) => Ok(stored.revision),
                    None => Err(conflict(found, &edit.text)),
                }
            }
        }
    }
}

fn conflict(found: Option<RecordedText>, text: &str) -> CommandError {
    match found {
        Some(recorded) => CommandError::Conflict {
            revision: recorded.revision,
            difference: difference(&recorded.edit.text, text),
        },
        None => anyhow::anyhow!(
            "no configuration is recorded; record the first one with `put --base 0`"
        )
        .into(),
    }
}

fn parse(record: KvRecord) -> anyhow::Result<RecordedText> {
    let edit =
        serde_json::from_str(&record.value).context("can't parse the recorded configuration")?;
    Ok(RecordedText { revision: record.revision, edit })
}

/// Returns the unified diff between two texts.
pub fn difference(from: &str, to: &str) -> String {
    TextDiff::from_lines(from, to).unified_diff().header("recorded", "file").to_string()
}
