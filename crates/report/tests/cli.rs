//! Command line of `chivelatch-report`.

use scenario::cli;

#[test]
fn accepts_standard_options() {
    cli::check_standard(env!("CARGO_BIN_EXE_chivelatch-report"), "chivelatch-report");
}
