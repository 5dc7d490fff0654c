use {
    super::{
        BurnSeries, BurnSummary, Result, SummaryTable, TableSection,
        burn_plot::{BurnPlot, MAX_LINES},
    },
    std::fmt::Write,
};

/// Style sheet of the page, which refers to no other file.
const STYLE: &str = "body{font-family:sans-serif;max-width:70em;margin:2em auto}\
table{border-collapse:collapse}td,th{padding:.2em .8em;text-align:right}\
td:first-child,th:first-child{text-align:left}tr:nth-child(even){background:#f2f2f2}\
.axis{display:flex;justify-content:space-between;width:860px;color:#555}";

/// Renders the report as one HTML page without external resources.
///
/// # Errors
/// Returns [`super::ReportError::Plot`] when a plot cannot be drawn.
pub fn render_page(summary: &BurnSummary, series: &BurnSeries) -> Result<String> {
    let table = SummaryTable::new(summary);
    let mut page = format!(
        "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">\
         <title>Service-level burn</title><style>{STYLE}</style></head><body>\n<h1>{}</h1>\n",
        escape(&table.title)
    );
    for remark in &table.remarks {
        push(&mut page, format_args!("<p>{}</p>\n", escape(remark)));
    }
    for plot in plots(series) {
        push_plot(&mut page, &plot)?;
    }
    for section in &table.sections {
        push_section(&mut page, &table.windows, section);
    }
    page.push_str("</body></html>\n");
    Ok(page)
}

fn plots(series: &BurnSeries) -> [BurnPlot; 4] {
    [
        BurnPlot {
            title: "Weight not completed within the deadline, in percent",
            span: "6 h",
            lines: series.missed_percent(),
        },
        BurnPlot {
            title: "Weighted completions per minute",
            span: "6 h",
            lines: series.completions(),
        },
        BurnPlot {
            title: "Group downtime, group minutes per hour",
            span: "3 d",
            lines: series.downtime(),
        },
        BurnPlot {
            title: "Stranded accelerators, accelerator minutes per hour",
            span: "3 d",
            lines: series.stranded(),
        },
    ]
}

fn push_plot(page: &mut String, plot: &BurnPlot) -> Result<()> {
    push(page, format_args!("<h2>{}</h2>\n<p>", escape(plot.title)));
    for (index, (name, _)) in plot.lines.iter().take(MAX_LINES).enumerate() {
        let colour = BurnPlot::colour(index);
        let name = escape(name);
        push(
            page,
            format_args!("<span style=\"color:{colour}\">&#9632; {name}</span> "),
        );
    }
    if plot.lines.is_empty() {
        page.push_str("no data");
    }
    let axis_end = plot.max_value() * 1.05;
    push(
        page,
        format_args!("</p>\n<div class=\"axis\"><span>{axis_end:.1}</span></div>\n"),
    );
    page.push_str(&plot.draw()?);
    let span = plot.span;
    push(
        page,
        format_args!(
            "\n<div class=\"axis\"><span>0, {span} earlier</span><span>last minute</span></div>\n"
        ),
    );
    Ok(())
}

fn push_section(page: &mut String, windows: &[String], section: &TableSection) {
    push(
        page,
        format_args!("<h2>{}</h2>\n<table><tr><th></th>", escape(section.title)),
    );
    for window in windows {
        push(page, format_args!("<th>{}</th>", escape(window)));
    }
    page.push_str("</tr>\n");
    for row in &section.rows {
        push(page, format_args!("<tr><td>{}</td>", escape(&row.name)));
        for value in &row.values {
            push(page, format_args!("<td>{}</td>", escape(value)));
        }
        page.push_str("</tr>\n");
    }
    page.push_str("</table>\n");
}

fn push(page: &mut String, part: std::fmt::Arguments<'_>) {
    page.write_fmt(part)
        .expect("writing to a string cannot fail");
}

/// Escapes a text for use in HTML elements and quoted attributes.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for character in text.chars() {
        match character {
            '&' => escaped.push_str("&amp;"),
            '<' => escaped.push_str("&lt;"),
            '>' => escaped.push_str("&gt;"),
            '"' => escaped.push_str("&quot;"),
            other => escaped.push(other),
        }
    }
    escaped
}
