use super::Figure;

/// Processes, gateways, instances of a failure domain and groups at the design scale.
const PROCESSES: f64 = 408.0;
const GATEWAYS: f64 = 390.0;
const DOMAIN_INSTANCES: f64 = 84.0;
const GROUPS: f64 = 90.0;

/// Report requests per second to one server: from a gateway and from a controller.
const GATEWAY_REPORTS_PER_S: f64 = 4.0;
const CONTROLLER_REPORTS_PER_S: f64 = 1.0 / 0.3;

/// Configuration changes per second: 2,800 a day.
const CHANGES_PER_S: f64 = 2_800.0 / 86_400.0;

/// Bytes per second that one process may spend on reading the instance list. The store watcher has
/// this limit for up to 200 instances and a lower one, 500 B/s, for more.
const LIST_BYTES_PER_S: f64 = 6_000.0;

/// Seconds between two reads of a list of 750 instances of 150 bytes each, at [`LIST_BYTES_PER_S`].
const LIST_INTERVAL_S: f64 = 750.0 * 150.0 / LIST_BYTES_PER_S;

/// Reads of the lease row per second by the standby of each failure domain, and the number of
/// failure domains.
const STANDBY_READS_PER_S: f64 = 2.0;
const DOMAINS: f64 = 9.0;

/// Claims per second of all gateways; a tenth of 1,500 requests/s makes one.
const CLAIMS_PER_S: f64 = 150.0;

/// Minutes in the longest window of the burn report (3 days), and object reads per second that the
/// store serves.
const REPORT_MINUTES: f64 = 4_320.0;
const STORE_READS_PER_S: f64 = 2_000.0;

/// Adds up loads at the design scale from the measured figures and the intervals used in the code.
///
/// A sum is NaN when a figure that it needs is missing.
pub(super) fn capacity_sums(figures: &[Figure]) -> Vec<Figure> {
    let value = |name: &str| {
        let figure = figures.iter().find(|figure| figure.name == name);
        figure.map_or(f64::NAN, |figure| figure.value)
    };
    let peers = value("capacity.peers.sent_bytes_per_s.at_408");
    let report_bytes = value("capacity.report_call_bytes");
    let text = value("capacity.store.operator_text_bytes.design_750") * CHANGES_PER_S;
    let shared = peers + text + LIST_BYTES_PER_S;
    let gateway_reports = GROUPS * GATEWAY_REPORTS_PER_S * report_bytes;
    let controller_reports = DOMAIN_INSTANCES * CONTROLLER_REPORTS_PER_S * report_bytes;
    // Each gateway gets 0.4 claims/s, so few that no two of them share a commit.
    let claims = CLAIMS_PER_S * value("capacity.store.claim_commits_per_s.at_1");
    let leases = value("capacity.store.lease_writes_per_s.at_9");
    let list_reads = PROCESSES / LIST_INTERVAL_S;
    let row_reads = value("capacity.store.config_reads_per_s.design_408");
    let report_reads = PROCESSES * REPORT_MINUTES;
    let sums = [
        ("text_bytes_per_s", text, "B/s"),
        ("gateway_report_call_bytes_per_s", gateway_reports, "B/s"),
        (
            "gateway_control_bytes_per_s",
            shared + gateway_reports,
            "B/s",
        ),
        (
            "controller_report_call_bytes_per_s",
            controller_reports,
            "B/s",
        ),
        (
            "controller_control_bytes_per_s",
            shared + controller_reports,
            "B/s",
        ),
        (
            "lead_report_calls_per_s",
            GATEWAYS * GATEWAY_REPORTS_PER_S,
            "1/s",
        ),
        (
            "table_reads_per_s",
            row_reads + DOMAINS * STANDBY_READS_PER_S,
            "1/s",
        ),
        ("list_reads_per_s", list_reads, "1/s"),
        ("table_writes_per_s", claims + leases, "1/s"),
        (
            "object_writes_per_s",
            PROCESSES / 60.0 + CHANGES_PER_S,
            "1/s",
        ),
        ("text_reads_per_s", PROCESSES * CHANGES_PER_S, "1/s"),
        ("burn_report_reads", report_reads, "reads"),
        ("burn_report_s", report_reads / STORE_READS_PER_S, "s"),
    ];
    sums.into_iter()
        .map(|(name, sum, unit)| Figure::new(&format!("capacity.sum.{name}"), sum, unit))
        .collect()
}
