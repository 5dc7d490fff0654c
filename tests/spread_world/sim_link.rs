use {
    std::{sync::Mutex, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream},
        time::Instant,
    },
};

/// Bytes that pass a link at a time.
const CHUNK_BYTES: usize = 16 * 1_024;

/// Time from one node to another, beside that for the bytes.
const LATENCY: Duration = Duration::from_millis(1);

/// The link of a node: all its connections share the bandwidth, each direction for itself.
#[derive(Debug)]
pub struct SimLink {
    bytes_per_s: u64,
    out_free_at: Mutex<Instant>,
    in_free_at: Mutex<Instant>,
}

impl SimLink {
    pub fn new(link_mbps: u32) -> Self {
        Self {
            bytes_per_s: u64::from(link_mbps) * 125_000,
            out_free_at: Mutex::new(Instant::now()),
            in_free_at: Mutex::new(Instant::now()),
        }
    }

    fn reserve(&self, direction: &Mutex<Instant>, bytes: usize) -> Instant {
        let mut free_at = direction.lock().unwrap();
        let micros = 1_000_000 * bytes as u64 / self.bytes_per_s;
        *free_at = (*free_at).max(Instant::now()) + Duration::from_micros(micros);
        *free_at
    }
}

/// Passes bytes between the ends of a connection until one of them closes it.
pub async fn join(
    client: DuplexStream,
    server: DuplexStream,
    (client_link, server_link): (&SimLink, &SimLink),
) {
    let (client_in, client_out) = tokio::io::split(client);
    let (server_in, server_out) = tokio::io::split(server);
    tokio::select! {
        () = pass(client_in, server_out, client_link, server_link) => {}
        () = pass(server_in, client_out, server_link, client_link) => {}
    }
}

async fn pass(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    sender: &SimLink,
    receiver: &SimLink,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok(count @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let sent_at = sender.reserve(&sender.out_free_at, count);
        let received_at = receiver.reserve(&receiver.in_free_at, count);
        tokio::time::sleep_until(sent_at.max(received_at) + LATENCY).await;
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
