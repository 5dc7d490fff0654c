//! The report on service-level burn, read from exported objects.

mod support;

use {
    serde_json::json,
    support::{BurnExport, UNTIL, counted, full_export, record},
    toucanring::{core::burn::RequestOutcome, report},
};

#[tokio::test]
async fn table_matches_the_golden_file() {
    // Guards against a changed table that operators' scripts and eyes depend on.
    let export = full_export("golden_table");

    let table = export.report(false).await;

    assert_eq!(table, include_str!("golden/report_burn.txt"));
}

#[tokio::test]
async fn json_matches_the_golden_file() {
    // Guards against a renamed or missing field, and against sums that change with the read order.
    let export = full_export("golden_json");

    let json = export.report(true).await;

    assert_eq!(json, include_str!("golden/report_burn.json"));
}

#[tokio::test]
async fn both_boots_of_a_restarted_process_count() {
    // Guards against taking the second boot of a process for a repeated write of the first.
    let export = BurnExport::new("restart");
    for boot in [1, 2] {
        let rows = vec![counted("foundry", RequestOutcome::Completed, 10)];
        export.put(&record(UNTIL, boot, rows), None);
    }

    let json = export.json().await;

    assert_eq!(json["windows"][0]["total"]["requests"], 20);
    assert_eq!(json["duplicates"], 0);
}

#[tokio::test]
async fn minute_found_twice_counts_once() {
    // Guards against counting a copy of an object, as from two exports in one directory.
    let export = BurnExport::new("twice");
    let rows = vec![counted("foundry", RequestOutcome::Completed, 10)];
    export.put(&record(UNTIL, 1, rows.clone()), None);
    export.put(&record(UNTIL, 1, rows), Some("copy"));

    let json = export.json().await;

    assert_eq!(json["windows"][0]["total"]["requests"], 10);
    assert_eq!(json["duplicates"], 1);
}

#[tokio::test]
async fn missing_minutes_are_reported() {
    // Guards against a report that looks complete although a process could not store minutes.
    let export = BurnExport::new("missing");
    for age in [0, 1, 4] {
        export.put(&record(UNTIL - age, 1, Vec::new()), None);
    }

    let json = export.json().await;

    assert_eq!(json["windows"][0]["minutes_with_data"], 3);
    assert_eq!(json["gaps"][0]["missing_minutes"], 2);
    assert!(export.report(false).await.contains("lacks 2 minutes"));
}

#[tokio::test]
async fn empty_store_uses_no_budget() {
    // Guards against a division by zero, and against "100% available" where nothing was measured.
    let export = BurnExport::new("empty");

    let json = export.json().await;

    assert_eq!(json["windows"][3]["total"]["budget_used"], json!(null));
    assert_eq!(json["windows"][3]["minutes_with_data"], 0);
    let table = export.report(false).await;
    assert!(!table.contains("NaN") && !table.contains("inf"), "{table}");
}

#[tokio::test]
async fn missing_operator_text_is_an_error() {
    // Guards against an assumed objective when no operator text is committed.
    let export = BurnExport::new("no_config");
    std::fs::remove_file(export.root.join("config/current")).expect("removes");

    let result = report::run(&export.args(false), &mut Vec::new()).await;

    let report = result.expect_err("there is no objective");
    assert!(report.to_string().contains("no operator text"), "{report}");
}

#[tokio::test]
async fn unusable_objects_are_named() {
    // Guards against an aborted report, or a silent gap, when one object is damaged or misplaced.
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

#[tokio::test]
async fn page_is_self_contained_and_escaped() {
    // Guards against a page that loads foreign resources or runs markup from a caller's name.
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
