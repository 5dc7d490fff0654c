//! Tells the other nodes which requests and prompt parts crash servers.

use {
    super::{PeerExchange, node_clock::now},
    crate::core::{
        peers::{CrashDatagram, NodeDatagram},
        retry::CrashNews,
    },
    rand::seq::IndexedRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::timeout,
};

/// Time between two samples of the blocks in force, for nodes that have missed them.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Nodes that get a sample, drawn at random from those heard lately.
const SAMPLE_PEERS: usize = 3;

/// Shortest time between two datagrams with news, so that a burst of crashes shares them.
const MIN_NEWS_INTERVAL: Duration = Duration::from_millis(20);

impl PeerExchange {
    /// Sends new evidence to all nodes at once, repeats it, and sends samples of the blocks.
    pub(super) async fn send_crash_news(self: Arc<Self>) {
        let mut sampled_at = now();
        loop {
            let next = {
                let tracker = self.context.crash_tracker();
                tracker.next_due().unwrap_or(Duration::MAX)
            };
            let wait = next.min(sampled_at + SAMPLE_INTERVAL).saturating_sub(now());
            // The wait ends early when there is new evidence.
            let _ = timeout(wait, self.context.crash_news_due.notified()).await;
            let changes = self.context.crash_tracker().review(now());
            self.context.apply_crash_changes(&changes, "review");
            let news = self.context.crash_tracker().take_news(now());
            if !news.is_empty() {
                let addresses = self.context.peers().heard(now());
                self.send_news(news, &addresses).await;
            }
            if now() >= sampled_at + SAMPLE_INTERVAL {
                sampled_at = now();
                self.send_sample().await;
            }
            tokio::time::sleep(MIN_NEWS_INTERVAL).await;
        }
    }

    async fn send_sample(&self) {
        let news = {
            let mut tracker = self.context.crash_tracker();
            tracker.expire(now());
            tracker.sample_blocks(now())
        };
        if news.is_empty() {
            return;
        }
        let heard = self.context.peers().heard(now());
        let chosen = heard.sample(&mut rand::rng(), SAMPLE_PEERS);
        let chosen: Vec<SocketAddr> = chosen.copied().collect();
        self.send_news(news, &chosen).await;
    }

    async fn send_news(&self, news: CrashNews, addresses: &[SocketAddr]) {
        let datagram = CrashDatagram {
            address: self.context.settings.peer_listen,
            news,
        };
        let bytes = self.seal(&NodeDatagram::Crashes(datagram));
        for address in addresses {
            // No retry: reports are repeated, and samples follow.
            let _ = self.socket.send_to(&bytes, address).await;
        }
    }
}
