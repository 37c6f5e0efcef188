//! The configuration: races of operators, lost answers, outages, stale peers.

use std::{fs, process::Output, thread, time::Instant};

use gooseberry_edges::platform::{PlatformApi, PutOutcome};
use gooseberry_harness::{
    process,
    system::{self, SystemOptions, TestSystem},
};
use gooseberry_wire::{edit::HistoryRecord, platform::KvPut};

/// Exit codes of the operators' command.
const INVALID_TEXT: i32 = 3;
const CONFLICT: i32 = 4;
const DATA_LOST: i32 = 6;

fn start(daemons: usize, domains: usize) -> TestSystem {
    let size = SystemOptions {
        daemons,
        domains,
        engines: 1,
        plain_servers: 1,
        ..SystemOptions::default()
    };
    TestSystem::start(size)
}

/// Writes a text that differs from others by its comment.
fn file(system: &TestSystem, name: &str) -> String {
    let path = system.folder.path().join(format!("{name}.yaml"));
    fs::write(&path, system.configuration_text(&format!("# {name}\n"))).expect("a file");
    path.display().to_string()
}

fn put(system: &TestSystem, base: u64, author: &str, further: &[&str]) -> Output {
    let (base, path) = (base.to_string(), file(system, author));
    let mut arguments = vec!["put", "--base", &base, "--author", author];
    arguments.extend(further);
    arguments.push(&path);
    system.run_ctl(&arguments)
}

fn revision(system: &TestSystem, daemon: usize) -> u64 {
    let name = &system.daemons[daemon].name;
    let statuses = system.statuses();
    statuses.iter().find(|status| status.daemon == *name).map_or(0, |status| status.revision)
}

fn recorded(system: &TestSystem) -> u64 {
    let record = async_std::task::block_on(system.platform_client().get("configuration"));
    record.expect("an answer").expect("a configuration").revision
}

fn history(system: &TestSystem) -> Vec<HistoryRecord> {
    let output = system.run_ctl(&["--json", "history"]);
    serde_json::from_slice(&output.stdout).expect("a history")
}

fn written(outcome: PutOutcome) -> u64 {
    match outcome {
        PutOutcome::Written(revision) => revision,
        outcome => panic!("{outcome:?}"),
    }
}

/// Returns the revisions that a daemon has put in force, by its log.
fn in_force(log: &str) -> Vec<u64> {
    let lines = log.lines().filter(|line| line.contains("configuration in force"));
    let revision = |line: &str| {
        let start = line.find("\"revision\":")? + "\"revision\":".len();
        let digits = line[start..].chars().take_while(char::is_ascii_digit);
        digits.collect::<String>().parse().ok()
    };
    lines.map(|line| revision(line).expect("a revision in the log")).collect()
}

#[test]
fn of_two_operators_one_wins_and_the_other_gets_the_difference() {
    const ROUNDS: usize = 4;
    let system = start(1, 1);
    for round in 0..ROUNDS {
        let base = recorded(&system);
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
        let loser = outputs.iter().position(|output| !output.status.success()).expect("a loser");
        let difference = String::from_utf8_lossy(&outputs[loser].stderr).into_owned();
        assert!(difference.contains(&format!("+# {}", names[loser])), "{difference}");
        assert!(difference.contains(&format!("-# {}", names[1 - loser])), "{difference}");
    }
    let history = history(&system);
    assert_eq!(history.len(), ROUNDS + 1);
    assert!(history.windows(2).all(|pair| pair[1].base == pair[0].revision));
    assert!(history.iter().skip(1).all(|record| record.difference.contains(&record.author)));
}

#[test]
fn a_lost_answer_of_the_write_does_not_fool_the_operator() {
    let system = start(1, 1);
    let base = recorded(&system);
    assert_eq!(history(&system).len(), 1);
    let mut faults = system::no_platform_faults();
    faults.lose_write_answers = 1;
    system.platform.set_faults(&faults);
    let output = put(&system, base, "operator", &["--wait"]);
    assert!(output.status.success(), "{output:?}");
    assert_eq!(revision(&system, 0), recorded(&system));
    let kept = history(&system).pop().expect("a record");
    assert_eq!((kept.author.as_str(), kept.revision), ("operator", recorded(&system)));
}

