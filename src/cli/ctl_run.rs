use {
    super::{
        CtlAccess, CtlArgs, CtlCommand, EXIT_FAILED, EXIT_USAGE, Result,
        ctl_exit::{fail, print_line},
        ctl_state, ctl_texts,
    },
    argh::FromArgs,
    std::io::Read,
};

/// Maximum number of bytes read as a bearer key; further ones are ignored.
const MAX_KEY_BYTES: u64 = 4_096;

/// Runs `toucanctl` with the arguments after the program name.
///
/// # Errors
/// Returns the exit code, after printing the reason to standard error.
pub async fn run_ctl(arguments: &[String]) -> Result<()> {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let args = match CtlArgs::from_args(&["toucanctl"], &words) {
        Ok(args) => args,
        Err(exit) if exit.status.is_ok() => {
            print_line!("{}", exit.output);
            return Ok(());
        }
        Err(exit) => return fail(EXIT_USAGE, exit.output),
    };
    let open = || CtlAccess::open(&args.settings);
    let json = args.json;
    match args.command {
        CtlCommand::Check(mut check) => {
            check.json |= json;
            ctl_texts::check(&check)
        }
        CtlCommand::Diff(mut diff) => {
            diff.json |= json;
            ctl_texts::diff(&open()?, &diff).await
        }
        CtlCommand::Apply(mut apply) => {
            apply.json |= json;
            ctl_texts::apply(&open()?, &apply).await
        }
        CtlCommand::History(mut history) => {
            history.json |= json;
            ctl_texts::history(&open()?, &history).await
        }
        CtlCommand::Status(mut status) => {
            status.json |= json;
            ctl_state::status(&open()?, &status).await
        }
        CtlCommand::Groups(mut groups) => {
            groups.json |= json;
            ctl_state::groups(&open()?, &groups).await
        }
        CtlCommand::Drain(mut drain) => {
            drain.json |= json;
            ctl_texts::drain(&open()?, &drain).await
        }
        CtlCommand::KeyDigest(_) => key_digest(),
    }
}

fn key_digest() -> Result<()> {
    let mut key = String::new();
    let mut input = std::io::stdin().take(MAX_KEY_BYTES);
    if let Err(error) = input.read_to_string(&mut key) {
        return fail(EXIT_FAILED, format!("the key cannot be read: {error}"));
    }
    // Drops the line break that ends a key typed into a terminal.
    let key = key.trim_end_matches(['\r', '\n']);
    if key.is_empty() {
        return fail(EXIT_USAGE, "standard input has no key");
    }
    print_line!("{}", blake3::hash(key.as_bytes()).to_hex());
    Ok(())
}
