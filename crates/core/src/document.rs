//! Reader of JSON with comments. It collects all findings of a document in one pass.

use crate::{
    field::{FieldKind, FieldTable},
    finding::{FindingList, SourcePosition},
};
use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, Value},
    common::{Range, Ranged},
    parse_to_ast,
};
use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
};

/// `SourceText` is a file's text with the findings collected so far.
#[derive(Debug)]
pub struct SourceText<'a> {
    file: String,
    text: &'a str,
    findings: RefCell<FindingList>,
}

impl<'a> SourceText<'a> {
    /// Wraps the text of a file; `file` is its path as printed in findings.
    pub fn new(file: &str, text: &'a str) -> Self {
        Self {
            file: file.to_owned(),
            text,
            findings: RefCell::new(FindingList::new()),
        }
    }

    /// Parses the text and reads its root object with `read`.
    ///
    /// # Errors
    ///
    /// Returns all findings of the parser and of `read`.
    pub fn read<T>(
        self,
        table: &FieldTable,
        read: impl FnOnce(&ObjectReader<'_, 'a>) -> Option<T>,
    ) -> Result<T, FindingList> {
        let options = ParseOptions {
            allow_comments: true,
            allow_trailing_commas: true,
            allow_loose_object_property_names: false,
            ..ParseOptions::default()
        };
        let parsed = parse_to_ast(self.text, &CollectOptions::default(), &options);
        let mut value = None;
        match parsed {
            Err(error) => self.report(error.range().start, error.kind().to_string()),
            Ok(result) => match result.value {
                Some(Value::Object(object)) => {
                    let reader = ObjectReader::new(&self, object, *table);
                    value = read(&reader);
                }
                Some(other) => self.report(other.start(), "the document must be an object"),
                None => self.report(0, "the document is empty"),
            },
        }
        self.findings.into_inner().into_result(value)
    }

    fn report(&self, offset: usize, message: impl Into<String>) {
        let place = self.position(offset);
        self.findings.borrow_mut().push(place, message);
    }

    fn position(&self, offset: usize) -> SourcePosition {
        let mut end = offset.min(self.text.len());
        while !self.text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &self.text[..end];
        let line = before.matches('\n').count() + 1;
        let line_start = before.rfind('\n').map_or(0, |index| index + 1);
        SourcePosition {
            file: self.file.clone(),
            line,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// `ObjectReader` reads the fields of one object and reports invalid ones as findings.
#[derive(Debug)]
pub struct ObjectReader<'s, 'a> {
    source: &'s SourceText<'a>,
    table: FieldTable,
    values: BTreeMap<String, Value<'a>>,
    range: Range,
}

impl<'s, 'a> ObjectReader<'s, 'a> {
    fn new(source: &'s SourceText<'a>, object: Object<'a>, table: FieldTable) -> Self {
        let range = object.range;
        let mut values = BTreeMap::new();
        for property in object.properties {
            let name = property.name.as_str().to_owned();
            if table.find(&name).is_none() {
                source.report(property.range.start, format!("unknown field `{name}`"));
                continue;
            }
            if values.contains_key(&name) {
                source.report(property.range.start, format!("duplicate field `{name}`"));
                continue;
            }
            values.insert(name, property.value);
        }
        Self {
            source,
            table,
            values,
            range,
        }
    }

    /// Gets the position of a field's value, or of the object when the field is absent.
    pub fn place(&self, name: &str) -> SourcePosition {
        let start = self
            .values
            .get(name)
            .map_or(self.range.start, Ranged::start);
        self.source.position(start)
    }

    /// Reports a finding at the position of a field.
    pub fn report(&self, name: &str, message: impl Into<String>) {
        let place = self.place(name);
        self.source.findings.borrow_mut().push(place, message);
    }

    /// Tells whether the field is present.
    pub fn has(&self, name: &str) -> bool {
        self.values.contains_key(name)
    }

    /// Reads text. An absent field gets its default, or is reported as missing if it has none.
    pub fn text(&self, name: &str) -> String {
        match self.values.get(name) {
            Some(Value::StringLit(literal)) => literal.value.to_string(),
            Some(_) => {
                self.report(name, format!("`{name}` must be text"));
                String::new()
            }
            None => match self.table.find(name).map(|field| field.kind) {
                Some(FieldKind::Text {
                    default: Some(text),
                }) => text.to_owned(),
                _ => {
                    self.report(name, format!("missing field `{name}`"));
                    String::new()
                }
            },
        }
    }

    /// Reads a name and reports it if [`is_name`] does not accept it.
    pub fn name(&self, name: &str) -> String {
        let text = self.text(name);
        let is_text = matches!(self.values.get(name), Some(Value::StringLit(_)));
        if is_text && !is_name(&text) {
            self.report(
                name,
                format!("`{name}` must be 1 to 63 lower-case letters, digits, dots and dashes"),
            );
        }
        text
    }

    /// Reads a boolean; an absent field gets its default.
    pub fn flag(&self, name: &str) -> bool {
        match self.values.get(name) {
            Some(Value::BooleanLit(literal)) => literal.value,
            Some(_) => {
                self.report(name, format!("`{name}` must be true or false"));
                false
            }
            None => matches!(
                self.table.find(name).map(|field| field.kind),
                Some(FieldKind::Flag { default: true })
            ),
        }
    }

    /// Reads an integer within the field's bounds. An absent field gets its default, or is reported as
    /// missing.
    pub fn integer(&self, name: &str) -> u64 {
        let Some(FieldKind::Integer {
            unit,
            min,
            max,
            default,
        }) = self.table.find(name).map(|field| field.kind)
        else {
            self.report(name, format!("`{name}` is not declared as a number"));
            return 0;
        };
        let Some(value) = self.values.get(name) else {
            if default.is_none() {
                self.report(name, format!("missing field `{name}`"));
            }
            return default.unwrap_or(min);
        };
        let parsed = match value {
            Value::NumberLit(literal) => literal.value.parse::<u64>().ok(),
            _ => None,
        };
        match parsed {
            Some(number) if (min..=max).contains(&number) => number,
            _ => {
                self.report(
                    name,
                    format!("`{name}` must be a whole number from {min} to {max} ({unit})"),
                );
                default.unwrap_or(min)
            }
        }
    }

    /// Reads text and parses it; a parse error is reported as a finding.
    pub fn parsed<T: std::str::FromStr>(&self, name: &str) -> Option<T>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.text(name);
        if text.is_empty() && !self.has(name) {
            return None;
        }
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(name, format!("`{name}`: {error}"));
                None
            }
        }
    }

