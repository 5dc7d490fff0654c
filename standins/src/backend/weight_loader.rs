use {
    super::BackendServer,
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
    toucanring::{adapters::JsonClient, wire::WeightRead},
};

/// Parts in which a shard is loaded; `bytes_left` is updated after each.
const LOAD_PARTS: u64 = 20;

/// Time limit of one read from the weight store.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between a failed read and the next try.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Loads shards from the platform's weight store, or at a fixed rate when there is no platform.
#[derive(Debug)]
pub struct WeightLoader {
    /// Address of the platform; `None` loads at `bytes_per_s`.
    pub platform: Option<SocketAddr>,
    /// Load rate of each server without a platform.
    pub bytes_per_s: f64,
}

impl WeightLoader {
    /// Loads until the shard is complete, another load replaces this one, or the server goes
    /// down. Failed reads are retried without limit.
    pub async fn load(&self, server: &BackendServer, generation: u64) {
        let client = JsonClient::new(&server.settings.failure_domain);
        let total_bytes = server.lock().bytes_left;
        let part_bytes = total_bytes.div_ceil(LOAD_PARTS).max(1);
        loop {
            let bytes_left = {
                let state = server.lock();
                if state.load_generation != generation
                    || server.live_incarnation() != Some(state.incarnation)
                {
                    return;
                }
                state.bytes_left
            };
            if bytes_left == 0 {
                return;
            }
            let bytes = part_bytes.min(bytes_left);
            server.pause_gate.wait_open().await;
            if !self.read_store(&client, bytes).await {
                tokio::time::sleep(RETRY_DELAY).await;
                continue;
            }
            let mut state = server.lock();
            if state.load_generation == generation {
                state.bytes_left -= bytes;
            }
        }
    }

    /// Reads from the store; false when the call failed or its status was not a success.
    async fn read_store(&self, client: &JsonClient, bytes: u64) -> bool {
        let Some(platform) = self.platform else {
            #[allow(clippy::cast_precision_loss)]
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            tokio::time::sleep(time).await;
            return true;
        };
        let read = WeightRead { bytes };
        let path = "/v1/weights/read";
        let call = client.send(Method::POST, platform, path, &read, READ_TIMEOUT);
        call.await.is_ok_and(|reply| reply.status.is_success())
    }
}
