//! The command line of `chivelatch-load`.

use scenario::cli;

#[test]
fn the_command_line_is_as_usual() {
    cli::check_standard(env!("CARGO_BIN_EXE_chivelatch-load"), "chivelatch-load");
}
