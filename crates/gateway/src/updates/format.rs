//! Encodes and decodes the datagrams between daemons.
//!
//! Daemons of two builds run side by side while daemons are replaced one after the other. So a
//! datagram names its format, and a daemon writes the newest one that its receiver has said it
//! reads. The first format has no frame; builds that know only that one reject frames as a whole.
//! Within a format, variants of [`SendUpdate`] are only appended and their fields never change:
//! postcard can't tell that a field is missing. Each update of a frame has its length before it, so
//! that one that this build doesn't know is skipped alone, and relays pass it on as it is. That holds
//! for questions as well, so a new question reaches all daemons through relays of an older build.

use serde::{Deserialize, Serialize};
use strum::EnumCount;

use crate::updates::{SendUpdate, UpdateBundle, UpdateDatagram};

/// First bytes of a frame. In the first format they begin a datagram without a sender's name and
/// with more bundles than fit into one, so it never decodes.
const FRAME_START: [u8; 4] = [0x00, 0xFF, 0xFF, 0x7F];
/// Number of variants of [`SendUpdate`] in the first format.
const UNFRAMED_VARIANTS: usize = 16;

/// A format of datagrams. A build reads all formats up to [`Self::NEWEST`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum DatagramFormat {
    /// A bare [`postcard`] value.
    Unframed,
    /// A frame with a version, and the length of each update before it.
    Framed,
}

impl DatagramFormat {
    /// The newest format that this build reads and writes.
    pub const NEWEST: Self = Self::Framed;

    /// Returns the newest known format up to a number.
    pub fn up_to(number: u8) -> Self {
        match number {
            0 | 1 => Self::Unframed,
            2.. => Self::Framed,
        }
    }

    /// Returns the number that names this format.
    pub fn number(self) -> u8 {
        match self {
            Self::Unframed => 1,
            Self::Framed => 2,
        }
    }
}

/// Why a datagram can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum FormatError {
    #[error("datagram has format {0}, and this build reads formats up to {newest}", newest = DatagramFormat::NEWEST.number())]
    Unknown(u8),
    #[error("datagram ends within its frame")]
    Truncated,
    #[error(transparent)]
    Malformed(#[from] postcard::Error),
}

/// A decoded datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedDatagram {
    pub datagram: UpdateDatagram,
    /// Number of the newest format that the sender reads, if it says so.
    pub reads: Option<u8>,
    /// Number of updates that this build doesn't know or can't decode.
    pub skipped: usize,
}

#[derive(Serialize, Deserialize)]
struct UnframedDatagram {
    sender: String,
    bundles: Vec<UnframedBundle>,
}

#[derive(Serialize, Deserialize)]
struct UnframedBundle {
    daemon: u64,
    name: String,
    updates: Vec<SendUpdate>,
}

#[derive(Serialize, Deserialize)]
struct FramedDatagram {
    sender: String,
    bundles: Vec<FramedBundle>,
}

#[derive(Serialize, Deserialize)]
struct FramedBundle {
    daemon: u64,
    name: String,
    updates: Vec<Vec<u8>>,
}

/// Encodes a datagram. Updates that the format doesn't have are left out.
///
/// # Errors
///
/// Returns an error if a value can't be encoded.
pub fn encode(datagram: &UpdateDatagram, format: DatagramFormat) -> Result<Vec<u8>, FormatError> {
    match format {
        DatagramFormat::Unframed => Ok(postcard::to_stdvec(&unframed(datagram)?)?),
        DatagramFormat::Framed => {
            let mut frame = FRAME_START.to_vec();
            frame.extend([format.number(), DatagramFormat::NEWEST.number()]);
            Ok(postcard::to_extend(&framed(datagram)?, frame)?)
        }
    }
}

/// Decodes a datagram of any known format.
///
/// # Errors
///
/// Returns an error if the format isn't known or the datagram is truncated or malformed. Then none of
/// its updates may be applied.
pub fn decode(bytes: &[u8]) -> Result<ReceivedDatagram, FormatError> {
    let Some(frame) = bytes.strip_prefix(&FRAME_START) else {
        let UnframedDatagram { sender, bundles } = postcard::from_bytes(bytes)?;
        let bundle = |UnframedBundle { daemon, name, updates }| UpdateBundle {
            daemon,
            name,
            updates,
            unknown: Vec::new(),
        };
        let datagram =
            UpdateDatagram { sender, bundles: bundles.into_iter().map(bundle).collect() };
        return Ok(ReceivedDatagram { datagram, reads: None, skipped: 0 });
    };
    let [format, reads, body @ ..] = frame else {
        return Err(FormatError::Truncated);
    };
    if *format != DatagramFormat::Framed.number() {
        return Err(FormatError::Unknown(*format));
    }
    let (FramedDatagram { sender, bundles }, _) = postcard::take_from_bytes(body)?;
    let mut skipped = 0;
    let bundles = bundles.into_iter().map(|bundle| decode_bundle(bundle, &mut skipped)).collect();
    let datagram = UpdateDatagram { sender, bundles };
    Ok(ReceivedDatagram { datagram, reads: Some(*reads), skipped })
}

fn unframed(datagram: &UpdateDatagram) -> Result<UnframedDatagram, FormatError> {
    let bundles = datagram.bundles.iter().map(|bundle| {
        let mut updates = Vec::with_capacity(bundle.updates.len());
        for update in &bundle.updates {
            if variant(&postcard::to_stdvec(update)?) < UNFRAMED_VARIANTS {
                updates.push(update.clone());
            }
        }
        Ok(UnframedBundle { daemon: bundle.daemon, name: bundle.name.clone(), updates })
    });
    let bundles = bundles.collect::<Result<_, FormatError>>()?;
    Ok(UnframedDatagram { sender: datagram.sender.clone(), bundles })
}

fn framed(datagram: &UpdateDatagram) -> Result<FramedDatagram, FormatError> {
    let bundles = datagram.bundles.iter().map(|bundle| {
        let known = bundle.updates.iter().map(postcard::to_stdvec);
        let mut updates = known.collect::<Result<Vec<_>, _>>()?;
        updates.extend(bundle.unknown.iter().cloned());
        Ok(FramedBundle { daemon: bundle.daemon, name: bundle.name.clone(), updates })
    });
    let bundles = bundles.collect::<Result<_, FormatError>>()?;
    Ok(FramedDatagram { sender: datagram.sender.clone(), bundles })
}

fn decode_bundle(bundle: FramedBundle, skipped: &mut usize) -> UpdateBundle {
    let FramedBundle { daemon, name, updates: encoded_updates } = bundle;
    let (mut updates, mut unknown) = (Vec::new(), Vec::new());
    for encoded in encoded_updates {
        match postcard::from_bytes(&encoded) {
            Ok(update) => updates.push(update),
            Err(_) => {
                *skipped += 1;
                if variant(&encoded) >= SendUpdate::COUNT {
                    unknown.push(encoded);
                }
            }
        }
    }
    UpdateBundle { daemon, name, updates, unknown }
}

/// Returns the index of the variant that an encoded update has.
fn variant(encoded: &[u8]) -> usize {
    postcard::from_bytes::<u32>(encoded).map_or(usize::MAX, |variant| variant as usize)
}
