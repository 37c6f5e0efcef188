//! The store comes back from a copy that is some seconds old while one daemon starts again. An engine has
//! started again under its id with a newer version of its software since the copy was taken.

use std::{
    process::exit,
    thread,
    time::{Duration, Instant},
};

use gooseberry_review_kit_3::{
    load,
    record::Record,
    setup::{self, CaseArguments, Deployment},
    store::StoreBehaviour,
};

/// Streams a second.
const STREAMS_PER_S: f64 = 60.0;
/// Streams of two versions that the rule allows.
const ALLOWED: usize = 2;
/// Time at which the store is away.
const AWAY_AT: f64 = 6.0;
/// Age of the copy, and time for which the store is away, in seconds.
const COPY_AGE: f64 = 3.0;
const AWAY: f64 = 0.4;

fn main() {
    let arguments = CaseArguments::read();
    let record = Record::default();
    let outcome = run(&arguments, &record);
    record.write(&arguments.folder.join("record.txt"));
    exit(outcome);
}

fn run(arguments: &CaseArguments, record: &Record) -> i32 {
    let gap = Duration::from_millis(50);
    let Some(mut deployment) = Deployment::start(arguments, record, 2, 64, 30, gap) else {
        record.say("a daemon isn't ready");
        return 2;
    };
    thread::sleep(Duration::from_secs(4));
    let started = Instant::now();
    let times = load::steady(0.0, 11.0, STREAMS_PER_S);
    let callers = load::start(0, 7, times, started, deployment.frontends(), record);
    let engine = deployment.engine("i-10").clone();
    setup::wait_until(started, AWAY_AT - COPY_AGE);
    let copy = deployment.store.copy();
    setup::wait_until(started, AWAY_AT - 1.45);
    engine.crash();
    setup::wait_until(started, AWAY_AT - 1.25);
    engine.restart("v2");
    setup::wait_until(started, AWAY_AT);
    if arguments.has_trouble {
        record.say("the store is away");
        *deployment.link.is_away.lock() = true;
        deployment.store.set_behaviour(StoreBehaviour::Unavailable);
    }
    setup::wait_until(started, AWAY_AT + 0.1);
    record.say("edge-1 is killed");
    deployment.daemons[1].kill();
    setup::wait_until(started, AWAY_AT + 0.3);
    deployment.daemons[1].restart();
    setup::wait_until(started, AWAY_AT + AWAY);
    if arguments.has_trouble {
        deployment.store.restore(&copy);
        deployment.store.set_behaviour(StoreBehaviour::Normal);
        deployment.store.put_configuration(&setup::configuration(3, 64));
        *deployment.link.is_away.lock() = false;
        record.say("the store is back from its copy");
    }
    setup::wait_until(started, AWAY_AT + 1.7);
    engine.crash();
    setup::wait_until(started, AWAY_AT + 2.0);
    engine.restart("v2");
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
