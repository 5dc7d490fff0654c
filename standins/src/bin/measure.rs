//! Runs one named measurement: `measure NAME [--seed N] [--seeds N]`.

use {argh::FromArgs, standins::measure, std::process::ExitCode};

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

fn main() -> ExitCode {
    let args: MeasureArgs = argh::from_env();
    match args.name.as_str() {
        "groups" => {
            for figure in measure::groups(args.seed, args.seeds) {
                println!("{figure}");
            }
        }
        name => {
            eprintln!("measurement {name:?} does not exist");
            return ExitCode::from(2);
        }
    }
    ExitCode::SUCCESS
}
