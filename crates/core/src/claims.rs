//! Claims on requests that run at most once.
//!
//! A claim is recorded before the first byte goes to a backend server. Who
//! holds the claim sends the request once; everybody else gets the kept
//! answer, waits, or learns that the outcome isn't known.

use smol_str::SmolStr;

/// Names a call that runs at most once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    pub service: SmolStr,
    pub account: SmolStr,
    /// Value of the caller's `Idempotency-Key` header.
    pub key: SmolStr,
}

/// Keeps the answer of a call that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    pub status: u16,
    pub content_type: SmolStr,
    pub body: Vec<u8>,
}

/// Says what is known of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// The holder may have sent the call.
    Running { holder: SmolStr },
    /// The call has run and its answer is kept.
    Done(KeptAnswer),
    /// The call may have run; its answer is lost.
    Lost,
    /// The call has provably not run and may be claimed again.
    Released,
}

/// Says what to do with a call whose claim was looked up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The asker holds the claim and sends the call, once.
    Send,
    /// The kept answer is given.
    Answer(KeptAnswer),
    /// Another holder runs the call.
    Wait,
    /// The outcome can't be known any more.
    Unknown,
}

/// Judges a claim that the asker found instead of creating its own.
pub fn judge(state: &ClaimState, asker: &str) -> ClaimVerdict {
    match state {
        ClaimState::Running { holder } if holder == asker => ClaimVerdict::Send,
        ClaimState::Running { .. } => ClaimVerdict::Wait,
        ClaimState::Done(answer) => ClaimVerdict::Answer(answer.clone()),
        ClaimState::Lost => ClaimVerdict::Unknown,
        ClaimState::Released => ClaimVerdict::Wait,
    }
}
