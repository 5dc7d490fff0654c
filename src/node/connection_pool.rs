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

/// Longest wait until a connection to a backend server is open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Idle time after which a server that states none is taken to close a connection.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);

/// Part of the server's idle time that is not used, so that a request does not collide with the
/// server closing the connection.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Most idle connections per server.
const MAX_IDLE_PER_SERVER: usize = 32;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    until: Instant,
}

/// Idle connections to backend servers, by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an idle connection that is still open and whose idle time is not over.
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

    /// Opens a new connection; it enters the pool only with [`Self::keep`].
    ///
    /// # Errors
    /// [`ExchangeFailure::NotSent`] when the server refuses the connection or doesn't accept it in
    /// time.
    pub async fn open(&self, address: SocketAddr) -> Result<HttpConnection, ExchangeFailure> {
        HttpConnection::open(address, CONNECT_TIMEOUT).await
    }

    /// Puts back a connection whose last response was read to its end. It is dropped instead when
    /// the server has enough idle ones, or when its idle time is too short to use. `idle` is the
    /// idle time that the server stated.
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

    /// Closes the idle connections to an address, for a server that failed.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Closes the connections whose idle time is over.
    pub fn expire(&self) {
        let now = Instant::now();
        let mut pool = self.lock();
        for kept in pool.values_mut() {
            kept.retain(|candidate| now < candidate.until);
        }
        pool.retain(|_, kept| !kept.is_empty());
    }
}
