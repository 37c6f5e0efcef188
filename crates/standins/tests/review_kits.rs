//! The programs of the cases in `review/` build as its scripts do, and the cases run to their end.
//!
//! Guards against a change of the stand-ins' dependencies: the locks of the kits no longer matched, so
//! no case could be run.

use std::{
    collections::HashSet,
    env, fs,
    path::{Path, PathBuf},
    process::Command,
    thread,
};

/// A case: its folder under `review/`, its program and the arguments of that after the folder.
type ReviewCase = (&'static str, &'static str, &'static [&'static str]);

const KITS: [&str; 2] = ["review/kit", "review/kit-2"];
/// The cases whose programs link the stand-ins.
const LINKED_CASES: [ReviewCase; 4] = [
    ("6", "endless-heads", &[]),
    ("7", "slow-readers", &[]),
    ("8", "mixed-versions", &[]),
    ("9", "mixed-versions", &["late-write"]),
];

/// Time after which a case is ended, as in its script.
const TIMEOUT_SECONDS: &str = "110";

/// Returns a path in the repository.
fn repository_path(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path)
}

/// Returns the folder in which the daemon of this build is, which the programs of the kits start.
fn program_folder() -> PathBuf {
    let executable = env::current_exe().expect("the path of the test executable");
    executable.ancestors().nth(2).expect("a folder of programs").to_owned()
}

/// Builds a kit with the flags of its script, in the profile of this test.
fn build_kit(kit: &str) {
    let programs = program_folder();
    let profile = if programs.ends_with("release") { "release" } else { "dev" };
    let output = Command::new(env::var_os("CARGO").unwrap_or_else(|| "cargo".into()))
        .args(["build", "--offline", "--locked", "--profile", profile, "--manifest-path"])
        .arg(repository_path(kit).join("Cargo.toml"))
        .arg("--target-dir")
        .arg(programs.parent().expect("a target folder"))
        .output()
        .expect("cargo runs");
    let messages = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{kit} doesn't build:\n{messages}");
}

/// Returns the checksums of the registry's packages in a lock file.
fn locked_checksums(path: &str) -> HashSet<String> {
    let lock = fs::read_to_string(repository_path(path)).expect("a lock file");
    lock.lines().filter(|line| line.starts_with("checksum = ")).map(str::to_owned).collect()
}

/// Plays a case with its disruption, and returns what differs from its pass.
fn play_case((number, program, arguments): ReviewCase) -> Option<String> {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let output = Command::new("timeout")
        .args(["-k", "5", TIMEOUT_SECONDS])
        .arg(program_folder().join(program))
        .arg(folder.path())
        .args(arguments)
        .env("TROUBLE", "1")
        .output()
        .expect("the program runs");
    let messages = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    (output.status.code() != Some(0))
        .then(|| format!("review/{number}: {}\n{messages}{errors}", output.status))
}

#[test]
fn kits_build_from_their_locks_and_their_cases_hold() {
    KITS.into_iter().for_each(build_kit);
    let plays = LINKED_CASES.map(|case| thread::spawn(move || play_case(case)));
    let failures: Vec<String> =
        plays.into_iter().filter_map(|play| play.join().expect("a play ends")).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// The kits build offline, after the packages of the workspace were fetched.
#[test]
fn kits_lock_only_packages_of_the_workspace() {
    let fetched = locked_checksums("Cargo.lock");
    for kit in KITS {
        let missing = locked_checksums(&format!("{kit}/Cargo.lock"));
        let missing: Vec<_> = missing.difference(&fetched).collect();
        assert!(missing.is_empty(), "{kit} locks other packages: {missing:?}");
    }
}
