use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full, Limited, combinators::BoxBody},
    hyper::{Request, Response, StatusCode, body::Incoming, header},
    serde::Serialize,
    std::io,
};

/// Size of the largest request body that is read.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Body of a response, whole or streamed; an error breaks the connection.
pub type ReplyBody = BoxBody<Bytes, io::Error>;

/// HTTP response of a stand-in.
pub type HttpReply = Response<ReplyBody>;

/// Builds a response with a JSON body.
///
/// # Panics
/// Panics when the value can't be written as JSON, which can't happen with the wire types.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let body = serde_json::to_vec(value).expect("wire types are valid JSON");
    raw_reply(status, "application/json", Bytes::from(body))
}

/// Builds a response with a complete body of the given type.
#[must_use]
pub fn raw_reply(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpReply {
    let mut reply = Response::new(Full::new(body).map_err(|never| match never {}).boxed());
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    reply
}

/// Reads a whole request body.
///
/// # Errors
/// Returns an error when the caller disconnects or the body is larger than 16 MiB.
pub async fn read_body(request: Request<Incoming>) -> io::Result<Bytes> {
    Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .map_err(io::Error::other)
}
