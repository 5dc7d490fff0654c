use {
    slog::{Drain, Logger, o},
    std::io::IsTerminal,
};

/// Maximum log records that wait to be written; further ones are dropped and counted.
const MAX_QUEUED_RECORDS: usize = 1_024;

/// Creates the root logger, which writes to standard error: in a readable format if that is a
/// terminal, otherwise as JSON. Each record carries the process name.
pub fn start_log(process: &str) -> Logger {
    let values = o!("process" => process.to_owned());
    if std::io::stderr().is_terminal() {
        let decorator = slog_term::TermDecorator::new().stderr().build();
        let drain = slog_term::FullFormat::new(decorator).build().fuse();
        let drain = slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS);
        return Logger::root(drain.build().fuse(), values);
    }
    let drain = slog_json::Json::default(std::io::stderr()).fuse();
    let drain = slog_async::Async::new(drain).chan_size(MAX_QUEUED_RECORDS);
    Logger::root(drain.build().fuse(), values)
}
