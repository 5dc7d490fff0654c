//! Decides whether the head of a server's response can begin or continue a stream.

use hyper::{HeaderMap, Response, StatusCode, header, header::HeaderValue};

/// Head of the response that a caller got, which all parts of the stream must fit.
#[derive(Debug, Default)]
pub struct StreamHead {
    begun: bool,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    /// Records the headers of the response with which the stream begins.
    pub fn begin(&mut self, headers: &HeaderMap) {
        self.begun = true;
        self.content_type = headers.get(header::CONTENT_TYPE).cloned();
    }

    /// True when the caller got the head of a response.
    #[must_use]
    pub const fn has_begun(&self) -> bool {
        self.begun
    }

    /// Cause for which the response cannot begin or continue the stream; none when it can.
    ///
    /// ```
    /// use hyper::Response;
    /// use toucanring::node::StreamHead;
    ///
    /// let mut head = StreamHead::default();
    /// let response = Response::builder().header("content-type", "text/event-stream");
    /// let response = response.body(()).unwrap();
    /// assert_eq!(head.fault(&response), None);
    /// head.begin(response.headers());
    /// assert_eq!(head.fault(&Response::new(())), Some("other_content_type"));
    /// ```
    #[must_use]
    pub fn fault<B>(&self, response: &Response<B>) -> Option<&'static str> {
        let status = response.status();
        if !self.begun {
            return (!status.is_success()).then_some("server_failure");
        }
        if status != StatusCode::OK {
            return Some("server_failure");
        }
        let content_type = response.headers().get(header::CONTENT_TYPE);
        (content_type != self.content_type.as_ref()).then_some("other_content_type")
    }
}
