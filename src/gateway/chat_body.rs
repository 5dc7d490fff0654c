//! Reads the fields of a chat completion by which the dispatcher decides. The body stays text: lists of
//! short entries take fifty times their length in parsed form.

use {
    super::request_head::invalid,
    crate::core::dispatch::Refusal,
    serde::{
        Deserialize, Deserializer,
        de::{Error, IgnoredAny, MapAccess, Visitor},
    },
    serde_json::value::RawValue,
    std::{fmt, ops::Range},
};

/// Result of reading a body.
pub(super) type Result<T> = std::result::Result<T, Refusal>;

/// Most lists and objects in one another that a body may have.
const MAX_NESTING: usize = 128;

/// Longest name of a model in bytes, as JSON.
const MAX_MODEL_BYTES: usize = 1_024;

/// Field that is added to a body without `stream`. Another one always follows.
const STREAM_FIELD: &[u8] = br#""stream":true,"#;

/// The body of a chat completion, with the texts of the fields that a gateway reads.
#[derive(Debug)]
pub(super) struct ChatBody<'a> {
    text: &'a [u8],
    fields: FieldTexts<'a>,
}

#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "snake_case")]
enum ChatField {
    Model,
    Messages,
    Stream,
    MaxTokens,
    #[serde(other)]
    Other,
}

/// Texts of the known fields.
#[derive(Debug, Default)]
struct FieldTexts<'a> {
    model: Option<&'a RawValue>,
    messages: Option<&'a RawValue>,
    stream: Option<&'a RawValue>,
    max_tokens: Option<&'a RawValue>,
}

impl<'a> ChatBody<'a> {
    /// Finds the fields in the body of a request.
    pub(super) fn read(text: &'a [u8]) -> Result<Self> {
        if exceeds_nesting(text) {
            let detail =
                format!("the body has more than {MAX_NESTING} levels of lists and objects");
            return Err(invalid(&detail));
        }
        let fields = serde_json::from_slice(text).map_err(|error| {
            let rule = if error.is_data() {
                "must be a JSON object"
            } else {
                "is not JSON"
            };
            invalid(&format!("the body {rule}: {error}"))
        })?;
        Ok(Self { text, fields })
    }

    pub(super) fn model(&self) -> Result<String> {
        let model = self.fields.model;
        let model = model.filter(|raw| raw.get().len() <= MAX_MODEL_BYTES);
        let model = model.and_then(|raw| serde_json::from_str(raw.get()).ok());
        model.ok_or_else(|| invalid("model must be a string"))
    }

    /// The messages as JSON.
    pub(super) fn messages(&self) -> Result<&'a str> {
        let messages = self.fields.messages.map(RawValue::get);
        let entries = messages.and_then(|messages| messages.strip_prefix('['));
        let is_empty = entries.is_none_or(|entries| entries.trim_start().starts_with(']'));
        messages
            .filter(|_| !is_empty)
            .ok_or_else(|| invalid("messages must be a list with at least one entry"))
    }

    /// Whether the caller asks for a stream of events.
    pub(super) fn is_streamed(&self) -> Result<bool> {
        let streamed: Option<bool> =
            read_option(self.fields.stream).map_err(|_| invalid("stream must be true or false"))?;
        Ok(streamed.unwrap_or(false))
    }

    /// Most tokens that the answer may have, if the caller has set a limit.
    pub(super) fn max_tokens(&self) -> Result<Option<u32>> {
        let positive = |count: &Option<u32>| *count != Some(0);
        let count = read_option(self.fields.max_tokens).ok().filter(positive);
        count.ok_or_else(|| invalid("max_tokens must be a positive integer"))
    }

    /// The body with `stream` set to true, otherwise the same text.
    pub(super) fn streamed_text(&self) -> Vec<u8> {
        let mut text = Vec::with_capacity(self.text.len() + STREAM_FIELD.len());
        if let Some(stream) = self.fields.stream {
            let at = place_of(stream.get(), self.text);
            text.extend_from_slice(&self.text[..at.start]);
            text.extend_from_slice(b"true");
            text.extend_from_slice(&self.text[at.end..]);
            return text;
        }
        let brace = self.text.iter().position(|byte| *byte == b'{');
        let inner = brace.map_or(0, |brace| brace + 1);
        text.extend_from_slice(&self.text[..inner]);
        text.extend_from_slice(STREAM_FIELD);
        text.extend_from_slice(&self.text[inner..]);
        text
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for FieldTexts<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> std::result::Result<Self, D::Error> {
        deserializer.deserialize_map(FieldVisitor)
    }
}

struct FieldVisitor;

impl<'de> Visitor<'de> for FieldVisitor {
    type Value = FieldTexts<'de>;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(
        self,
        mut map: A,
    ) -> std::result::Result<Self::Value, A::Error> {
        let mut texts = FieldTexts::default();
        while let Some(field) = map.next_key()? {
            let (name, text) = match field {
                ChatField::Model => ("model", &mut texts.model),
                ChatField::Messages => ("messages", &mut texts.messages),
                ChatField::Stream => ("stream", &mut texts.stream),
                ChatField::MaxTokens => ("max_tokens", &mut texts.max_tokens),
                ChatField::Other => {
                    map.next_value::<IgnoredAny>()?;
                    continue;
                }
            };
            // Backend servers may go by another one of two values.
            if text.replace(map.next_value()?).is_some() {
                return Err(A::Error::duplicate_field(name));
            }
        }
        Ok(texts)
    }
}

/// Value of a field; none when it is left out or null.
fn read_option<T: for<'a> Deserialize<'a>>(
    raw: Option<&RawValue>,
) -> serde_json::Result<Option<T>> {
    raw.map_or(Ok(None), |raw| serde_json::from_str(raw.get()))
}

/// Place of a part of a text.
fn place_of(part: &str, text: &[u8]) -> Range<usize> {
    let start = part.as_ptr().addr() - text.as_ptr().addr();
    start..start + part.len()
}

/// True when a JSON text has more than [`MAX_NESTING`] lists and objects in one another.
fn exceeds_nesting(text: &[u8]) -> bool {
    let mut depth = 0_usize;
    let mut in_string = false;
    let mut is_escaped = false;
    for byte in text {
        if in_string {
            in_string = is_escaped || *byte != b'"';
            is_escaped = !is_escaped && *byte == b'\\';
            continue;
        }
        match byte {
            b'"' => in_string = true,
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_NESTING {
            return true;
        }
    }
    false
}
