//! Settings files with everything wrong at once.

use settings::document::Document;

#[test]
fn every_problem_is_reported_at_once() {
    let text = "
listen: localhost:80
threads: 900
level: loud
nested: 7
extra: 1
items:
  - name: 5
";
    let document = Document::parse(text).expect("the text is YAML");

    let error = document
        .read(|section| {
            section.address("listen");
            section.number("threads", 1..=64, 2);
            section.choice("level", &["info", "warn"], "info");
            section.section("nested").text("name");
            section.sections("items").iter().for_each(|item| drop(item.text("name")));
            section.text("missing");
        })
        .expect_err("nothing in the file is right");

    insta::assert_snapshot!(error);
}

#[test]
fn text_that_is_no_yaml_is_refused_with_its_place() {
    let error = Document::parse("a: [1, 2").expect_err("the list is not closed");

    assert!(error.to_string().contains("mend the syntax"));
}
