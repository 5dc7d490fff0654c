//! Follows the changes of the operator's routes and of the list of backend servers in the store.

use {
    super::{NodeContext, NodeMetrics, RoutesOrigin, StoreClient, node_clock::now},
    crate::core::{
        fleet::BackendEntry,
        store::{StoreAnswer, StoreCall, StoreFailure, StoreRow, StoreVersion},
    },
    slog::{info, warn},
    std::{
        sync::{Arc, atomic::Ordering},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Longest time that a feed of the operator's table waits for a change. Together with the time that
/// a feed may take beyond it, it bounds the time until a silent connection is noticed.
const OPERATOR_FEED_WAIT: Duration = Duration::from_millis(1_500);

/// The same for the list of servers. Nodes that rely on this one must hear that it has lost the
/// store, and read for themselves, within the 2 s in which a leaving server may get requests.
const SERVER_FEED_WAIT: Duration = Duration::from_millis(800);

/// Pause between two feed calls for the list of servers. Each change of a server ends a call, and
/// calls are priced; after a pause, one call returns several changes.
const FLEET_PAUSE: Duration = Duration::from_millis(120);

/// Shortest and longest delay after a failed call; the delay doubles with each further failure.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));

/// Silence of the store that counts as an outage. After one, entries missing from the store are
/// kept for a while, since servers need time to write lapsed entries again. It is longer than the
/// silence of a connection that is replaced after one failed feed, by which no server has lapsed.
const OUTAGE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time between two checks of whether this node must read from the store itself.
const FOLLOWER_POLL: Duration = Duration::from_millis(100);

/// A store table whose changes are followed, and what is done with its rows.
#[derive(Debug, Clone, Copy)]
struct FollowedTable {
    name: &'static str,
    feed_wait: Duration,
    /// Pause after each feed.
    pause: Duration,
    apply_all: fn(&NodeContext, &[StoreRow], StoreVersion),
    apply_changes: fn(&NodeContext, &[StoreRow], StoreVersion),
}

/// Starts the tasks that follow the routes and the list of backend servers in the store.
pub fn start_sync(context: &Arc<NodeContext>) {
    let routes = FollowedTable {
        name: context.codec.routes_row.0,
        feed_wait: OPERATOR_FEED_WAIT,
        pause: Duration::ZERO,
        apply_all: apply_operator_table,
        apply_changes: apply_operator_rows,
    };
    let servers = FollowedTable {
        name: context.codec.server_table,
        feed_wait: SERVER_FEED_WAIT,
        pause: FLEET_PAUSE,
        apply_all: replace_fleet,
        apply_changes: update_fleet,
    };
    tokio::spawn(follow_table(Arc::clone(context), routes));
    tokio::spawn(follow_table(Arc::clone(context), servers));
}

async fn follow_table(context: Arc<NodeContext>, table: FollowedTable) {
    let client = StoreClient::new(context.settings.store, context.codec);
    let mut known_version: Option<StoreVersion> = None;
    let mut retry_delay = RETRY_DELAYS.0;
    let mut failing_since: Option<Duration> = None;
    let mut eras = context.store_era.subscribe();
    loop {
        if !context.follows_store() {
            // Other nodes send the changes. The whole table is read again when this node next reads
            // from the store.
            known_version = None;
            if failing_since.take().is_some() {
                context.set_feed_failing(false);
            }
            tokio::time::sleep(FOLLOWER_POLL).await;
            continue;
        }
        let result = match known_version {
            None => read_all(&context, &client, table.name).await,
            Some(after) => {
                // After a failure the store may have been restored. A feed that waits for a change
                // would show that only at its end.
                let wait = if failing_since.is_some() {
                    Duration::ZERO
                } else {
                    table.feed_wait
                };
                let feed = read_feed(&context, &client, table.name, after, wait);
                tokio::select! {
                    result = feed => result,
                    () = later_era(&mut eras, after.era) => Ok(TableRead::Restored),
                }
            }
        };
        match result {
            Ok(TableRead::Rows { rows, version }) => {
                record_recovery(&context, table.name, &mut failing_since);
                context.observe_era(version.era);
                retry_delay = RETRY_DELAYS.0;
                let apply = if known_version.is_none() {
                    table.apply_all
                } else {
                    table.apply_changes
                };
                apply(&context, &rows, version);
                known_version = known_version.max(Some(version));
                tokio::time::sleep(table.pause).await;
            }
            Ok(TableRead::Restored) => {
                warn!(context.logger,
                    "the store was restored from a copy; reading the whole table";
                    "table" => table.name, "era" => *context.store_era.borrow(),
                    "version" => known_version.map(|known| known.to_string()));
                known_version = None;
            }
            Ok(TableRead::HistoryGone) => {
                info!(context.logger,
                    "the store dropped the changes after a version; reading the whole table";
                    "table" => table.name,
                    "version" => known_version.map(|known| known.to_string()));
                known_version = None;
            }
            Err(failure) => {
                record_failure(&context, table.name, failure, &mut failing_since);
                if failure == StoreFailure::Unreadable && known_version.is_some() {
                    // The same changes would come again. The pages of the whole table are bounded.
                    warn!(context.logger,
                        "the changes of a table cannot be read; reading the whole table";
                        "table" => table.name,
                        "version" => known_version.map(|known| known.to_string()));
                    known_version = None;
                }
                tokio::time::sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(RETRY_DELAYS.1);
            }
        }
    }
}

/// Waits until an era after `known` is observed. Each is reported once, so that one that the store
/// itself does not name causes one read of the table only.
async fn later_era(eras: &mut watch::Receiver<u64>, known: u64) {
    while eras.changed().await.is_ok() {
        if *eras.borrow_and_update() > known {
            return;
        }
    }
    // The node ends.
    std::future::pending::<()>().await;
}

fn record_failure(
    context: &NodeContext,
    table: &'static str,
    failure: StoreFailure,
    failing_since: &mut Option<Duration>,
) {
    let label = match failure {
        StoreFailure::Refused => "refused",
        StoreFailure::Unreachable => "unreachable",
        StoreFailure::Unclear => "unclear",
        StoreFailure::Unreadable => "unreadable",
    };
    NodeMetrics::count(&context.metrics.store_failures, label);
    if failing_since.is_none() {
        warn!(context.logger, "failed to read a table from the store; retrying";
            "table" => table, "cause" => label);
        *failing_since = Some(now());
        context.set_feed_failing(true);
    }
}

fn record_recovery(
    context: &NodeContext,
    table: &'static str,
    failing_since: &mut Option<Duration>,
) {
    let at = now();
    if let Some(since) = failing_since.take() {
        context.set_feed_failing(false);
        let silence = at.saturating_sub(since);
        info!(context.logger, "read a table from the store again after failures"; "table" => table,
            "after_ms" => super::attempt_slot::millis(silence));
        if context.store_silence() > OUTAGE_THRESHOLD {
            context.fleet().store_recovered(at);
        }
    }
    context.record_store_response(at);
}

enum TableRead {
    Rows {
        rows: Vec<StoreRow>,
        version: StoreVersion,
    },
    HistoryGone,
    /// The store is in another era than the version after which changes were asked for.
    Restored,
}

/// Counts and logs the rows of a response whose names cannot be decoded.
fn report_unreadable(context: &NodeContext, table: &str, unreadable: usize) {
    for _ in 0..unreadable {
        if context.note_ignored("store_row", table) {
            warn!(context.logger, "ignored rows of the store whose names cannot be decoded";
                "table" => table, "rows" => unreadable);
        }
    }
}

async fn read_feed(
    context: &NodeContext,
    client: &StoreClient,
    table: &str,
    after: StoreVersion,
    wait: Duration,
) -> Result<TableRead, StoreFailure> {
    let call = StoreCall::Feed {
        table: table.to_owned(),
        after: after.number,
        wait,
    };
    match client.call(&call).await? {
        StoreAnswer::Rows {
            mut rows,
            version,
            unreadable,
            ..
        } => {
            context.observe_era(version.era);
            if version.era != after.era {
                // The feed went on from a version of the lost history, which the new one may have
                // given to another change.
                return Ok(TableRead::Restored);
            }
            report_unreadable(context, table, unreadable);
            // A feed has the rows of all partitions; the followed tables use the unnamed one.
            rows.retain(|row| row.name.part.is_empty());
            Ok(TableRead::Rows { rows, version })
        }
        StoreAnswer::HistoryGone => Ok(TableRead::HistoryGone),
        _ => Err(StoreFailure::Unreadable),
    }
}

/// Reads the whole table. The version is that of the first page, so that the feed repeats the
/// changes between two pages.
async fn read_all(
    context: &NodeContext,
    client: &StoreClient,
    table: &str,
) -> Result<TableRead, StoreFailure> {
    let mut all: Vec<StoreRow> = Vec::new();
    let mut first_version: Option<StoreVersion> = None;
    let mut from = String::new();
    loop {
        let call = StoreCall::Range {
            table: table.to_owned(),
            part: String::new(),
            from,
        };
        let StoreAnswer::Rows {
            rows,
            more,
            version,
            unreadable,
        } = client.call(&call).await?
        else {
            return Err(StoreFailure::Unreadable);
        };
        report_unreadable(context, table, unreadable);
        if more && rows.is_empty() {
            // Without a key the next page is not known.
            return Err(StoreFailure::Unreadable);
        }
        let first = *first_version.get_or_insert(version);
        if first.era != version.era {
            // The pages are of different histories.
            return Err(StoreFailure::Unreadable);
        }
        let last = rows.last().map(|row| row.name.key.clone());
        all.extend(rows);
        match last {
            // The next page begins with the least key after the last one.
            Some(key) if more => from = format!("{key}\0"),
            _ => {
                let version = first;
                return Ok(TableRead::Rows { rows: all, version });
            }
        }
    }
}

fn apply_operator_table(context: &NodeContext, rows: &[StoreRow], version: StoreVersion) {
    // The drains come first: with the routes the node begins to serve.
    context.apply_drain_table(rows, version);
    apply_routes(context, rows);
}

fn apply_operator_rows(context: &NodeContext, rows: &[StoreRow], _: StoreVersion) {
    context.apply_drain_rows(rows);
    apply_routes(context, rows);
}

fn apply_routes(context: &NodeContext, rows: &[StoreRow]) {
    for row in rows {
        if row.name.key != context.codec.routes_row.1 {
            continue;
        }
        if let Some(value) = &row.value {
            context.apply_routes(value, RoutesOrigin::Store);
        }
    }
}

/// Decodes the entry of a row; none when the row was removed or cannot be decoded.
fn read_entry(context: &NodeContext, row: &StoreRow) -> Option<BackendEntry> {
    let value = row.value.as_ref()?;
    match (context.codec.read_entry)(&row.name.key, value) {
        Ok(entry) => Some(entry),
        Err(fault) => {
            if context.note_ignored("server_entry", &row.name.key) {
                warn!(context.logger, "ignored a backend server entry that cannot be decoded";
                    "server" => &row.name.key, "version" => %row.version,
                    "field" => fault.field, "error" => fault.rule, "bytes" => fault.bytes);
            }
            None
        }
    }
}

fn replace_fleet(context: &NodeContext, rows: &[StoreRow], version: StoreVersion) {
    let mut entries = Vec::new();
    for row in rows {
        if let Some(entry) = read_entry(context, row) {
            entries.push((row.version, entry));
        }
    }
    let changes = context.fleet().replace(now(), version, entries);
    context.fleet_known.store(true, Ordering::Relaxed);
    context.publish_fleet_changes(&changes, "store");
}

fn update_fleet(context: &NodeContext, rows: &[StoreRow], version: StoreVersion) {
    let mut changes = Vec::new();
    for row in rows {
        let change = match read_entry(context, row) {
            Some(entry) => context.fleet().put(row.version, entry),
            None => context.fleet().remove(now(), row.version, &row.name.key),
        };
        changes.extend(change);
    }
    {
        let mut fleet = context.fleet();
        fleet.complete_to(version);
        changes.extend(fleet.expire(now()));
    }
    context.publish_fleet_changes(&changes, "store");
}
