use {
    super::HttpReply,
    hyper::{Request, body::Incoming, service::service_fn},
    hyper_util::{
        rt::{TokioExecutor, TokioIo, TokioTimer},
        server::conn::auto::Builder,
    },
    std::io,
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::TcpListener,
    },
};

/// Concurrent HTTP/2 streams on one connection. With hyper's default of 200, connections would
/// limit the load, which no backend server announces.
const MAX_CONCURRENT_STREAMS: u32 = 4096;

/// Serves HTTP/1.1 or HTTP/2 on one connection until it closes. An error of the handler breaks the
/// connection (HTTP/1.1) or the stream (HTTP/2).
pub async fn serve_connection<S, F, R>(stream: S, handler: F)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    F: Fn(Request<Incoming>) -> R + Send + 'static,
    R: Future<Output = io::Result<HttpReply>> + Send + 'static,
{
    let mut builder = Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new());
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS);
    // Injected faults break connections, so an error is expected here and is ignored.
    let _ = builder
        .serve_connection(TokioIo::new(stream), service_fn(handler))
        .await;
}

/// Accepts connections and serves each in its own task; never returns.
pub async fn accept_loop<F, R>(listener: TcpListener, handler: F)
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = io::Result<HttpReply>> + Send + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, handler.clone()));
    }
}
