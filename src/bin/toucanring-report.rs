//! Prints the service level, computed from the minutes that the processes have stored.

use {
    std::process::ExitCode,
    toucanring::{
        cli::{ReportArgs, read_args},
        report,
    },
};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: ReportArgs = match read_args("toucanring-report") {
        Ok(args) => args,
        Err(code) => return code,
    };
    match report::run(&args, &mut std::io::stdout().lock()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("toucanring-report: {report:#}");
            ExitCode::FAILURE
        }
    }
}
