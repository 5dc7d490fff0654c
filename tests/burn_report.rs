//! Tests of the report on service-level burn, made from an export.

mod support;

use {
    serde_json::json,
    support::{BurnExport, UNTIL, counted, full_export, record},
    toucanring::{core::burn::RequestOutcome, report},
};

/// Guards against changes to the table, which operators and their scripts read.
#[tokio::test]
async fn table_matches_the_golden_file() {
    let export = full_export("golden_table");

    let table = export.report(false).await;

    assert_eq!(table, include_str!("golden/report_burn.txt"));
}

/// Guards against a renamed or missing field, and against sums that depend on the order in which
/// objects are read.
#[tokio::test]
async fn json_matches_the_golden_file() {
    let export = full_export("golden_json");

    let json = export.report(true).await;

    assert_eq!(json, include_str!("golden/report_burn.json"));
}

/// Guards against a second boot of a process whose record is dropped as a repeated write of the
/// first one's.
#[tokio::test]
async fn both_boots_of_a_restarted_process_count() {
    let export = BurnExport::new("restart");
    for boot in [1, 2] {
        let rows = vec![counted("foundry", RequestOutcome::Completed, 10)];
        export.put(&record(UNTIL, boot, rows), None);
    }

    let json = export.json().await;

    assert_eq!(json["windows"][0]["total"]["requests"], 20);
    assert_eq!(json["duplicates"], 0);
}

/// Guards against counting a record twice when the directory holds a copy of it, such as from two
/// exports.
#[tokio::test]
async fn minute_found_twice_counts_once() {
    let export = BurnExport::new("twice");
    let rows = vec![counted("foundry", RequestOutcome::Completed, 10)];
    export.put(&record(UNTIL, 1, rows.clone()), None);
    export.put(&record(UNTIL, 1, rows), Some("copy"));

    let json = export.json().await;

    assert_eq!(json["windows"][0]["total"]["requests"], 10);
    assert_eq!(json["duplicates"], 1);
}

/// Guards against a report that looks complete although a process couldn't store some minutes.
#[tokio::test]
async fn missing_minutes_are_reported() {
    let export = BurnExport::new("missing");
    for age in [0, 1, 4] {
        export.put(&record(UNTIL - age, 1, Vec::new()), None);
    }

    let json = export.json().await;

    assert_eq!(json["windows"][0]["minutes_with_data"], 3);
    assert_eq!(json["gaps"][0]["missing_minutes"], 2);
    assert!(export.report(false).await.contains("lacks 2 minutes"));
}

/// Guards against a division by zero, and against a used budget of 0 where there is no data.
#[tokio::test]
async fn empty_store_uses_no_budget() {
    let export = BurnExport::new("empty");

    let json = export.json().await;

    assert_eq!(json["windows"][3]["total"]["budget_used"], json!(null));
    assert_eq!(json["windows"][3]["minutes_with_data"], 0);
    let table = export.report(false).await;
    assert!(!table.contains("NaN") && !table.contains("inf"), "{table}");
}

/// Guards against a default objective when no operator text has been applied.
#[tokio::test]
async fn missing_operator_text_is_an_error() {
    let export = BurnExport::new("no_config");
    std::fs::remove_file(export.root.join("config/current")).expect("removes");

    let result = report::run(&export.args(false), &mut Vec::new()).await;

    let report = result.expect_err("there is no objective");
    assert!(report.to_string().contains("no operator text"), "{report}");
}

/// Guards against an object that is damaged, or stored under the key of another minute, and ends
/// the report or is left out silently.
#[tokio::test]
async fn unusable_objects_are_listed() {
    let export = BurnExport::new("damaged");
    let rows = vec![counted("foundry", RequestOutcome::Completed, 10)];
    export.put(&record(UNTIL, 1, rows.clone()), None);
    export.write(&format!("burn/{UNTIL}/broken"), &json!({"minute": "x"}));
    let misplaced = serde_json::to_value(record(UNTIL - 1, 1, rows)).expect("serializes");
    export.write(&format!("burn/{UNTIL}/misplaced"), &misplaced);

    let json = export.json().await;

    assert_eq!(json["windows"][0]["total"]["requests"], 10);
    assert_eq!(json["unreadable"].as_array().map(Vec::len), Some(2));
}

/// Guards against a page that loads external resources, or runs a script that an account name
/// contains.
#[tokio::test]
async fn page_is_self_contained_and_escaped() {
    let export = full_export("page");
    let rows = vec![counted(
        "<script>alert(1)</script>",
        RequestOutcome::Late,
        1,
    )];
    export.put(&record(UNTIL, 5, rows), None);

    let page = export.page().await;

    assert_eq!(page.matches("<svg").count(), 4);
    assert!(!page.contains("<script"), "markup is not escaped");
    let without_namespace = page.replace("http://www.w3.org/2000/svg", "");
    for word in ["http:", "https:", "src=", "href=", "@import", "url("] {
        assert!(!without_namespace.contains(word), "page contains {word:?}");
    }
}
