use {
    super::{BurnSummary, ShareEntry, WindowSummary},
    std::{collections::BTreeSet, fmt},
};

/// Width of the name column in characters.
const NAME_WIDTH: usize = 40;

/// Width of a value column in characters.
const VALUE_WIDTH: usize = 12;

/// Selects the entries of a window by service, client account or kind.
type EntrySelector = fn(&WindowSummary) -> &[ShareEntry];

/// Line of the report with one value for each window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableRow {
    /// Name of the values, such as `service chat`.
    pub name: String,
    /// Values, shortest window first.
    pub values: Vec<String>,
}

/// Section of the report: lines under one heading.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableSection {
    /// Heading with the unit.
    pub title: &'static str,
    /// Lines in the order in which they are shown.
    pub rows: Vec<TableRow>,
}

/// Report as sections of lines, from which the text and the HTML page are rendered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SummaryTable {
    /// First line, with the last minute and the objective.
    pub title: String,
    /// Labels of the windows, shortest window first.
    pub windows: Vec<String>,
    /// Sections in the order in which they are shown.
    pub sections: Vec<TableSection>,
    /// Remarks on data that is missing or was left out; empty when there are none.
    pub remarks: Vec<String>,
}

impl SummaryTable {
    /// Arranges a summary into sections.
    #[must_use]
    pub fn new(summary: &BurnSummary) -> Self {
        let budget =
            |entry: &ShareEntry| entry.budget_used.map_or_else(absent_value, format_percent);
        let weight = |entry: &ShareEntry| format_decimal(entry.completed_weight);
        let sections = vec![
            TableSection {
                title: "error budget used (100% = all of the window's budget)",
                rows: share_rows(summary, budget),
            },
            TableSection {
                title: "weighted completions within the deadline",
                rows: share_rows(summary, weight),
            },
            TableSection {
                title: "refusals (requests)",
                rows: refusal_rows(summary),
            },
            TableSection {
                title: "group downtime (group seconds)",
                rows: downtime_rows(summary),
            },
            TableSection {
                title: "stranded accelerators (accelerator seconds)",
                rows: vec![window_row(summary, "all services", |window| {
                    format_decimal(window.stranded_accelerator_s)
                })],
            },
            TableSection {
                title: "data",
                rows: data_rows(summary),
            },
        ];
        Self {
            title: format!(
                "service-level burn until {}, objective {}",
                summary.until, summary.objective
            ),
            windows: summary
                .windows
                .iter()
                .map(|window| window.window.clone())
                .collect(),
            sections,
            remarks: remarks(summary),
        }
    }
}

impl fmt::Display for SummaryTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{}", self.title)?;
        for section in &self.sections {
            writeln!(formatter, "\n{}", section.title)?;
            write_line(formatter, "", &self.windows)?;
            for row in &section.rows {
                write_line(formatter, &row.name, &row.values)?;
            }
        }
        for remark in &self.remarks {
            writeln!(formatter, "\n{remark}")?;
        }
        Ok(())
    }
}

fn write_line(formatter: &mut fmt::Formatter<'_>, name: &str, values: &[String]) -> fmt::Result {
    write!(formatter, "  {name:<NAME_WIDTH$}")?;
    for value in values {
        write!(formatter, "{value:>VALUE_WIDTH$}")?;
    }
    writeln!(formatter)
}

fn absent_value() -> String {
    "-".to_owned()
}

fn format_percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn format_decimal(value: f64) -> String {
    format!("{value:.1}")
}

fn window_row(
    summary: &BurnSummary,
    name: &str,
    value: impl Fn(&WindowSummary) -> String,
) -> TableRow {
    TableRow {
        name: name.to_owned(),
        values: summary.windows.iter().map(value).collect(),
    }
}

/// Rows for the total and for each service, client account and kind.
fn share_rows(summary: &BurnSummary, value: impl Fn(&ShareEntry) -> String) -> Vec<TableRow> {
    let mut rows = vec![window_row(summary, "total", |window| value(&window.total))];
    let groups: [(&str, EntrySelector); 3] = [
        ("service", |window| &window.services),
        ("account", |window| &window.accounts),
        ("kind", |window| &window.kinds),
    ];
    for (label, entries) in groups {
        for name in names_of(summary, entries) {
            rows.push(window_row(summary, &format!("{label} {name}"), |window| {
                let entry = entries(window).iter().find(|entry| entry.name == name);
                entry.map_or_else(absent_value, &value)
            }));
        }
    }
    rows
}

fn names_of(summary: &BurnSummary, entries: EntrySelector) -> BTreeSet<String> {
    let entries = summary.windows.iter().flat_map(entries);
    entries.map(|entry| entry.name.clone()).collect()
}

fn refusal_rows(summary: &BurnSummary) -> Vec<TableRow> {
    let refusals = summary.windows.iter().flat_map(|window| &window.refusals);
    let keys: BTreeSet<_> = refusals
        .map(|entry| (entry.reason.clone(), entry.execution))
        .collect();
    let mut rows = Vec::new();
    for (reason, execution) in keys {
        // Callers see the serialized name.
        let label = serde_json::to_value(execution).unwrap_or_default();
        let name = format!("{reason} ({})", label.as_str().unwrap_or_default());
        rows.push(window_row(summary, &name, |window| {
            let mut entries = window.refusals.iter();
            let entry =
                entries.find(|entry| entry.reason == reason && entry.execution == execution);
            entry.map_or_else(absent_value, |entry| entry.count.to_string())
        }));
    }
    rows
}

fn downtime_rows(summary: &BurnSummary) -> Vec<TableRow> {
    let entries = summary.windows.iter().flat_map(|window| &window.downtime);
    let services: BTreeSet<_> = entries.map(|entry| entry.service.clone()).collect();
    let mut rows = Vec::new();
    for service in services {
        rows.push(window_row(
            summary,
            &format!("service {service}"),
            |window| {
                let mut entries = window.downtime.iter();
                let entry = entries.find(|entry| entry.service == service);
                entry.map_or_else(absent_value, |entry| format_decimal(entry.group_s))
            },
        ));
    }
    rows
}

fn data_rows(summary: &BurnSummary) -> Vec<TableRow> {
    vec![
        window_row(summary, "minutes with data", |window| {
            format!("{}/{}", window.minutes_with_data, window.minutes)
        }),
        window_row(summary, "requests", |window| {
            window.total.requests.to_string()
        }),
        window_row(summary, "requests lost, at most", |window| {
            window.lost_requests.to_string()
        }),
    ]
}

fn remarks(summary: &BurnSummary) -> Vec<String> {
    let mut remarks = Vec::new();
    for gap in &summary.gaps {
        remarks.push(format!(
            "process {} (boot {}) lacks {} minutes between its first and its last one",
            gap.process, gap.boot, gap.missing_minutes
        ));
    }
    if summary.duplicates > 0 {
        remarks.push(format!(
            "{} records were found twice and counted once",
            summary.duplicates
        ));
    }
    for entry in &summary.unreadable {
        remarks.push(format!(
            "object {} was left out: {}",
            entry.key, entry.reason
        ));
    }
    remarks
}
