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

/// Longest time until a new deployment serves its first request.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Distinguishes the directories of deployments of one process.
static DEPLOYMENTS: AtomicU32 = AtomicU32::new(0);

/// A gateway or controller of a deployment.
#[derive(Debug)]
pub struct NodeProcess {
    /// Process name.
    pub name: String,
    /// The process.
    pub process: ProcessGuard,
    /// Address for callers or probes.
    pub address: SocketAddr,
    /// Address of the peer port.
    pub peer_address: SocketAddr,
}

/// A running deployment; all its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Deployment {
    /// What was started.
    pub plan: DeploymentPlan,
    /// Gateways, by failure domain in order.
    pub gateways: Vec<NodeProcess>,
    /// Controllers, by failure domain in order.
    pub controllers: Vec<NodeProcess>,
    /// Address of the platform.
    pub platform_address: SocketAddr,
    /// Control address of the backend stand-in.
    pub control_address: SocketAddr,
    /// Addresses of the backend servers by instance.
    pub addresses: BTreeMap<String, SocketAddr>,
    /// Client of this deployment.
    pub client: CallerClient,
    // Version of the operator text applied last.
    version: u64,
    directory: PathBuf,
    _platform: ProcessGuard,
    _backends: ProcessGuard,
}

impl Deployment {
    /// Starts everything and waits until each gateway answers a request.
    ///
    /// # Errors
    /// The first step that failed.
    pub async fn start(plan: DeploymentPlan) -> Result<Self> {
        let number = DEPLOYMENTS.fetch_add(1, Ordering::Relaxed);
        let name = format!("toucanring-{}-{number}", std::process::id());
        let directory = env::temp_dir().join(name);
        fs::create_dir_all(&directory)?;
        let file = |name: &str| directory.join(name);
        let arguments = write_settings(&file("platform.json"), &plan.platform_settings())?;
        let arguments = ["--listen", "127.0.0.1:0", "--settings", &arguments];
        let platform = ProcessGuard::start("standin-platform", &arguments, &file("platform.log"))?;
        let platform_address = parse_address(&platform.read_line("listening")?)?;
        let settings = plan.backend_settings(platform_address);
        let arguments = write_settings(&file("backend.json"), &settings)?;
        let arguments = ["--settings", &arguments];
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
            version: 0,
            directory,
            _platform: platform,
            _backends: backends,
        };
        deployment.list_leaving(&[]).await?;
        deployment.apply()?;
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

