//! Command line of `chivelatch-side`.

use scenario::cli;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chivelatch-side");

#[test]
fn accepts_standard_options() {
    cli::check_standard(PROGRAM, "chivelatch-side");
}

#[test]
fn accepts_example_settings() {
    for deployment in ["datenbrunnen", "taff-valley"] {
        cli::check_settings(PROGRAM, &format!("examples/{deployment}/side-engine.yaml"));
        cli::check_settings(PROGRAM, &format!("examples/{deployment}/side-service.yaml"));
    }
}
