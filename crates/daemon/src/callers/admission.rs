//! Whether a completion is let in, before anything is sent for it.

use gooseberry_core::{
    admission::{self, AdmissionEstimate, AdmissionRequest},
    refusal::RequestRefusal,
};
use gooseberry_wire::engine::CompletionRequest;

use crate::callers::{attempts::CompletionRun, request::AcceptedRequest};

/// Sets the priority towards the engines, which is never the caller's to name.
pub fn set_priority(accepted: &AcceptedRequest, wanted: &mut CompletionRequest) {
    let priority = admission_request(accepted, 0, 0).priority();
    wanted.priority = admission::engine_priority(priority);
}

/// Lets a completion in, or refuses it at once with the time to come back.
///
/// Without a candidate there is nothing to weigh; the run then says so.
///
/// # Errors
///
/// Returns the refusal; nothing has been sent.
pub fn admit(accepted: &AcceptedRequest, run: &mut CompletionRun) -> Result<(), RequestRefusal> {
    let Some(decision) = run.plan() else { return Ok(()) };
    let objective = accepted.snapshot.fleet.objectives.first_token;
    let offer = AdmissionEstimate::new(&decision, objective);
    let request = admission_request(accepted, run.prompt_tokens(), run.output_tokens());
    let context = &accepted.context;
    let admitted = context.routing.admit(&request, &offer, context.clock.now());
    let guard = admitted.inspect_err(|refusal| {
        let reason: &'static str = (&refusal.reason).into();
        tracing::info!(
            account = %request.account,
            reason,
            queue_ms = offer.queue.as_millis() as u64,
            finish_ms = offer.finish.as_millis() as u64,
            "refused"
        );
        context.metrics.refused(reason);
    })?;
    run.set_admission(guard);
    Ok(())
}

fn admission_request(
    accepted: &AcceptedRequest,
    prompt_tokens: u32,
    output_tokens: u32,
) -> AdmissionRequest {
    let account = &accepted.snapshot.fleet.accounts[accepted.account];
    AdmissionRequest {
        account: account.name.clone(),
        priority: account.priority,
        batch: accepted.snapshot.fleet.services[accepted.service].batch,
        prompt_tokens,
        output_tokens,
        time_left: accepted.time_left(),
    }
}
