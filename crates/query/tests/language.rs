//! The operators' language: what is understood, and how errors point at the place.

use proptest::{prelude::*, test_runner::RngSeed};

use query::{
    parse::{Error, statement},
    statement::{Command, Comparison, Direction, Show, Statement, Subject},
    table::{Cell, Table},
    verb,
};

fn error(text: &str) -> Error {
    statement(text).expect_err("the statement is wrong")
}

fn show(text: &str) -> Show {
    match statement(text) {
        Ok(Statement::Show(show)) => show,
        other => panic!("not a question: {other:?}"),
    }
}

fn table() -> Table {
    let mut table = Table::new(&["account", "rate", "open"]);
    table.rows = [("b", 20, true), ("a", 100, false), ("c", 3, true)]
        .into_iter()
        .map(|(account, rate, open)| vec![account.into(), Cell::Number(rate), open.into()])
        .collect();
    table
}

#[test]
fn a_question_has_conditions_order_and_limit() {
    let show = show(
        "show accounts where rate >= 10 and account ~ \"coun cil\" order by rate desc limit 5;",
    );

    assert_eq!(show.subject, Subject::Accounts);
    assert_eq!(show.conditions[0].comparison, Comparison::GreaterOrEqual);
    assert_eq!(show.conditions[1].value, "coun cil");
    assert_eq!(show.order.map(|order| order.direction), Some(Direction::Descending));
    assert_eq!(show.limit, Some(5));
}

#[test]
fn commands_are_understood() {
    let create = statement("create account council rate 1000 burst 2000");
    let key = statement("issue key for council named k1");
    let route = statement("set route orders key non-idempotent interactive");

    let expected =
        Command::CreateAccount { account: "council".to_owned(), rate: 1000, burst: 2000 };
    assert_eq!(create, Ok(Statement::Command(expected)));
    let expected = Command::IssueKey {
        account: "council".to_owned(),
        key: Some("k1".to_owned()),
        secret: None,
    };
    assert_eq!(key, Ok(Statement::Command(expected)));
    assert!(matches!(route, Ok(Statement::Command(Command::SetRoute { .. }))));
}

#[test]
fn errors_point_at_the_place_and_name_what_would_do() {
    let errors = [
        error("shwo accounts"),
        error("show accouns"),
        error("create account council rate fast burst 1"),
        error("set route orders key sometimes interactive"),
        error("show accounts limit 5 please"),
    ];

    let printed: Vec<_> = errors.iter().map(Error::to_string).collect();
    insta::assert_snapshot!(printed.join("\n\n"));
}

#[test]
fn rows_are_selected_ordered_and_limited() {
    let selected = table().select(&show("show accounts where open = yes order by rate limit 1"));

    assert_eq!(selected.expect("the columns are there").rows[0][0], Cell::from("c"));
}

#[test]
fn numbers_compare_as_numbers() {
    let selected = table().select(&show("show accounts where rate > 9"));

    assert_eq!(selected.expect("the columns are there").rows.len(), 2);
}

#[test]
fn an_unknown_column_names_the_known_ones() {
    let error = table().select(&show("show accounts where size = 1")).expect_err("no such column");

    assert!(error.to_string().contains("account, rate, open"));
}

#[test]
fn help_has_a_line_for_every_verb() {
    insta::assert_snapshot!(verb::help().join("\n"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_text_never_crashes_the_parser(text in "\\PC{0,120}") {
        if let Err(error) = statement(&text) {
            let _printed = error.to_string();
        }
    }

    #[test]
    fn words_in_any_order_never_crash_the_parser(
        words in proptest::collection::vec("(show|set|route|account|where|and|order|by|limit|key|=|\"|é|7|;)", 0..12)
    ) {
        if let Err(error) = statement(&words.join(" ")) {
            let _printed = error.to_string();
        }
    }
}
