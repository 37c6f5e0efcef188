//! A YAML document with the line of each of its fields.

use std::collections::HashMap;

use jsonschema::error::ValidationErrorKind;
use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use serde_json::{Map, Number, Value};

use crate::diagnostic::{TextDiagnostic, TextDiagnostics};

/// Holds a parsed text as JSON, with the line of each value by JSON pointer.
#[derive(Clone, Debug)]
pub struct LocatedDocument {
    pub value: Value,
    lines: HashMap<String, usize>,
}

impl LocatedDocument {
    /// Parses a text that holds one YAML document.
    ///
    /// # Errors
    ///
    /// Returns the place of the first syntax error, or of a value that has no
    /// JSON equivalent.
    pub fn parse(text: &str) -> Result<Self, TextDiagnostics> {
        let nodes = MarkedYaml::load_from_str(text).map_err(|error| {
            let message = format!("isn't valid YAML: {}", error.info());
            one_fault(error.marker().line(), "", message)
        })?;
        let Some(root) = nodes.first() else {
            return Err(one_fault(1, "", "the text is empty".to_owned()));
        };
        let mut lines = HashMap::new();
        let value = convert(root, String::new(), &mut lines)?;
        Ok(Self { value, lines })
    }

    /// Checks the document against one definition of a schema.
    ///
    /// # Errors
    ///
    /// Returns all fields that the schema refuses.
    ///
    /// # Panics
    ///
    /// Panics if the schema isn't valid; it is part of the program.
    pub fn check(&self, schema: &str, definition: &str) -> Result<(), TextDiagnostics> {
        let mut schema: Value = serde_json::from_str(schema).expect("the schema is valid JSON");
        schema["$ref"] = format!("#/definitions/{definition}").into();
        let validator = jsonschema::validator_for(&schema).expect("the schema is valid");
        let faults: Vec<_> =
            validator.iter_errors(&self.value).map(|error| self.describe(&error)).collect();
        if faults.is_empty() {
            return Ok(());
        }
        Err(TextDiagnostics::new(faults))
    }

    /// Makes a fault at a JSON pointer.
    pub fn diagnostic(&self, pointer: &str, message: String) -> TextDiagnostic {
        TextDiagnostic { line: self.closest_line(pointer), field: field_name(pointer), message }
    }

    /// Returns the line of a value that stands in the text.
    pub fn exact_line(&self, pointer: &str) -> Option<usize> {
        self.lines.get(pointer).copied()
    }

    /// Returns the line of a value, or of the closest value around it.
    pub fn closest_line(&self, pointer: &str) -> usize {
        let mut pointer = pointer;
        loop {
            if let Some(line) = self.exact_line(pointer) {
                return line;
            }
            match pointer.rfind('/') {
                Some(end) => pointer = &pointer[..end],
                None => return 1,
            }
        }
    }

    fn describe(&self, error: &jsonschema::ValidationError<'_>) -> TextDiagnostic {
        let pointer = error.instance_path().to_string();
        match error.kind() {
            ValidationErrorKind::AdditionalProperties { unexpected } => {
                let name = unexpected.first().map_or("", String::as_str);
                let names = unexpected.join(", ");
                let message = format!("unknown field {names}; remove it or correct its name");
                let inner = format!("{pointer}/{name}");
                TextDiagnostic { field: field_name(&pointer), ..self.diagnostic(&inner, message) }
            }
            ValidationErrorKind::Required { property } => {
                let name = property.as_str().unwrap_or_default();
                self.diagnostic(&pointer, format!("the field {name} is missing; add it"))
            }
            ValidationErrorKind::Enum { options } => {
                self.diagnostic(&pointer, format!("{} isn't one of {options}", error.instance()))
            }
            _ => self.diagnostic(&pointer, error.to_string()),
        }
    }
}

fn one_fault(line: usize, field: &str, message: String) -> TextDiagnostics {
    TextDiagnostics::new(vec![TextDiagnostic { line, field: field_name(field), message }])
}

/// Writes a JSON pointer as `engines[2].role`.
fn field_name(pointer: &str) -> String {
    let mut name = String::new();
    for part in pointer.split('/').skip(1) {
        if part.bytes().all(|byte| byte.is_ascii_digit()) {
            name.push_str(&format!("[{part}]"));
            continue;
        }
        if !name.is_empty() {
            name.push('.');
        }
        name.push_str(part);
    }
    if name.is_empty() {
        name.push_str("the text");
    }
    name
}

fn convert(
    node: &MarkedYaml<'_>,
    pointer: String,
    lines: &mut HashMap<String, usize>,
) -> Result<Value, TextDiagnostics> {
    let line = node.span.start.line();
    lines.insert(pointer.clone(), line);
    match &node.data {
        YamlData::Value(scalar) => Ok(convert_scalar(scalar)),
        YamlData::Sequence(items) => items
            .iter()
            .enumerate()
            .map(|(index, item)| convert(item, format!("{pointer}/{index}"), lines))
            .collect(),
        YamlData::Mapping(fields) => {
            let mut object = Map::new();
            for (key, value) in fields {
                let YamlData::Value(Scalar::String(name)) = &key.data else {
                    return Err(one_fault(line, &pointer, "field names must be text".to_owned()));
                };
                let inner = format!("{pointer}/{name}");
                let converted = convert(value, inner.clone(), lines)?;
                lines.insert(inner, key.span.start.line());
                object.insert(name.to_string(), converted);
            }
            Ok(Value::Object(object))
        }
        _ => Err(one_fault(line, &pointer, "tags and aliases can't be used here".to_owned())),
    }
}

fn convert_scalar(scalar: &Scalar<'_>) -> Value {
    match scalar {
        Scalar::Null => Value::Null,
        Scalar::Boolean(value) => Value::Bool(*value),
        Scalar::Integer(value) => Value::Number((*value).into()),
        Scalar::FloatingPoint(value) => {
            Number::from_f64(value.into_inner()).map_or(Value::Null, Value::Number)
        }
        Scalar::String(value) => Value::String(value.to_string()),
    }
}
