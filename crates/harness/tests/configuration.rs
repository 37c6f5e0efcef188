//! Configuration edits under conflicts, lost responses, outages and stale peers.

use std::{fs, process::Output, thread, time::Instant};

use gooseberry_edges::platform::{PlatformApi, PutOutcome};
use gooseberry_harness::{
    process,
    system::{self, SystemOptions, TestSystem},
};
use gooseberry_wire::{edit::HistoryRecord, platform::KvPut};

/// Exit codes of `gooseberryctl`.
const INVALID_TEXT: i32 = 3;
const CONFLICT: i32 = 4;
const DATA_LOST: i32 = 6;

fn start(daemons: usize, domains: usize) -> TestSystem {
    let options = SystemOptions {
        daemons,
        domains,
        engines: 1,
        plain_servers: 1,
        ..SystemOptions::default()
    };
    TestSystem::start(options)
}

/// Writes a configuration file with a comment that names it, and returns its path.
fn write_file(system: &TestSystem, name: &str) -> String {
    let path = system.folder.path().join(format!("{name}.yaml"));
    fs::write(&path, system.configuration_text(&format!("# {name}\n"))).expect("a file");
    path.display().to_string()
}

fn put(system: &TestSystem, base: u64, author: &str, flags: &[&str]) -> Output {
    let (base, path) = (base.to_string(), write_file(system, author));
    let mut arguments = vec!["put", "--base", &base, "--author", author];
    arguments.extend(flags);
    arguments.push(&path);
    system.run_ctl(&arguments)
}

fn revision_in_force(system: &TestSystem, daemon: usize) -> u64 {
    let name = &system.daemons[daemon].name;
    let statuses = system.statuses();
    statuses.iter().find(|status| status.daemon == *name).map_or(0, |status| status.revision)
}

fn recorded_revision(system: &TestSystem) -> u64 {
    let record = async_std::task::block_on(system.platform_client().get("configuration"));
    record.expect("a response").expect("a configuration").revision
}

fn history(system: &TestSystem) -> Vec<HistoryRecord> {
    let output = system.run_ctl(&["--json", "history"]);
    serde_json::from_slice(&output.stdout).expect("a history")
}

fn written_revision(outcome: PutOutcome) -> u64 {
    match outcome {
        PutOutcome::Written(revision) => revision,
        outcome => panic!("{outcome:?}"),
    }
}

/// Returns the revisions that a daemon has put in force, from its log.
fn revisions_in_force(log: &str) -> Vec<u64> {
    let lines = log.lines().filter(|line| line.contains("configuration in force"));
    let revision = |line: &str| {
        let start = line.find("\"revision\":")? + "\"revision\":".len();
        let digits = line[start..].chars().take_while(char::is_ascii_digit);
        digits.collect::<String>().parse().ok()
    };
    lines.map(|line| revision(line).expect("a revision in the log")).collect()
}

/// Guards against an edit that overwrites a concurrent one: of two edits of one base
/// revision, one must fail and print the difference.
#[test]
fn of_two_concurrent_edits_one_fails_and_prints_the_difference() {
    const ROUNDS: usize = 4;
    let system = start(1, 1);
    for round in 0..ROUNDS {
        let base = recorded_revision(&system);
        let names = [format!("first-{round}"), format!("second-{round}")];
        let outputs: Vec<_> = thread::scope(|scope| {
            let mut threads = Vec::new();
            for name in &names {
                threads.push(scope.spawn(|| put(&system, base, name, &[])));
            }
            threads.into_iter().map(|thread| thread.join().expect("an output")).collect()
        });
        let mut codes: Vec<_> = outputs.iter().map(|output| output.status.code()).collect();
        codes.sort_unstable();
        assert_eq!(codes, [Some(0), Some(CONFLICT)], "{outputs:?}");
        let failed =
            outputs.iter().position(|output| !output.status.success()).expect("a failed edit");
        let difference = String::from_utf8_lossy(&outputs[failed].stderr).into_owned();
        assert!(difference.contains(&format!("+# {}", names[failed])), "{difference}");
        assert!(difference.contains(&format!("-# {}", names[1 - failed])), "{difference}");
    }
    let history = history(&system);
    assert_eq!(history.len(), ROUNDS + 1);
    assert!(history.windows(2).all(|pair| pair[1].base == pair[0].revision));
    assert!(history.iter().skip(1).all(|record| record.difference.contains(&record.author)));
}

/// Guards against reporting a conflict for an edit that was written, because the
/// response to its write was lost.
#[test]
fn an_edit_whose_write_response_was_lost_is_recognised() {
    let system = start(1, 1);
    let base = recorded_revision(&system);
    assert_eq!(history(&system).len(), 1);
    let mut faults = system::no_platform_faults();
    faults.lose_write_answers = 1;
    system.platform.set_faults(&faults);
    let output = put(&system, base, "operator", &["--wait"]);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(revision_in_force(&system, 0), recorded_revision(&system));
    let last = history(&system).pop().expect("a record");
    assert_eq!((last.author.as_str(), last.revision), ("operator", recorded_revision(&system)));
}

