use {
    super::{AdapterError, Result},
    cadence::{NopMetricSink, StatsdClient, UdpMetricSink},
    error_stack::ResultExt,
    std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket},
};

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "toucanring";

/// Creates a `StatsD` client that sends to `address`. Without an address, metrics are discarded.
///
/// Each metric carries the process name as a tag. Sending never blocks: a datagram that does not
/// fit into the buffer of the socket is lost.
///
/// # Errors
/// [`AdapterError::Connect`] if no local UDP port can be opened.
pub fn start_metrics(process: &str, address: Option<SocketAddr>) -> Result<StatsdClient> {
    let Some(address) = address else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let local: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(local).change_context(AdapterError::Connect)?;
    let nonblocking = socket.set_nonblocking(true);
    nonblocking.change_context(AdapterError::Connect)?;
    let sink = UdpMetricSink::from(address, socket).change_context(AdapterError::Connect)?;
    let builder = StatsdClient::builder(METRIC_PREFIX, sink);
    Ok(builder.with_tag("process", process.to_owned()).build())
}
