use {
    super::ConfigFault,
    serde::de::DeserializeOwned,
    serde_json::Value,
    serde_path_to_error::{Path, Segment},
};

/// Maximum number of faults listed for one text; decoding then stops.
const MAX_FAULTS: usize = 100;

/// Result of decoding a text. If there were faults, parts of the value come from the sample.
pub(super) struct DecodedText<T> {
    /// Decoded value; `None` when the text is not JSON, or its faults were too many or could not be
    /// replaced.
    pub value: Option<T>,
    /// Faults in the order in which decoding met them.
    pub faults: Vec<ConfigFault>,
}

/// Decodes a text and lists all its faults, not only the first.
///
/// Replaces each faulty part by the part of `sample` at the same path and starts decoding again, so
/// that one fault does not hide the next.
pub(super) fn decode_text<T: DeserializeOwned>(text: &str, sample: &Value) -> DecodedText<T> {
    let mut faults = Vec::new();
    let mut document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let position = format!("line {} column {}", error.line(), error.column());
            faults.push(ConfigFault::new(
                position,
                "text",
                format!("must be JSON: {error}"),
            ));
            return DecodedText {
                value: None,
                faults,
            };
        }
    };
    while faults.len() < MAX_FAULTS {
        let error = match serde_path_to_error::deserialize::<_, T>(&document) {
            Ok(value) => {
                // A parsed document has lost repeated fields, so they are found by decoding the
                // text itself.
                if faults.is_empty() {
                    faults.extend(find_repeated_field::<T>(text));
                }
                return DecodedText {
                    value: Some(value),
                    faults,
                };
            }
            Err(error) => error,
        };
        let rule = error.inner().to_string();
        let steps = path_steps(error.path());
        let repaired = match split_field_message(&rule) {
            Some(("missing", field)) => {
                faults.push(ConfigFault::new(
                    format_path(&steps, field),
                    "nothing",
                    "must be present",
                ));
                add_field(&mut document, sample, &steps, field)
            }
            Some(("unknown", field)) => {
                // The path already ends with the unknown field.
                let parents = &steps[..steps.len().saturating_sub(1)];
                let parent = find_part(&mut document, parents);
                let removed = parent.and_then(|parent| parent.as_object_mut()?.remove(field));
                let value = removed.clone().unwrap_or(Value::Null);
                faults.push(ConfigFault::new(
                    format_path(parents, field),
                    render_short(&value),
                    rule,
                ));
                removed.map(|_| ())
            }
            _ => {
                let value = find_part(&mut document, &steps).map(|value| render_short(value));
                let value = value.unwrap_or_default();
                faults.push(ConfigFault::new(format_path(&steps, ""), value, rule));
                replace_part(&mut document, sample, &steps)
            }
        };
        if repaired.is_none() {
            break;
        }
    }
    DecodedText {
        value: None,
        faults,
    }
}

/// Step from a JSON value to one of its parts.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PathStep {
    Field(String),
    Index(usize),
}

fn path_steps(path: &Path) -> Vec<PathStep> {
    let mut steps = Vec::new();
    for segment in path {
        match segment {
            Segment::Seq { index } => steps.push(PathStep::Index(*index)),
            Segment::Map { key } => steps.push(PathStep::Field(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => {}
        }
    }
    steps
}

fn format_path(steps: &[PathStep], field: &str) -> String {
    let mut path = String::new();
    for step in steps {
        match step {
            PathStep::Index(index) => path.push_str(&["[", &index.to_string(), "]"].concat()),
            PathStep::Field(name) => push_field(&mut path, name),
        }
    }
    if !field.is_empty() {
        push_field(&mut path, field);
    }
    if path.is_empty() {
        path.push('.');
    }
    path
}

fn push_field(path: &mut String, name: &str) {
    if !path.is_empty() {
        path.push('.');
    }
    path.push_str(name);
}

/// Splits serde's messages "missing field `x`" and "unknown field `x`, ..." into the kind and the
/// name of the field.
fn split_field_message(rule: &str) -> Option<(&str, &str)> {
    let (kind, rest) = rule.split_once(" field `")?;
    let (field, _) = rest.split_once('`')?;
    Some((kind, field))
}

fn find_part<'a>(document: &'a mut Value, steps: &[PathStep]) -> Option<&'a mut Value> {
    let mut part = document;
    for step in steps {
        part = match step {
            PathStep::Field(name) => part.get_mut(name)?,
            PathStep::Index(index) => part.get_mut(index)?,
        };
    }
    Some(part)
}

/// Finds the part of the sample at a path. Arrays of the sample have one element, which stands for
/// all indices.
fn find_sample<'a>(sample: &'a Value, steps: &[PathStep]) -> Option<&'a Value> {
    let mut part = sample;
    for step in steps {
        part = match step {
            PathStep::Field(name) => part.get(name)?,
            PathStep::Index(_) => part.get(0)?,
        };
    }
    Some(part)
}

fn add_field(document: &mut Value, sample: &Value, steps: &[PathStep], field: &str) -> Option<()> {
    let value = find_sample(sample, steps)?.get(field)?.clone();
    let parent = find_part(document, steps)?.as_object_mut()?;
    parent.insert(field.to_owned(), value);
    Some(())
}

fn replace_part(document: &mut Value, sample: &Value, steps: &[PathStep]) -> Option<()> {
    let value = find_sample(sample, steps)?.clone();
    *find_part(document, steps)? = value;
    Some(())
}

fn find_repeated_field<T: DeserializeOwned>(text: &str) -> Option<ConfigFault> {
    let mut decoder = serde_json::Deserializer::from_str(text);
    let error = serde_path_to_error::deserialize::<_, T>(&mut decoder).err()?;
    let path = format_path(&path_steps(error.path()), "");
    Some(ConfigFault::new(
        path,
        "repeated",
        error.inner().to_string(),
    ))
}

/// Renders a value in one line of at most 80 characters; the rest is cut off.
fn render_short(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= 80 {
        return text;
    }
    let head: String = text.chars().take(77).collect();
    format!("{head}...")
}
