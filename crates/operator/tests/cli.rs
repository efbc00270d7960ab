//! The command line of `chivelatch`.

use scenario::cli;

const PROGRAM: &str = env!("CARGO_BIN_EXE_chivelatch");

#[test]
fn the_command_line_is_as_usual() {
    cli::check_standard(PROGRAM, "chivelatch");
}

#[test]
fn the_examples_are_valid() {
    for deployment in ["datenbrunnen", "taff-valley"] {
        cli::check_settings(PROGRAM, &format!("examples/{deployment}/operator.yaml"));
    }
}
