//! The committed configurations pass the operators' check.

use std::{path::PathBuf, process::Command};

#[test]
fn every_sample_passes_the_check() {
    let samples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    for user in ["demo", "library", "cooperative"] {
        let file = samples.join(user).join("configuration.yaml");
        let output = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"))
            .arg("check")
            .arg(&file)
            .output()
            .expect("the command runs");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{}: {text}", file.display());
    }
}
