//! Connects the fair shares of client accounts with requests and with the updates of other daemons.

use std::{collections::HashSet, time::Duration};

use gooseberry_core::{
    serving::{
        admission::{self, AdmissionDecision, AdmissionRequest},
        placement::Placement,
        relays::RelayPlan,
        shares::{
            AccountHash, AccountRow, ServiceHash, ShareRequest, ShareTable, WorkReport, WorkScope,
        },
    },
    time::Timestamp,
};
use parking_lot::Mutex;

use crate::{
    call::{Call, CallRoute},
    gateway::Gateway,
    peers::UpdateTarget,
    state::GatewayState,
    updates::{SendUpdate, WorkRecord},
};

/// Returns how a request counts against the share of its account, or none if the configuration has
/// no accounts.
pub fn share_request(
    call: &Call,
    route: &CallRoute,
    placement: &Placement,
    is_first: bool,
) -> Option<ShareRequest> {
    if call.account.is_none() && route.configuration.accounts.is_empty() {
        return None;
    }
    let service = ServiceHash::of_service(&route.service);
    let account = match &call.account {
        Some(account) => AccountHash::of_account(service, &account.name),
        None => AccountHash::of_route(service, &route.row.name),
    };
    Some(ShareRequest {
        service,
        account,
        priority: call.priority(route),
        prefill_tokens: placement.prefill_tokens,
        request_hash: call.id_hash(),
        is_first,
    })
}

/// Records whether a request was sent or refused.
pub fn record_decision(
    gateway: &Gateway,
    state: &mut GatewayState,
    request: Option<&ShareRequest>,
    admission: &AdmissionRequest,
    placement: &Placement,
    decision: AdmissionDecision,
) {
    let Some(request) = request else {
        return;
    };
    let now = gateway.now();
    match decision {
        AdmissionDecision::Send => {
            state.shares.record_send(request, admission::is_late(admission, placement), now);
        }
        AdmissionDecision::Refuse { .. } => {
            if admission::is_queue_refusal(admission, placement) {
                state.shares.record_refusal(request, now);
            }
            if let Some(contention) = admission.contention {
                let standing = contention.standing.to_string();
                gateway.metrics.share_refusals.with_label_values(&[&standing]).inc();
            }
        }
    }
}

/// Returns the records of the accounts' work for other daemons, with their receivers, and removes
/// expired counts.
///
/// A member of a failure domain with a relay tells the relay its own counts. The relay tells other
/// relays the sums of its domain, and its members the sums of all daemons.
pub fn records(
    state: &Mutex<GatewayState>,
    plan: &RelayPlan<UpdateTarget>,
    now: Timestamp,
) -> Vec<(Vec<SendUpdate>, Vec<UpdateTarget>)> {
    let mut state = state.lock();
    state.shares.remove_expired(now);
    let configuration = state.configuration.as_ref();
    if configuration.is_none_or(|configuration| configuration.accounts.is_empty()) {
        return Vec::new();
    }
    let is_relay = !plan.member_update_targets.is_empty();
    let targets = if is_relay {
        let members: HashSet<_> =
            plan.remote_update_targets.iter().map(|target| target.address).collect();
        let is_other_relay = |target: &&UpdateTarget| !members.contains(&target.address);
        let relays = plan.member_update_targets.iter().filter(is_other_relay).copied().collect();
        vec![(WorkScope::Domain, relays), (WorkScope::Fleet, plan.remote_update_targets.clone())]
    } else {
        vec![(WorkScope::Daemon, plan.own_update_targets.clone())]
    };
    let records = targets.into_iter().filter(|(_, targets)| !targets.is_empty());
    let records = records.map(|(scope, targets)| {
        let reports = state.shares.reports(scope, now);
        let update = |(service, report)| SendUpdate::AccountWork(record(service, scope, &report));
        (reports.into_iter().map(update).collect::<Vec<_>>(), targets)
    });
    records.filter(|(updates, _)| !updates.is_empty()).collect()
}

/// Applies a record of another daemon. One whose scope this build doesn't know is ignored.
pub fn apply_record(shares: &mut ShareTable, daemon: u64, record: &WorkRecord, now: Timestamp) {
    let Some(scope) = WorkScope::from_repr(record.scope) else {
        return;
    };
    let row = |(account, served, offered): &(u64, u32, u32)| AccountRow {
        account: AccountHash(*account),
        served: f64::from(*served),
        offered: f64::from(*offered),
    };
    let report = WorkReport {
        rows: record.rows.iter().map(row).collect(),
        rest_served: f64::from(record.rest_served),
        rest_offered: f64::from(record.rest_offered),
        rest_accounts: record.rest_accounts,
        contention_age: record.contention_age_ms.map(|age| Duration::from_millis(u64::from(age))),
    };
    shares.record_report(daemon, ServiceHash(record.service), scope, report, now);
}

fn record(service: ServiceHash, scope: WorkScope, report: &WorkReport) -> WorkRecord {
    let row = |row: &AccountRow| (row.account.0, row.served as u32, row.offered as u32);
    WorkRecord {
        service: service.0,
        scope: scope as u8,
        rows: report.rows.iter().map(row).collect(),
        rest_served: report.rest_served as u32,
        rest_offered: report.rest_offered as u32,
        rest_accounts: report.rest_accounts,
        contention_age_ms: report.contention_age.map(|age| age.as_millis() as u32),
    }
}
