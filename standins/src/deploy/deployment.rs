use {
    super::{
        ACCOUNT_KEY, CallerCall, CallerClient, CallerReply, DeployError, DeploymentPlan,
        EventStream, ProcessGuard, Result, find_program, wait_until,
    },
    crate::{
        backend::{BackendFault, FaultCommand, RunList},
        platform::FaultChange,
    },
    serde::Serialize,
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        env, fs,
        net::SocketAddr,
        path::PathBuf,
        process::Command,
        sync::atomic::{AtomicU32, Ordering},
        time::Duration,
    },
    toucanring::wire::InstanceReport,
};

/// Time limit for a gateway of a new deployment to serve a request, or for a group to form.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Number of deployments that this process has started; part of their directory names.
static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

/// A gateway or controller process of a deployment.
#[derive(Debug)]
pub struct NodeProcess {
    /// Name in the settings of the process, such as `d0-gateway1`; also names its log file.
    pub name: String,
    /// Guard that kills the process when it is dropped.
    pub process: ProcessGuard,
    /// Address that the process prints as `listening`: for callers of a gateway, for probes of a
    /// controller.
    pub address: SocketAddr,
    /// Address of the peer port, for the exchange between the processes.
    pub peer_address: SocketAddr,
}

/// A running deployment. When it is dropped, all its processes are killed and its directory is
/// removed.
#[derive(Debug)]
pub struct Deployment {
    /// Plan from which the processes were started.
    pub plan: DeploymentPlan,
    /// Gateways, in the order of their start: those of `d0` first.
    pub gateways: Vec<NodeProcess>,
    /// Controllers, in the order of their start: those of `d0` first.
    pub controllers: Vec<NodeProcess>,
    /// Address of the platform stand-in.
    pub platform_address: SocketAddr,
    /// Control address of the backend stand-in, for faults and the run list.
    pub control_address: SocketAddr,
    /// Addresses of the backend servers by the name of their instance.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Client for calls to all processes of the deployment.
    pub client: CallerClient,
    // Version of the operator text that was applied last, 0 before the first one.
    text_version: u64,
    directory: PathBuf,
    _platform: ProcessGuard,
    _backends: ProcessGuard,
}

impl Deployment {
    /// Starts all processes of the plan and waits until each gateway answers a request.
    ///
    /// # Errors
    /// Returns the error of the first step that failed.
    pub async fn start(plan: DeploymentPlan) -> Result<Self> {
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("toucanring-{}-{number}", std::process::id());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let file = |name: &str| directory.join(name);
        let settings_path = write_settings(&file("platform.json"), &plan.platform_settings())?;
        let arguments = ["--listen", "127.0.0.1:0", "--settings", &settings_path];
        let platform = ProcessGuard::start("standin-platform", &arguments, &file("platform.log"))?;
        let platform_address = parse_address(&platform.read_line("listening")?)?;
        let settings = plan.backend_settings(platform_address);
        let settings_path = write_settings(&file("backend.json"), &settings)?;
        let arguments = ["--settings", &settings_path];
        let backends = ProcessGuard::start("standin-backend", &arguments, &file("backend.log"))?;
        let control_address = parse_address(&backends.read_line("control")?)?;
        let mut addresses = BTreeMap::new();
        for server in &settings.servers {
            let line = backends.read_line(&format!("listening {}", server.instance))?;
            addresses.insert(server.instance.clone(), parse_address(&line)?);
        }
        let mut deployment = Self {
            plan,
            gateways: Vec::new(),
            controllers: Vec::new(),
            platform_address,
            control_address,
            addresses,
            client: CallerClient::default(),
            text_version: 0,
            directory,
            _platform: platform,
            _backends: backends,
        };
        deployment.replace_instance_list(&[]).await?;
        deployment.apply_operator_text()?;
        for domain in deployment.plan.domain_names() {
            for number in 0..deployment.plan.controllers {
                deployment.start_controller(&domain, number)?;
            }
            for number in 0..deployment.plan.gateways {
                deployment.start_gateway(&domain, number)?;
            }
        }
        deployment.wait_serving().await?;
        Ok(deployment)
    }

    /// Starts controller `number` of a failure domain; its peers are the processes started so far.
    ///
    /// # Errors
    /// [`DeployError::Program`] or [`DeployError::Line`] when the process does not start.
    pub fn start_controller(&mut self, domain: &str, number: usize) -> Result<()> {
        let name = format!("{domain}-controller{number}");
        let node = self.start_node("toucanring-controller", &name, domain)?;
        self.controllers.push(node);
        Ok(())
    }