    /// Reads a list of text and reports duplicate entries. It is empty if the field is absent.
    pub fn texts(&self, name: &str) -> Vec<String> {
        let mut texts = Vec::new();
        let mut seen = BTreeSet::new();
        for value in self.list(name) {
            let Value::StringLit(literal) = value else {
                self.source
                    .report(value.start(), format!("`{name}` must hold text only"));
                continue;
            };
            if !seen.insert(literal.value.to_string()) {
                self.source.report(
                    value.start(),
                    format!("duplicate entry `{}`", literal.value),
                );
                continue;
            }
            texts.push(literal.value.to_string());
        }
        texts
    }

    /// Reads a list of objects, each with `read`. It is empty if the field is absent.
    pub fn objects<T>(
        &self,
        name: &str,
        table: &FieldTable,
        read: impl Fn(&ObjectReader<'s, 'a>) -> Option<T>,
    ) -> Vec<T> {
        let mut items = Vec::new();
        for value in self.list(name) {
            let Value::Object(object) = value else {
                self.source
                    .report(value.start(), format!("`{name}` must hold objects only"));
                continue;
            };
            let reader = ObjectReader::new(self.source, object.clone(), *table);
            items.extend(read(&reader));
        }
        items
    }

    /// Reads one nested object with `read`.
    pub fn object<T>(
        &self,
        name: &str,
        table: &FieldTable,
        read: impl Fn(&ObjectReader<'s, 'a>) -> Option<T>,
    ) -> Option<T> {
        match self.values.get(name) {
            Some(Value::Object(object)) => {
                let reader = ObjectReader::new(self.source, object.clone(), *table);
                read(&reader)
            }
            Some(_) => {
                self.report(name, format!("`{name}` must be an object"));
                None
            }
            None => {
                self.report(name, format!("missing field `{name}`"));
                None
            }
        }
    }

    fn list(&self, name: &str) -> &[Value<'a>] {
        match self.values.get(name) {
            Some(Value::Array(array)) => &array.elements,
            Some(_) => {
                self.report(name, format!("`{name}` must be a list"));
                &[]
            }
            None => &[],
        }
    }
}

/// Gets a text field of the root object; nothing if it is absent or `text` is malformed.
pub fn peek_text(text: &str, name: &str) -> Option<String> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        ..ParseOptions::default()
    };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).ok()?;
    let root = parsed.value?;
    let object = root.as_object()?;
    let literal = object.get_string(name)?;
    Some(literal.value.to_string())
}

/// Largest length in bytes of the name of a service, organisation, target, region, zone or host.
const MAX_NAME_BYTES: usize = 63;

/// Tells whether `text` is a valid name of a service, organisation, target, region, zone or host: 1 to
/// 63 lower-case letters, digits, dots and dashes.
pub fn is_name(text: &str) -> bool {
    let has_valid_length = (1..=MAX_NAME_BYTES).contains(&text.len());
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-' || c == '.';
    has_valid_length && text.chars().all(allowed)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::field::FieldSpec;

    const TABLE: FieldTable = FieldTable::new(
        "test",
        &[
            FieldSpec::text("name", "a name"),
            FieldSpec::integer("port", "port", (1, 65535), None, "a port"),
            FieldSpec::flag("open", false, "a flag"),
            FieldSpec::texts("tags", "tags"),
        ],
    );

    #[test]
    fn all_findings_are_collected_with_their_positions() {
        let text = "{\n  // comment\n  \"name\": 5,\n  \"port\": 70000,\n  \"port\": 1,\n  \"oepn\": true,\n  \"tags\": [\"a\", \"a\", 3],\n}";
        let result = SourceText::new("s.json", text).read(&TABLE, |reader| {
            reader.name("name");
            reader.integer("port");
            reader.texts("tags");
            Some(())
        });
        let list = result.unwrap_err();
        let lines: Vec<_> = list
            .findings
            .iter()
            .map(|f| (f.place.line, f.place.column))
            .collect();
        assert_eq!(
            lines,
            [(3, 11), (4, 11), (5, 3), (6, 3), (7, 17), (7, 22)],
            "{list}"
        );
    }

    #[test]
    fn a_syntax_error_is_reported_with_its_position() {
        let list = SourceText::new("s.json", "{\n \"name\": \n}")
            .read(&TABLE, |_| Some(()))
            .unwrap_err();
        assert_eq!(list.findings.len(), 1);
        assert!(list.findings[0].place.line >= 2, "{list}");
    }
}
