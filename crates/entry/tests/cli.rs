//! Command line of `chivelatch-entry`.

use scenario::cli;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chivelatch-entry");

#[test]
fn accepts_standard_options() {
    cli::check_standard(PROGRAM, "chivelatch-entry");
}

#[test]
fn accepts_example_settings() {
    for deployment in ["datenbrunnen", "taff-valley"] {
        cli::check_settings(PROGRAM, &format!("examples/{deployment}/entry.yaml"));
    }
}
