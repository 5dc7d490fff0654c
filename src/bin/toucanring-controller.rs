//! Controller of the replica groups of one failure domain.

use {
    std::process::ExitCode,
    toucanring::{
        cli::{ControllerArgs, EXIT_FAILED, check_settings, load_settings, read_args},
        controller::run_controller,
    },
};

#[tokio::main]
async fn main() -> ExitCode {
    let args: ControllerArgs = match read_args("toucanring-controller") {
        Ok(args) => args,
        Err(code) => return code,
    };
    if args.check {
        return check_settings(&args.settings);
    }
    let settings = match load_settings(&args.settings) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    match run_controller(&settings).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("toucanring-controller: {error:?}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}
