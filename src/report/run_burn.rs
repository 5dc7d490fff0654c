use {
    super::{BurnTally, MinuteSource, MinuteStamp, ReportError, Result, SummaryTable, render_page},
    crate::{
        adapters::PlatformClient,
        cli::{BurnArgs, ReportArgs, ReportCommand},
    },
    error_stack::{Report, ResultExt},
    std::{
        io::Write,
        time::{Duration, SystemTime},
    },
};

/// Maximum wait for a response from the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// Makes the report that the arguments ask for and writes it to `output`.
///
/// # Errors
/// See [`ReportError`].
pub async fn run(args: &ReportArgs, output: &mut impl Write) -> Result<()> {
    let ReportCommand::Burn(args) = &args.command;
    let source = open_source(args)?;
    let objective = source.objective().await?;
    let mut tally = BurnTally::new(args.until.unwrap_or_else(last_complete));
    source.load(&mut tally).await?;
    let summary = tally.summarize(objective);
    if let Some(path) = &args.html {
        let page = render_page(&summary, tally.series())?;
        let name = path.display().to_string();
        std::fs::write(path, page).change_context(ReportError::Output(name))?;
    }
    let text = if args.json {
        let json = serde_json::to_string_pretty(&summary);
        json.change_context(ReportError::Output("JSON".to_owned()))? + "\n"
    } else {
        SummaryTable::new(&summary).to_string()
    };
    output
        .write_all(text.as_bytes())
        .change_context_lazy(|| ReportError::Output("standard output".to_owned()))
}

fn open_source(args: &BurnArgs) -> Result<MinuteSource> {
    match (args.platform, &args.from_dir) {
        // The operator runs the report outside of every failure domain.
        (Some(address), None) => Ok(MinuteSource::Platform(Box::new(PlatformClient::new(
            address,
            "operator",
            PLATFORM_TIMEOUT,
        )))),
        (None, Some(directory)) => Ok(MinuteSource::Directory(directory.clone())),
        _ => Err(Report::new(ReportError::Source)),
    }
}

fn last_complete() -> MinuteStamp {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    MinuteStamp::last_complete(now.unwrap_or_default())
}
