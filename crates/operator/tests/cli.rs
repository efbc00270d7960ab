//! Command line of `chivelatch`.

use scenario::cli;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chivelatch");

#[test]
fn accepts_standard_options() {
    cli::check_standard(PROGRAM, "chivelatch");
}

#[test]
fn accepts_example_settings() {
    for deployment in ["datenbrunnen", "taff-valley"] {
        cli::check_settings(PROGRAM, &format!("examples/{deployment}/operator.yaml"));
    }
}
