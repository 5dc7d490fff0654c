use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
};

/// The fields of a chat completion request that the stand-in reads; others are ignored.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Name of the model service; not checked against the group's model.
    pub model: String,
    /// Messages, as sent; only their JSON text matters.
    pub messages: Value,
    /// Tokens to generate; every answer has exactly this length.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// True when the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max_tokens() -> u32 {
    16
}