/// Guards against an invalid text in force, whether the operator records it with
/// `gooseberryctl` or without it.
#[test]
fn an_invalid_text_is_refused_with_line_and_field_and_not_put_in_force() {
    let system = start(1, 1);
    let base = recorded_revision(&system);
    let text = format!("{}\nsurprise: 1\n", system.configuration_text(""));
    let line = text.lines().position(|line| line.starts_with("surprise")).expect("a line") + 1;
    let path = system.folder.path().join("invalid.yaml");
    fs::write(&path, &text).expect("a file");
    let path = path.display().to_string();
    let output = system.run_ctl(&["put", "--base", &base.to_string(), &path]);
    assert_eq!(output.status.code(), Some(INVALID_TEXT));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("surprise") && message.contains(&line.to_string()), "{message}");
    assert_eq!(recorded_revision(&system), base);
    // An invalid text that is recorded without `gooseberryctl` is refused by the
    // daemons.
    let invalid = written_revision(system.put_configuration(base, &text));
    process::wait_until("the daemon refuses the text", || {
        system.daemons[0].process.log().contains("isn't valid and is ignored")
    });
    assert_eq!(revision_in_force(&system, 0), base);
    let valid = written_revision(
        system.put_configuration(invalid, &system.configuration_text("# valid\n")),
    );
    process::wait_until("a valid text is in force", || revision_in_force(&system, 0) == valid);
}

/// Guards against an edit that reaches only the two daemons of each failure domain
/// that watch the platform; these must send it to the others.
#[test]
fn an_edit_is_in_force_everywhere_while_two_daemons_of_a_domain_watch_the_platform() {
    let system = start(4, 2);
    let base = recorded_revision(&system);
    let watcher_counts = || {
        let waits = |log: &str| {
            let last =
                log.lines().rev().find(|line| line.contains("configuration watcher changed"));
            last.is_some_and(|line| line.contains("\"watches\":true"))
        };
        let domain = |start: usize| {
            let daemons = &system.daemons[start..start + 4];
            daemons.iter().filter(|daemon| waits(&daemon.process.log())).count()
        };
        [domain(0), domain(4)]
    };
    process::wait_until("two daemons of each domain watch the platform", || {
        watcher_counts() == [2, 2]
    });
    let begin = Instant::now();
    let output = put(&system, base, "operator", &["--wait"]);
    println!("put --wait at 8 daemons took {:?}", begin.elapsed());
    assert!(output.status.success(), "{output:?}");
    assert!(system.statuses().iter().all(|status| status.revision == recorded_revision(&system)));
}

/// Guards against a daemon that restarts while the platform is down and puts the
/// older revision of a stale peer in force.
#[test]
fn a_daemon_restarted_during_an_outage_puts_the_highest_revision_in_force() {
    let mut system = start(3, 1);
    let base = recorded_revision(&system);
    system.daemons[2].process.pause();
    let newest =
        written_revision(system.put_configuration(base, &system.configuration_text("# newest\n")));
    process::wait_until("the edit is in force", || {
        [0, 1].iter().all(|daemon| revision_in_force(&system, *daemon) == newest)
    });
    let mut faults = system::no_platform_faults();
    faults.down = true;
    system.platform.set_faults(&faults);
    system.daemons[0].process.kill();
    let before = system.daemons[0].process.log().len();
    system.daemons[2].process.resume();
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[0]);
    process::wait_until("all daemons have the newest revision", || {
        (0..3).all(|daemon| revision_in_force(&system, daemon) == newest)
    });
    assert_eq!(revisions_in_force(&system.daemons[0].process.log()[before..]), [newest]);
    process::wait_until("the restarted daemon serves during the outage", || {
        let answer = system::completion_call(&system.daemons[0].address, "during", 1).send();
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

/// Guards against a lower revision in force after the platform lost its data and
/// counts revisions from the start again.
#[test]
fn a_lower_revision_of_a_platform_that_lost_its_data_is_refused() {
    let mut system = start(2, 1);
    let base = recorded_revision(&system);
    let newest =
        written_revision(system.put_configuration(base, &system.configuration_text("# newest\n")));
    process::wait_until("the edit is in force", || {
        [0, 1].iter().all(|daemon| revision_in_force(&system, *daemon) == newest)
    });
    system.platform.process.kill();
    let TestSystem { folder, platform, .. } = &mut system;
    TestSystem::restart(folder, platform);
    process::wait_until("the platform responds", || {
        async_std::task::block_on(system.platform_client().get("configuration")).is_ok()
    });
    let lower =
        written_revision(system.put_configuration(0, &system.configuration_text("# lower\n")));
    assert!(lower < newest);
    process::wait_until("the lower revision is refused", || {
        system.daemons[0].process.log().contains("offers a lower configuration revision")
    });
    let before = system.daemons[1].process.log().len();
    system.daemons[1].process.kill();
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[1]);
    process::wait_until("the restarted daemon serves", || revision_in_force(&system, 1) > 0);
    assert_eq!(revisions_in_force(&system.daemons[1].process.log()[before..]), [newest]);
    assert_eq!(revision_in_force(&system, 0), newest);
    assert_eq!(put(&system, lower, "operator", &[]).status.code(), Some(DATA_LOST));
}

/// Guards against losing the configuration in force when its record can't be
/// parsed.
#[test]
fn an_unreadable_record_leaves_the_configuration_in_force() {
    let system = start(1, 1);
    let base = recorded_revision(&system);
    let garbage = KvPut { value: "no edit".to_owned(), expected: Some(base), lease: None };
    let client = system.platform_client();
    let unreadable = written_revision(
        async_std::task::block_on(client.put("configuration", &garbage)).expect("a response"),
    );
    process::wait_until("the record is refused", || {
        system.daemons[0].process.log().contains("record can't be read")
    });
    assert_eq!(revision_in_force(&system, 0), base);
    let valid = written_revision(
        system.put_configuration(unreadable, &system.configuration_text("# valid\n")),
    );
    process::wait_until("the next text is in force", || revision_in_force(&system, 0) == valid);
}
