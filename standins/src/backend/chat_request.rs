use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// The fields of a chat completion request that the stand-in uses.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model service.
    pub model: String,
    /// Messages, as sent.
    pub messages: Value,
    /// Tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// True for server-sent events.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max_tokens() -> u32 {
    16
}
