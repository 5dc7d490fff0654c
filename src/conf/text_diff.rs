use {
    serde_json::Value,
    std::{collections::BTreeMap, fmt},
};

/// Part in which two operator texts differ.
#[derive(Debug, Clone, PartialEq, serde::Serialize)]
pub struct TextDifference {
    /// JSON path. Elements of a section are given by name, such as `drains["kochi-m01"]`.
    pub path: String,
    /// Value in the first text; `None` if the second text added the part.
    pub before: Option<Value>,
    /// Value in the second text; `None` if it lacks the part.
    pub after: Option<Value>,
}

impl fmt::Display for TextDifference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "{}: {before} -> {after}", self.path)
            }
            (Some(before), None) => write!(formatter, "{}: removed {before}", self.path),
            (None, Some(after)) => write!(formatter, "{}: added {after}", self.path),
            (None, None) => write!(formatter, "{}", self.path),
        }
    }
}

/// Lists the parts in which two texts differ. Elements of a section are matched by name, so that
/// moving one is no difference. Below each object or array the parts come in path order, with added
/// parts after all others.
///
/// ```
/// use {serde_json::json, toucanring::conf::compare_texts};
///
/// let before = json!({"drains": [], "model_services": [{"name": "a", "span": 2}]});
/// let after = json!({"drains": ["x"], "model_services": [{"name": "a", "span": 4}]});
/// let found = compare_texts(&before, &after);
/// assert_eq!(found[0].to_string(), "drains[\"x\"]: added \"x\"");
/// assert_eq!(found[1].to_string(), "model_services[\"a\"].span: 2 -> 4");
/// ```
#[must_use]
pub fn compare_texts(before: &Value, after: &Value) -> Vec<TextDifference> {
    let mut differences = Vec::new();
    collect_differences(String::new(), before, after, &mut differences);
    differences
}

fn collect_differences(
    path: String,
    before: &Value,
    after: &Value,
    differences: &mut Vec<TextDifference>,
) {
    if before == after {
        return;
    }
    let parts = (parts_by_path(&path, before), parts_by_path(&path, after));
    let (Some(before_parts), Some(mut after_parts)) = parts else {
        differences.push(TextDifference {
            path,
            before: Some(before.clone()),
            after: Some(after.clone()),
        });
        return;
    };
    for (path, before) in before_parts {
        if let Some(after) = after_parts.remove(&path) {
            collect_differences(path, before, after, differences);
            continue;
        }
        differences.push(TextDifference {
            path,
            before: Some(before.clone()),
            after: None,
        });
    }
    for (path, after) in after_parts {
        differences.push(TextDifference {
            path,
            before: None,
            after: Some(after.clone()),
        });
    }
}

/// Parts of an object or array by path; `None` for other values. Array elements without a name go
/// by their index.
fn parts_by_path<'a>(path: &str, value: &'a Value) -> Option<BTreeMap<String, &'a Value>> {
    let mut parts = BTreeMap::new();
    match value {
        Value::Object(fields) => {
            for (field, part) in fields {
                let separator = if path.is_empty() { "" } else { "." };
                parts.insert(format!("{path}{separator}{field}"), part);
            }
        }
        Value::Array(elements) => {
            for (index, part) in elements.iter().enumerate() {
                let name = element_name(part).unwrap_or_else(|| index.to_string());
                parts.insert(format!("{path}[{name}]"), part);
            }
        }
        _ => return None,
    }
    Some(parts)
}

fn element_name(element: &Value) -> Option<String> {
    if let Value::String(name) = element {
        return Some(format!("{name:?}"));
    }
    let name = element.get("name").or_else(|| element.get("instance"))?;
    Some(name.to_string())
}
