use {
    super::BackendServer,
    hyper::Method,
    std::{net::SocketAddr, time::Duration},
    toucanring::{adapters::JsonClient, wire::WeightRead},
};

/// Parts of a shard load; progress is reported after each.
const LOAD_PARTS: u64 = 20;

/// Bound of one read from the weight store.
const READ_TIMEOUT: Duration = Duration::from_mins(1);

/// Wait after a failed read.
const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Loads shards through the platform's weight store or at a set rate.
#[derive(Debug)]
pub struct WeightLoader {
    /// Platform, if any.
    pub platform: Option<SocketAddr>,
    /// Rate without a platform.
    pub bytes_per_s: f64,
}

impl WeightLoader {
    /// Loads until the shard is complete or another load replaces this one.
    pub async fn load(&self, server: &BackendServer, generation: u64) {
        let client = JsonClient::new(&server.settings.failure_domain);
        let total = server.lock().bytes_left;
        let part = total.div_ceil(LOAD_PARTS).max(1);
        loop {
            let left = {
                let state = server.lock();
                if state.load_generation != generation || server.up() != Some(state.incarnation) {
                    return;
                }
                state.bytes_left
            };
            if left == 0 {
                return;
            }
            let bytes = part.min(left);
            server.pause.pass().await;
            if !self.read(&client, bytes).await {
                tokio::time::sleep(RETRY_WAIT).await;
                continue;
            }
            let mut state = server.lock();
            if state.load_generation == generation {
                state.bytes_left -= bytes;
            }
        }
    }

    /// Reads from the store; false when it gave no good answer.
    async fn read(&self, client: &JsonClient, bytes: u64) -> bool {
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