#[test]
fn an_invalid_text_is_refused_with_line_and_field_and_never_put_in_force() {
    let system = start(1, 1);
    let base = recorded(&system);
    let text = format!("{}\nsurprise: 1\n", system.configuration_text(""));
    let line = text.lines().position(|line| line.starts_with("surprise")).expect("a line") + 1;
    let path = system.folder.path().join("invalid.yaml");
    fs::write(&path, &text).expect("a file");
    let path = path.display().to_string();
    let output = system.run_ctl(&["put", "--base", &base.to_string(), &path]);
    assert_eq!(output.status.code(), Some(INVALID_TEXT));
    let message = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(message.contains("surprise") && message.contains(&line.to_string()), "{message}");
    assert_eq!(recorded(&system), base);
    // A text that gets past the command is refused by the daemons.
    let invalid = written(system.put_configuration(base, &text));
    process::wait_until("the daemon refuses the text", || {
        system.daemons[0].process.log().contains("isn't valid and is ignored")
    });
    assert_eq!(revision(&system, 0), base);
    let valid = written(system.put_configuration(invalid, &system.configuration_text("# valid\n")));
    process::wait_until("a valid text is in force", || revision(&system, 0) == valid);
}

#[test]
fn an_edit_is_in_force_everywhere_while_two_daemons_of_a_domain_wait_on_the_platform() {
    let system = start(4, 2);
    let base = recorded(&system);
    let watchers = || {
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
    process::wait_until("two daemons of each domain wait", || watchers() == [2, 2]);
    let begin = Instant::now();
    let output = put(&system, base, "operator", &["--wait"]);
    println!("put --wait at 8 daemons took {:?}", begin.elapsed());
    assert!(output.status.success(), "{output:?}");
    assert!(system.statuses().iter().all(|status| status.revision == recorded(&system)));
}

#[test]
fn a_restart_during_an_outage_with_a_stale_peer_comes_back_with_the_highest_revision() {
    let mut system = start(3, 1);
    let base = recorded(&system);
    system.daemons[2].process.pause();
    let newest = written(system.put_configuration(base, &system.configuration_text("# newest\n")));
    process::wait_until("the edit is in force", || {
        [0, 1].iter().all(|daemon| revision(&system, *daemon) == newest)
    });
    let mut faults = system::no_platform_faults();
    faults.down = true;
    system.platform.set_faults(&faults);
    system.daemons[0].process.kill();
    let before = system.daemons[0].process.log().len();
    system.daemons[2].process.resume();
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[0]);
    process::wait_until("all have the newest revision", || {
        (0..3).all(|daemon| revision(&system, daemon) == newest)
    });
    assert_eq!(in_force(&system.daemons[0].process.log()[before..]), [newest]);
    process::wait_until("the restarted daemon serves during the outage", || {
        let answer = system::completion_call(&system.daemons[0].address, "during", 1).send();
        answer.is_ok_and(|answer| answer.status == 200)
    });
}

#[test]
fn a_platform_that_lost_its_data_can_not_bring_a_lower_revision() {
    let mut system = start(2, 1);
    let base = recorded(&system);
    let newest = written(system.put_configuration(base, &system.configuration_text("# newest\n")));
    process::wait_until("the edit is in force", || {
        [0, 1].iter().all(|daemon| revision(&system, *daemon) == newest)
    });
    system.platform.process.kill();
    let TestSystem { folder, platform, .. } = &mut system;
    TestSystem::restart(folder, platform);
    process::wait_until("the platform answers", || {
        async_std::task::block_on(system.platform_client().get("configuration")).is_ok()
    });
    let lower = written(system.put_configuration(0, &system.configuration_text("# lower\n")));
    assert!(lower < newest);
    process::wait_until("the lower revision is refused", || {
        system.daemons[0].process.log().contains("offers a lower configuration revision")
    });
    let before = system.daemons[1].process.log().len();
    system.daemons[1].process.kill();
    let TestSystem { folder, daemons, .. } = &mut system;
    TestSystem::restart(folder, &mut daemons[1]);
    process::wait_until("the restarted daemon serves", || revision(&system, 1) > 0);
    assert_eq!(in_force(&system.daemons[1].process.log()[before..]), [newest]);
    assert_eq!(revision(&system, 0), newest);
    assert_eq!(put(&system, lower, "operator", &[]).status.code(), Some(DATA_LOST));
}

#[test]
fn a_record_that_can_not_be_read_changes_nothing() {
    let system = start(1, 1);
    let base = recorded(&system);
    let garbage = KvPut { value: "no edit".to_owned(), expected: Some(base), lease: None };
    let client = system.platform_client();
    let broken = written(
        async_std::task::block_on(client.put("configuration", &garbage)).expect("an answer"),
    );
    process::wait_until("the record is refused", || {
        system.daemons[0].process.log().contains("record can't be read")
    });
    assert_eq!(revision(&system, 0), base);
    let mended =
        written(system.put_configuration(broken, &system.configuration_text("# mended\n")));
    process::wait_until("the next text is in force", || revision(&system, 0) == mended);
}
