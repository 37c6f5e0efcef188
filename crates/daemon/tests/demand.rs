//! Demand, summed by the leader over the daemons of its failure domain.

use std::time::Duration;

use gooseberry_core::{
    fleet::{FleetTable, ModelRow},
    time::Timestamp,
};
use gooseberry_daemon::demand::{DemandMeter, DemandRates};
use gooseberry_wire::{engine::CompletionRequest, peer::PeerHello};

fn request(prompt_tokens: usize, max_tokens: u32) -> CompletionRequest {
    serde_json::from_value(serde_json::json!({
        "model": "sample", "prompt": "word ".repeat(prompt_tokens), "max_tokens": max_tokens,
    }))
    .expect("a valid request")
}

fn hello(daemon: &str, incarnation: u64, meter: &DemandMeter) -> PeerHello {
    PeerHello {
        platform_reachable: true,
        daemon: daemon.to_owned(),
        failure_domain: "domain-0".to_owned(),
        incarnation,
        revision: 1,
        steward: None,
        draining: Vec::new(),
        drained: Vec::new(),
        demand: meter.rows(),
    }
}

#[test]
fn rates_are_summed_over_daemons_and_a_restart_adds_no_demand() {
    let mut fleet = FleetTable::default();
    let model = ModelRow { name: "sample".into(), versions: Vec::new(), adapters: Vec::new() };
    fleet.models.push(model);
    let meters = [DemandMeter::default(), DemandMeter::default()];
    let mut rates = DemandRates::default();
    let start = Timestamp::from_millis(1_000_000);
    for second in 0..=4 {
        let now = start + Duration::from_secs(second);
        rates.observe(&hello("a", 1, &meters[0]), now);
        rates.observe(&hello("b", 1, &meters[1]), now);
        meters[0].count(&request(100, 10));
        meters[1].count(&request(20, 50));
    }
    let now = start + Duration::from_secs(4);
    let demand = rates.demand(&fleet, now)[0];
    let sums = (demand.prompt_tokens_per_second, demand.output_tokens_per_second);
    assert!((sums.0 - 120.0).abs() < 1.0 && (sums.1 - 60.0).abs() < 1.0, "{sums:?}");
    // The counts of a restarted daemon start from zero.
    let restarted = DemandMeter::default();
    restarted.count(&request(5, 5));
    rates.observe(&hello("a", 2, &restarted), now);
    let demand = rates.demand(&fleet, now)[0];
    assert!((demand.prompt_tokens_per_second - 120.0).abs() < 1.0, "{demand:?}");
    let demand = rates.demand(&fleet, now + Duration::from_secs(20))[0];
    assert_eq!(demand.prompt_tokens_per_second, 0.0);
}