    /// Starts a controller.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub fn start_controller(&mut self, domain: &str, number: usize) -> Result<()> {
        let name = format!("{domain}-controller{number}");
        let node = self.start_node("toucanring-controller", &name, domain)?;
        self.controllers.push(node);
        Ok(())
    }

    /// Starts a gateway.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub fn start_gateway(&mut self, domain: &str, number: usize) -> Result<()> {
        let name = format!("{domain}-gateway{number}");
        let node = self.start_node("toucanring-gateway", &name, domain)?;
        self.gateways.push(node);
        Ok(())
    }

    /// Peer addresses of all processes started so far.
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
        let path = self.directory.join(format!("{name}.json"));
        let arguments = write_settings(&path, &settings)?;
        let log = self.directory.join(format!("{name}.log"));
        let process = ProcessGuard::start(program, &["--settings", &arguments], &log)?;
        Ok(NodeProcess {
            name: name.to_owned(),
            address: parse_address(&process.read_line("listening")?)?,
            peer_address: parse_address(&process.read_line("peer")?)?,
            process,
        })
    }

    /// Applies the operator text of the plan with `toucanctl`.
    ///
    /// # Errors
    /// [`DeployError::Program`] with what `toucanctl` printed.
    pub fn apply(&mut self) -> Result<()> {
        let text = self.plan.operator_text(&self.addresses);
        let text = write_settings(&self.directory.join("operator.json"), &text)?;
        let peers = self.peer_addresses();
        let platform = self.platform_address;
        let settings = self.plan.process_settings("ctl", "d0", platform, &peers);
        let settings = write_settings(&self.directory.join("ctl.json"), &settings)?;
        let base = self.version.to_string();
        let output = Command::new(find_program("toucanctl")?)
            .args(["--settings", &settings, "apply", &text, "--base", &base])
            .output()?;
        if output.status.success() {
            self.version += 1;
            return Ok(());
        }
        Err(DeployError::Program(format!("toucanctl: {output:?}")))
    }

    /// Replaces the platform's instance list, with these instances as leaving.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub async fn list_leaving(&self, leaving: &[&str]) -> Result<()> {
        let rows = self.plan.instance_rows(&self.addresses, leaving);
        let body = json!({"instances": rows}).to_string();
        let call = CallerCall::post("/v1/instances", body);
        self.client.send(self.platform_address, call).await?;
        Ok(())
    }

    /// Puts a backend server under a fault.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub async fn fault(&self, instance: &str, fault: BackendFault) -> Result<()> {
        let command = FaultCommand {
            instance: Some(instance.to_owned()),
            fault,
        };
        self.post(self.control_address, "/control/faults", &command)
            .await
    }

    /// Changes the faults of the platform.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub async fn platform_fault(&self, change: &FaultChange) -> Result<()> {
        self.post(self.platform_address, "/v1/faults", change).await
    }

    async fn post(&self, to: SocketAddr, path: &str, value: &impl Serialize) -> Result<()> {
        let body =
            serde_json::to_vec(value).map_err(|error| DeployError::Call(error.to_string()))?;
        let reply = self.client.send(to, CallerCall::post(path, body)).await?;
        if reply.status.is_success() {
            return Ok(());
        }
        Err(DeployError::Call(format!("{path}: {reply:?}")))
    }

    /// Runs that the backend stand-in counted, of one key if given.
    ///
    /// # Errors
    /// See [`DeployError`].
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

    /// Report of a backend server; `None` when it gives none.
    pub async fn report(&self, instance: &str) -> Option<InstanceReport> {
        let address = *self.addresses.get(instance)?;
        let call = CallerCall::get("/control/report");
        let reply = self.client.send(address, call).await.ok()?;
        reply.decode().ok()
    }

    /// Sends a call of the client account through a gateway.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub async fn call(&self, gateway: usize, call: CallerCall) -> Result<CallerReply> {
        let call = with_key(call);
        self.client.send(self.gateways[gateway].address, call).await
    }

    /// Opens a streamed call of the client account at any address.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub async fn stream_from(&self, address: SocketAddr, call: CallerCall) -> Result<EventStream> {
        self.client.stream(address, with_key(call)).await
    }

    /// Address, group and epoch of the first instance that leads a group.
    ///
    /// # Errors
    /// [`DeployError::Wait`] when no instance does within 30 s.
    pub async fn lead_group(&self) -> Result<(SocketAddr, String, String)> {
        wait_until("an instance leads a group", START_LIMIT, || async {
            for (instance, address) in &self.addresses {
                let membership = self.report(instance).await?.membership;
                let Some(place) = membership.filter(|place| place.rank == 0) else {
                    continue;
                };
                return Some((*address, place.group.0, place.epoch.to_string()));
            }
            None
        })
        .await
    }

    /// Opens a streamed call of the client account through a gateway.
    ///
    /// # Errors
    /// See [`DeployError`].
    pub async fn stream(&self, gateway: usize, call: CallerCall) -> Result<EventStream> {
        self.stream_from(self.gateways[gateway].address, call).await
    }

    /// Waits until each gateway answers a chat completion.
    ///
    /// # Errors
    /// [`DeployError::Wait`] after 30 s.
    pub async fn wait_serving(&self) -> Result<()> {
        for gateway in 0..self.gateways.len() {
            let what = format!("gateway {gateway} answers a request");
            wait_until(&what, START_LIMIT, || async {
                let reply = self.call(gateway, chat_call("ready?", 1, false)).await;
                reply.ok().filter(|reply| reply.status.is_success())
            })
            .await?;
        }
        Ok(())
    }

    /// Last lines of the log of a process, for messages of failed checks.
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

/// A chat completion of the model service `chat`.
#[must_use]
pub fn chat_call(prompt: &str, tokens: u32, stream: bool) -> CallerCall {
    let body = json!({
        "model": "chat", "messages": [{"role": "user", "content": prompt}],
        "max_tokens": tokens, "stream": stream,
    });
    CallerCall::post("/v1/chat/completions", body.to_string())
}

fn with_key(call: CallerCall) -> CallerCall {
    let has_key = call.headers.iter().any(|(name, _)| name == "Authorization");
    if has_key {
        return call;
    }
    call.header("Authorization", &format!("Bearer {ACCOUNT_KEY}"))
}

fn write_settings(path: &std::path::Path, value: &impl Serialize) -> Result<String> {
    let body = serde_json::to_vec_pretty(value).map_err(std::io::Error::from)?;
    fs::write(path, body)?;
    Ok(path.display().to_string())
}

fn parse_address(text: &str) -> Result<SocketAddr> {
    text.parse()
        .map_err(|_| DeployError::Line(format!("{text:?} is not an address")))
}

/// Decodes the JSON of an event; `None` for `[DONE]` and for events without data.
#[must_use]
pub fn event_data(event: &str) -> Option<Value> {
    let data = event.lines().find_map(|line| line.strip_prefix("data:"))?;
    serde_json::from_str(data).ok()
}
