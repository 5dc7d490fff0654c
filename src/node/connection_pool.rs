use {
    super::{ExchangeFailure, HttpConnection},
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Longest wait for a connection to a backend server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time of a kept connection when the server names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);

/// Part of the server's idle time that is not used, so that a request does not
/// meet the server's close.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Kept connections per server.
const MAX_IDLE_PER_SERVER: usize = 32;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

/// Kept connections to backend servers.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a kept connection that is still good.
    pub fn take(&self, address: SocketAddr) -> Option<HttpConnection> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(candidate) = kept.pop() {
            let good = candidate.connection.is_ready() && Instant::now() < candidate.until;
            if good {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// [`ExchangeFailure::NotSent`] when the server cannot be reached.
    pub async fn open(&self, address: SocketAddr) -> Result<HttpConnection, ExchangeFailure> {
        HttpConnection::open(address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection whose last answer was read to its end. `idle` is the
    /// idle time that the server named.
    pub fn keep(&self, address: SocketAddr, connection: HttpConnection, idle: Option<Duration>) {
        let usable = idle.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        if usable.is_zero() {
            return;
        }
        let mut pool = self.lock();
        let kept = pool.entry(address).or_default();
        if kept.len() >= MAX_IDLE_PER_SERVER {
            return;
        }
        kept.push(IdleConnection {
            connection,
            until: Instant::now() + usable,
        });
    }

    /// Closes the kept connections to a server that failed.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes connections that were idle too long.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut pool = self.lock();
        for kept in pool.values_mut() {
            kept.retain(|candidate| now < candidate.until);
        }
        pool.retain(|_, kept| !kept.is_empty());
    }
}
