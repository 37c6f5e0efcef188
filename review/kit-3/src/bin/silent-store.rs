//! An engine starts again under its id with a newer version of its software just after the store has
//! fallen silent. Streams that begin there are taken up again while the store is still silent.

use std::{
    process::exit,
    thread,
    time::{Duration, Instant},
};

use gooseberry_review_kit_3::{
    load,
    record::Record,
    setup::{self, CaseArguments, Deployment},
};

/// Streams a second.
const STREAMS_PER_S: f64 = 30.0;
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Time of the outage in seconds, as in the site file.
const OUTAGE: f64 = 4.5;
/// Time at which the store falls silent.
const SILENT_AT: f64 = 5.0;

fn main() {
    let arguments = CaseArguments::read();
    let record = Record::default();
    let outcome = run(&arguments, &record);
    record.write(&arguments.folder.join("record.txt"));
    exit(outcome);
}

fn run(arguments: &CaseArguments, record: &Record) -> i32 {
    let gap = Duration::from_millis(50);
    let Some(deployment) = Deployment::start(arguments, record, 4, 64, 50, gap) else {
        record.say("a daemon isn't ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let times = load::steady(0.0, 12.0, STREAMS_PER_S);
    let callers = load::start(0, 66, times, started, deployment.frontends(), record);
    let engine = deployment.engine("i-10").clone();
    setup::wait_until(started, SILENT_AT - 0.3);
    engine.crash();
    setup::wait_until(started, SILENT_AT);
    if arguments.has_trouble {
        deployment.set_store_silent(true);
    }
    setup::wait_until(started, SILENT_AT + 0.05);
    engine.restart("v2");
    setup::wait_until(started, SILENT_AT + 1.9);
    engine.crash();
    setup::wait_until(started, SILENT_AT + 2.2);
    engine.restart("v2");
    setup::wait_until(started, SILENT_AT + OUTAGE);
    if arguments.has_trouble {
        deployment.set_store_silent(false);
    }
    let Ok(counts) = callers.join() else { return 2 };
    let (begun, mixed) = (counts.begun, counts.mixed);
    record.say(format!(
        "{begun} streams begun, {mixed} have events of two versions, {ALLOWED} allowed"
    ));
    if begun < 100 {
        return 2;
    }
    i32::from(mixed > ALLOWED)
}
