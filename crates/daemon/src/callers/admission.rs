//! Admission control for completions, before anything is sent to an engine.

use gooseberry_core::{
    admission::{self, AdmissionEstimate, AdmissionRequest},
    refusal::RequestRefusal,
};
use gooseberry_wire::engine::CompletionRequest;

use crate::callers::{attempts::CompletionRun, request::AcceptedRequest};

/// Sets the scheduling priority at the engine. It is derived from the configuration;
/// callers can't choose it.
pub fn set_priority(accepted: &AcceptedRequest, engine_request: &mut CompletionRequest) {
    let priority = admission_request(accepted, 0, 0).priority();
    engine_request.priority = admission::engine_priority(priority);
}

/// Admits a completion, or refuses it at once with the time after which to retry.
///
/// A request for which no engine can be chosen is admitted; it is refused when it is run.
///
/// # Errors
///
/// Returns the refusal. Nothing has been sent.
pub fn admit(accepted: &AcceptedRequest, run: &mut CompletionRun) -> Result<(), RequestRefusal> {
    let Some(decision) = run.plan() else { return Ok(()) };
    let objective = accepted.snapshot.fleet.objectives.first_token;
    let estimate = AdmissionEstimate::new(&decision, objective);
    let request = admission_request(accepted, run.prompt_tokens(), run.output_tokens());
    let context = &accepted.context;
    let admitted = context.routing.admit(&request, &estimate, context.clock.now());
    let guard = admitted.inspect_err(|refusal| {
        let reason: &'static str = (&refusal.reason).into();
        tracing::info!(
            account = %request.account,
            reason,
            queue_ms = estimate.queue.as_millis() as u64,
            finish_ms = estimate.finish.as_millis() as u64,
            "request refused by admission control"
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
