//! Tests of the error messages for settings files.

use settings::document::Document;

#[test]
fn reports_all_problems_at_once() {
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
        .expect_err("every key has a problem");

    insta::assert_snapshot!(error);
}

#[test]
fn rejects_invalid_yaml_with_advice() {
    let error = Document::parse("a: [1, 2").expect_err("the list is not closed");

    assert!(error.to_string().contains("correct the syntax"));
}

// Guards against a list item without keys that is taken for one with all defaults.
#[test]
fn rejects_list_items_that_are_no_mappings() {
    let document = Document::parse("items:\n  - 7\n").expect("the text is YAML");

    let error = document
        .read(|section| {
            section.sections("items").iter().for_each(|item| drop(item.optional_text("name")));
        })
        .expect_err("an item is no mapping");

    assert!(error.to_string().contains("items[0]"), "{error}");
}
