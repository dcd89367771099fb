//! Runs every scripted scenario of the folder `scenarios`.

use fighall_testkit::scenario;
use std::path::Path;

#[test]
fn every_scenario_holds() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut paths: Vec<_> = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    paths.sort();
    assert!(paths.len() >= 3);
    let mut report = String::new();
    for path in paths {
        let text = std::fs::read_to_string(&path).unwrap();
        let name = path.file_name().unwrap().to_string_lossy().into_owned();
        if let Err(findings) = scenario::run(&name, &text) {
            report.push_str(&findings.to_string());
            report.push('\n');
        }
    }
    assert!(report.is_empty(), "{report}");
}

#[test]
fn a_broken_expectation_and_a_wrong_call_are_reported_with_their_places() {
    let findings = scenario::run(
        "s.rhai",
        "let a = 1;\nexpect(a == 2, \"two\");\nnothing(3);\n",
    );
    let findings = findings.unwrap_err();
    let lines: Vec<_> = findings
        .findings
        .iter()
        .map(|finding| finding.place.line)
        .collect();
    assert_eq!(lines, [2, 3], "{findings}");
}
