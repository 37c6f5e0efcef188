//! The sample configurations in the repository pass `gooseberryctl check`.

use std::{path::PathBuf, process::Command};

#[test]
fn every_sample_passes_check() {
    let samples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../samples");
    for user in ["demo", "library", "cooperative"] {
        let file = samples.join(user).join("configuration.yaml");
        let output = Command::new(env!("CARGO_BIN_EXE_gooseberryctl"))
            .arg("check")
            .arg(&file)
            .output()
            .expect("gooseberryctl can be started");
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "{}: {text}", file.display());
    }
}
