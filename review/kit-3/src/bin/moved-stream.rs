//! While the store is silent, streams move from engines that are full to one that has started again under
//! its id with a newer version of its software. They are taken up again when that one ends. This happens
//! three times.

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

/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Time of an outage in seconds, as in the site file.
const OUTAGE: f64 = 4.5;
/// Times at which the store falls silent.
const SILENT_AT: [f64; 3] = [4.0, 16.0, 28.0];
/// Requests that an engine runs at once.
const SLOTS: usize = 16;

fn main() {
    let arguments = CaseArguments::read();
    let record = Record::default();
    let outcome = run(&arguments, &record);
    record.write(&arguments.folder.join("record.txt"));
    exit(outcome);
}

fn run(arguments: &CaseArguments, record: &Record) -> i32 {
    let gap = Duration::from_millis(50);
    let Some(deployment) = Deployment::start(arguments, record, 4, SLOTS, 0, gap) else {
        record.say("a daemon isn't ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    // Calm traffic, and many callers at once for less than a second.
    let mut times = load::steady(0.0, 38.0, 6.0);
    for silent_at in SILENT_AT {
        times.extend(load::steady(silent_at + 3.4, silent_at + 4.2, 64.0));
    }
    times.sort_by(f64::total_cmp);
    let callers = load::start(0, 7, times, started, deployment.frontends(), record);
    let engine = deployment.engine("i-10").clone();
    for (silent_at, software) in SILENT_AT.into_iter().zip(["v2", "v3", "v4"]) {
        setup::wait_until(started, silent_at);
        if arguments.has_trouble {
            deployment.set_store_silent(true);
        }
        setup::wait_until(started, silent_at + 2.3);
        engine.crash();
        setup::wait_until(started, silent_at + 2.5);
        engine.restart(software);
        setup::wait_until(started, silent_at + OUTAGE);
        if arguments.has_trouble {
            deployment.set_store_silent(false);
        }
        setup::wait_until(started, silent_at + 5.5);
        engine.crash();
        setup::wait_until(started, silent_at + 5.8);
        engine.restart(software);
    }
    let Ok(counts) = callers.join() else { return 2 };
    let (begun, mixed) = (counts.begun, counts.mixed);
    record.say(format!(
        "{begun} streams begun, {mixed} have events of two versions, {ALLOWED} allowed"
    ));
    if begun < 200 {
        return 2;
    }
    i32::from(mixed > ALLOWED)
}
