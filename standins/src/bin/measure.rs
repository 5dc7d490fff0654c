//! Runs one named measurement: `measure NAME [--seed N] [--seeds N]`.

use {argh::FromArgs, standins::measure::measure_configuration, std::process::ExitCode};

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
    let figures = match &*args.name {
        "configuration" => measure_configuration(args.seed),
        _ => Vec::new(),
    };
    for figure in &figures {
        println!("{figure}");
    }
    if !figures.is_empty() {
        return ExitCode::SUCCESS;
    }
    eprintln!(
        "measurement {:?} does not exist (seed {}, seeds {})",
        args.name, args.seed, args.seeds
    );
    ExitCode::from(2)
}
