use {
    super::ConfFault,
    serde::de::DeserializeOwned,
    serde_json::Value,
    serde_path_to_error::{Path, Segment},
};

/// Faults of one text that are listed before decoding gives up.
const MAX_FAULTS: usize = 100;

/// Result of decoding a text whose faulty parts were replaced.
pub(super) struct DecodedText<T> {
    /// The value; `None` when the text could not be repaired far enough.
    pub value: Option<T>,
    /// Faults in the order in which decoding met them.
    pub faults: Vec<ConfFault>,
}

/// Decodes a text and lists all its faults, not only the first.
///
/// Each faulty part is replaced by the part of `sample` at the same place and
/// decoding starts again, so that one fault does not hide the next.
pub(super) fn decode_text<T: DeserializeOwned>(text: &str, sample: &Value) -> DecodedText<T> {
    let mut faults = Vec::new();
    let mut document: Value = match serde_json::from_str(text) {
        Ok(document) => document,
        Err(error) => {
            let place = format!("line {} column {}", error.line(), error.column());
            faults.push(ConfFault::new(
                place,
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
                // Only decoding from the text itself notices a repeated field.
                if faults.is_empty() {
                    faults.extend(repeated_field::<T>(text));
                }
                return DecodedText {
                    value: Some(value),
                    faults,
                };
            }
            Err(error) => error,
        };
        let rule = error.inner().to_string();
        let steps = steps_of(error.path());
        let repaired = match quoted_field(&rule) {
            Some(("missing", field)) => {
                faults.push(ConfFault::new(
                    join(&steps, field),
                    "nothing",
                    "must be present",
                ));
                add_field(&mut document, sample, &steps, field)
            }
            Some(("unknown", field)) => {
                // The path already ends with the unknown field.
                let parents = &steps[..steps.len().saturating_sub(1)];
                let parent = find(&mut document, parents);
                let removed = parent.and_then(|parent| parent.as_object_mut()?.remove(field));
                let value = removed.clone().unwrap_or(Value::Null);
                faults.push(ConfFault::new(join(parents, field), shorten(&value), rule));
                removed.map(|_| ())
            }
            _ => {
                let value = find(&mut document, &steps).map(|value| shorten(value));
                let value = value.unwrap_or_default();
                faults.push(ConfFault::new(join(&steps, ""), value, rule));
                replace(&mut document, sample, &steps)
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

/// One step from a JSON value to a part of it.
#[derive(Debug, Clone, PartialEq, Eq)]
enum PathStep {
    Field(String),
    Index(usize),
}

fn steps_of(path: &Path) -> Vec<PathStep> {
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

fn join(steps: &[PathStep], field: &str) -> String {
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

/// Splits serde's "missing field `x`" and "unknown field `x`, ..." messages.
fn quoted_field(rule: &str) -> Option<(&str, &str)> {
    let (kind, rest) = rule.split_once(" field `")?;
    let (field, _) = rest.split_once('`')?;
    Some((kind, field))
}

fn find<'a>(document: &'a mut Value, steps: &[PathStep]) -> Option<&'a mut Value> {
    let mut place = document;
    for step in steps {
        place = match step {
            PathStep::Field(name) => place.get_mut(name)?,
            PathStep::Index(index) => place.get_mut(index)?,
        };
    }
    Some(place)
}

/// Finds the sample of a part; arrays of the sample have one element for all indices.
fn find_sample<'a>(sample: &'a Value, steps: &[PathStep]) -> Option<&'a Value> {
    let mut place = sample;
    for step in steps {
        place = match step {
            PathStep::Field(name) => place.get(name)?,
            PathStep::Index(_) => place.get(0)?,
        };
    }
    Some(place)
}

fn add_field(document: &mut Value, sample: &Value, steps: &[PathStep], field: &str) -> Option<()> {
    let value = find_sample(sample, steps)?.get(field)?.clone();
    let parent = find(document, steps)?.as_object_mut()?;
    parent.insert(field.to_owned(), value);
    Some(())
}

fn replace(document: &mut Value, sample: &Value, steps: &[PathStep]) -> Option<()> {
    let value = find_sample(sample, steps)?.clone();
    *find(document, steps)? = value;
    Some(())
}

fn repeated_field<T: DeserializeOwned>(text: &str) -> Option<ConfFault> {
    let mut decoder = serde_json::Deserializer::from_str(text);
    let error = serde_path_to_error::deserialize::<_, T>(&mut decoder).err()?;
    let path = join(&steps_of(error.path()), "");
    Some(ConfFault::new(path, "repeated", error.inner().to_string()))
}

/// Renders a value in one line of at most 80 characters.
fn shorten(value: &Value) -> String {
    let text = value.to_string();
    if text.chars().count() <= 80 {
        return text;
    }
    let head: String = text.chars().take(77).collect();
    format!("{head}...")
}
