use {
    super::{EXIT_FAILED, check_settings, load_settings, print_addresses, stop_signal},
    crate::gateway::GatewayServer,
    argh::FromArgs,
    std::{path::PathBuf, process::ExitCode},
};

/// Serves callers: admission, routing, retries, claims, streams and drain.
///
/// Prints `listening ADDR` and `peer ADDR` when both ports are open. SIGTERM
/// turns /readyz off, waits for `drain_ms` and lets running requests finish.
#[derive(Debug, FromArgs)]
#[argh(
    example = "{command_name} --settings /etc/toucanring/gateway.json",
    example = "{command_name} --settings gateway.json --check"
)]
#[argh(
    error_code(1, "The gateway could not run."),
    error_code(2, "The arguments are wrong."),
    error_code(3, "The settings have faults.")
)]
pub struct GatewayArgs {
    /// file with the process settings in JSON
    #[argh(option)]
    pub settings: PathBuf,

    /// check the settings, print all faults and exit
    #[argh(switch)]
    pub check: bool,
}

impl GatewayArgs {
    /// Runs the gateway until SIGTERM or SIGINT.
    pub async fn run(self) -> ExitCode {
        if self.check {
            return check_settings(&self.settings);
        }
        let settings = match load_settings(&self.settings) {
            Ok(settings) => settings,
            Err(code) => return code,
        };
        let server = match GatewayServer::start(&settings).await {
            Ok(server) => server,
            Err(error) => return fail(&error),
        };
        match server.address() {
            Ok(address) => print_addresses(address, server.peer_address()),
            Err(error) => return fail(&error),
        }
        server.run(stop_signal()).await;
        ExitCode::SUCCESS
    }
}

fn fail(error: &error_stack::Report<crate::gateway::GatewayError>) -> ExitCode {
    eprintln!("{error:?}");
    ExitCode::from(EXIT_FAILED)
}
