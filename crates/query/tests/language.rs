//! Parsing and evaluation of the operators' language, and its error messages.

use proptest::{prelude::*, test_runner::RngSeed};

use query::{
    parse::{Error, statement},
    statement::{Command, Comparison, Direction, Query, Statement, Subject},
    table::{Cell, Table},
    verb,
};

fn error(text: &str) -> Error {
    statement(text).expect_err("the statement is invalid")
}

fn query(text: &str) -> Query {
    match statement(text) {
        Ok(Statement::Show(query)) => query,
        other => panic!("not a query: {other:?}"),
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
fn parses_conditions_order_and_limit_of_a_query() {
    let query = query(
        "show accounts where rate >= 10 and account ~ \"coun cil\" order by rate desc limit 5;",
    );

    assert_eq!(query.subject, Subject::Accounts);
    assert_eq!(query.conditions[0].comparison, Comparison::GreaterOrEqual);
    assert_eq!(query.conditions[1].value, "coun cil");
    assert_eq!(query.order.map(|order| order.direction), Some(Direction::Descending));
    assert_eq!(query.limit, Some(5));
}

#[test]
fn parses_commands() {
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
fn errors_state_the_position_and_the_expected_input() {
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
fn filters_sorts_and_limits_rows() {
    let result = table().apply(&query("show accounts where open = yes order by rate limit 1"));

    assert_eq!(result.expect("the columns exist").rows[0][0], Cell::from("c"));
}

#[test]
fn compares_numbers_by_value() {
    let result = table().apply(&query("show accounts where rate > 9"));

    assert_eq!(result.expect("the columns exist").rows.len(), 2);
}

#[test]
fn unknown_column_error_lists_the_columns() {
    let error = table().apply(&query("show accounts where size = 1")).expect_err("no such column");

    assert!(error.to_string().contains("account, rate, open"));
}

#[test]
fn help_lists_every_verb() {
    insta::assert_snapshot!(verb::help().join("\n"));
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn arbitrary_text_does_not_panic(text in "\\PC{0,120}") {
        if let Err(error) = statement(&text) {
            let _printed = error.to_string();
        }
    }

    #[test]
    fn keywords_in_any_order_do_not_panic(
        words in proptest::collection::vec(
            "(show|set|route|account|where|and|order|by|limit|key|=|\"|é|7|;)",
            0..12
        )
    ) {
        if let Err(error) = statement(&words.join(" ")) {
            let _printed = error.to_string();
        }
    }
}
