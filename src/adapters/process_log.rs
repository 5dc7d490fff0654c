use {
    slog::{Drain, Logger, o},
    std::io::IsTerminal,
};

/// Records that may wait for the writer; more are dropped and counted.
const LOG_QUEUE_RECORDS: usize = 1_024;

/// Creates the root logger on standard error: JSON, or a readable format when
/// standard error is a terminal.
pub fn start_log(process: &str) -> Logger {
    let values = o!("process" => process.to_owned());
    if std::io::stderr().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        let drain = slog_async::Async::new(drain).chan_size(LOG_QUEUE_RECORDS);
        return Logger::root(drain.build().fuse(), values);
    }
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).chan_size(LOG_QUEUE_RECORDS);
    Logger::root(drain.build().fuse(), values)
}
