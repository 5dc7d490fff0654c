//! Runs one named measurement: `measure NAME [--seed N] [--seeds N]`.

use {
    argh::FromArgs,
    standins::measure::{self, Figure},
    std::{error::Error, process::ExitCode},
};

/// Runs a measurement and prints one line per figure.
#[derive(Debug, FromArgs)]
struct MeasureArgs {
    /// measurement to run
    #[argh(positional)]
    name: String,

    /// first seed
    #[argh(option, default = "1")]
    seed: u64,

    /// number of seeds
    #[argh(option, default = "20")]
    seeds: u64,
}

type Outcome = Result<Vec<Figure>, Box<dyn Error>>;

fn main() -> ExitCode {
    let args: MeasureArgs = argh::from_env();
    let outcome: Outcome = match args.name.as_str() {
        "configuration" => Ok(measure::configuration(args.seed)),
        "capacity" => measure::capacity().map_err(Into::into),
        "fleet" => Ok(measure::fleet()),
        "groups" => Ok(measure::groups(args.seed, args.seeds)),
        "peers" => Ok(measure::peers()),
        "path" => measure::path().map_err(Into::into),
        "withdraw" => measure::withdraw().map_err(Into::into),
        "requests" => measure::requests(args.seed).map_err(Into::into),
        name => Err(format!("measurement {name:?} does not exist").into()),
    };
    match outcome {
        Ok(figures) => {
            for figure in figures {
                println!("{figure}");
            }
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}: {error}", args.name);
            ExitCode::from(2)
        }
    }
}