    /// Starts gateway `number` of a failure domain; its peers are the processes started so far.
    ///
    /// # Errors
    /// [`DeployError::Program`] or [`DeployError::Line`] when the process does not start.
    pub fn start_gateway(&mut self, domain: &str, number: usize) -> Result<()> {
        let name = format!("{domain}-gateway{number}");
        let node = self.start_node("toucanring-gateway", &name, domain)?;
        self.gateways.push(node);
        Ok(())
    }

    /// Peer addresses of all controllers and gateways started so far, killed ones included.
    #[must_use]
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        let nodes = self.controllers.iter().chain(&self.gateways);
        nodes.map(|node| node.peer_address).collect()
    }

    fn start_node(&self, program: &str, name: &str, domain: &str) -> Result<NodeProcess> {
        let peers = self.peer_addresses();
        let settings = self
            .plan
            .process_settings(name, domain, self.platform_address, &peers);
        let file = self.directory.join(format!("{name}.json"));
        let settings_path = write_settings(&file, &settings)?;
        let log = self.directory.join(format!("{name}.log"));
        let process = ProcessGuard::start(program, &["--settings", &settings_path], &log)?;
        Ok(NodeProcess {
            name: name.to_owned(),
            address: parse_address(&process.read_line("listening")?)?,
            peer_address: parse_address(&process.read_line("peer")?)?,
            process,
        })
    }

    /// Applies the operator text of the plan with `toucanctl`, on top of the last applied version.
    ///
    /// # Errors
    /// [`DeployError::Program`] with the exit status and output of `toucanctl`.
    pub fn apply_operator_text(&mut self) -> Result<()> {
        let text = self.plan.operator_text(&self.addresses);
        let text_path = write_settings(&self.directory.join("operator.json"), &text)?;
        let peers = self.peer_addresses();
        let platform = self.platform_address;
        let settings = self.plan.process_settings("ctl", "d0", platform, &peers);
        let settings_path = write_settings(&self.directory.join("ctl.json"), &settings)?;
        let base = self.text_version.to_string();
        let output = Command::new(find_program("toucanctl")?)
            .args([
                "--settings",
                &settings_path,
                "apply",
                &text_path,
                "--base",
                &base,
            ])
            .output()?;
        if output.status.success() {
            self.text_version += 1;
            return Ok(());
        }
        Err(DeployError::Program(format!("toucanctl: {output:?}")))
    }

    /// Replaces the platform's instance list: all instances, of which these are leaving. The
    /// status of the response is not checked.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no complete response arrives.
    pub async fn replace_instance_list(&self, leaving: &[&str]) -> Result<()> {
        let rows = self.plan.instance_rows(&self.addresses, leaving);
        let body = json!({"instances": rows}).to_string();
        let call = CallerCall::post("/v1/instances", body);
        self.client.send(self.platform_address, call).await?;
        Ok(())
    }

    /// Injects a fault into a backend server, or ends one.
    ///
    /// # Errors
    /// [`DeployError::Call`] when the control address does not accept the fault.
    pub async fn fault(&self, instance: &str, fault: BackendFault) -> Result<()> {
        let command = FaultCommand {
            instance: Some(instance.to_owned()),
            fault,
        };
        self.post(self.control_address, "/control/faults", &command)
            .await
    }

    /// Changes the faults of the platform; a field left at `None` keeps its fault as it is.
    ///
    /// # Errors
    /// [`DeployError::Call`] when the platform does not accept the change.
    pub async fn change_platform_faults(&self, change: &FaultChange) -> Result<()> {
        self.post(self.platform_address, "/v1/faults", change).await
    }

    async fn post(&self, address: SocketAddr, path: &str, value: &impl Serialize) -> Result<()> {
        let body =
            serde_json::to_vec(value).map_err(|error| DeployError::Call(error.to_string()))?;
        let reply = self
            .client
            .send(address, CallerCall::post(path, body))
            .await?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(DeployError::Call(format!("{path}: {reply:?}")))
    }

    /// Runs that the backend stand-in recorded, only those with the idempotency key if one is
    /// given, and all refusals.
    ///
    /// # Errors
    /// [`DeployError::Call`] when the list is not received.
    pub async fn runs(&self, key: Option<&str>) -> Result<RunList> {
        let path = key.map_or_else(
            || "/control/runs".to_owned(),
            |key| format!("/control/runs?key={key}"),
        );
        let reply = self
            .client
            .send(self.control_address, CallerCall::get(&path))
            .await?;
        reply.decode()
    }

    /// Report of a backend server; `None` when the instance is unknown or no report arrives.
    pub async fn report(&self, instance: &str) -> Option<InstanceReport> {
        let address = *self.addresses.get(instance)?;
        let call = CallerCall::get("/control/report");
        let reply = self.client.send(address, call).await.ok()?;
        reply.decode().ok()
    }

    /// Sends a call through a gateway, with the key of the client account unless the call has an
    /// `Authorization` header.
    ///
    /// # Errors
    /// [`DeployError::Call`] when the response is not complete within 30 s.
    pub async fn call(&self, gateway: usize, call: CallerCall) -> Result<CallerReply> {
        let call = with_account_key(call);
        self.client.send(self.gateways[gateway].address, call).await
    }

    /// Opens a streamed call at any address, with the key of the client account unless the call
    /// has an `Authorization` header.
    ///
    /// # Errors
    /// [`DeployError::Call`] when no response head arrives or its status is not 200.
    pub async fn stream_from(&self, address: SocketAddr, call: CallerCall) -> Result<EventStream> {
        self.client.stream(address, with_account_key(call)).await
    }

    /// Address, group and epoch of the first instance, by name, that is the head (rank 0 member)
    /// of a group.
    ///
    /// # Errors
    /// [`DeployError::Wait`] when there is none within 30 s.
    pub async fn find_group_head(&self) -> Result<(SocketAddr, String, String)> {
        wait_until(
            "an instance is the head of a group",
            START_TIMEOUT,
            || async {
                for (instance, address) in &self.addresses {
                    let membership = self.report(instance).await?.membership;
                    let Some(head) = membership.filter(|member| member.rank == 0) else {
                        continue;
                    };
                    return Some((*address, head.group.0, head.epoch.to_string()));
                }
                None
            },
        )
        .await
    }

    /// Opens a streamed call through a gateway; see [`Self::stream_from`].
    ///
    /// # Errors
    /// [`DeployError::Call`] when no response head arrives or its status is not 200.
    pub async fn stream(&self, gateway: usize, call: CallerCall) -> Result<EventStream> {
        self.stream_from(self.gateways[gateway].address, call).await
    }

    /// Waits until each gateway answers a chat completion.
    ///
    /// # Errors
    /// [`DeployError::Wait`] when a gateway does not within 30 s.
    pub async fn wait_serving(&self) -> Result<()> {
        for gateway in 0..self.gateways.len() {
            let condition = format!("gateway {gateway} answers a request");
            wait_until(&condition, START_TIMEOUT, || async {
                let reply = self.call(gateway, chat_call("ready?", 1, false)).await;
                reply.ok().filter(|reply| reply.status.is_success())
            })
            .await?;
        }
        Ok(())
    }

    /// Log of a process, by the name of the process, for messages of failed checks; empty when it
    /// can't be read.
    #[must_use]
    pub fn log(&self, name: &str) -> String {
        fs::read_to_string(self.directory.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.controllers.clear();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Creates a chat completion request to the model service `chat`; `tokens` is its `max_tokens`.
#[must_use]
pub fn chat_call(prompt: &str, tokens: u32, stream: bool) -> CallerCall {
    let body = json!({
        "model": "chat", "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens, "stream": stream,
    });
    CallerCall::post("/v1/chat/completions", body.to_string())
}

fn with_account_key(call: CallerCall) -> CallerCall {
    let has_key = call.headers.iter().any(|(name, _)| name == "Authorization");
    if has_key {
        return call;
    }
    call.header("Authorization", &format!("Bearer {ACCOUNT_KEY}"))
}

/// Writes a settings file and returns its path, as an argument for a program.
fn write_settings(path: &std::path::Path, value: &impl Serialize) -> Result<String> {
    let body = serde_json::to_vec_pretty(value).map_err(std::io::Error::from)?;
    fs::write(path, body)?;
    Ok(path.display().to_string())
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| DeployError::Line(format!("{text:?} is not an address")))
}

/// Decodes the JSON data of an event; `None` for `[DONE]` and for events without data.
#[must_use]
pub fn event_data(event: &str) -> Option<Value> {
    let data = event.lines().find_map(|line| line.strip_prefix("data:"))?;
    serde_json::from_str(data).ok()
}
