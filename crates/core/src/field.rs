//! Descriptions of the fields of settings and documents. The reader uses their bounds and defaults, and
//! docs/CONFIGURATION.md is checked against them.

use std::fmt::Write;

/// `FieldKind` is the type of a field with its bounds and default.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// Text; required without a default.
    Text {
        /// Value when the field is absent.
        default: Option<&'static str>,
    },
    /// `true` or `false`.
    Flag {
        /// Value when the field is absent.
        default: bool,
    },
    /// An unsigned integer.
    Integer {
        /// Unit, as printed in findings and tables.
        unit: &'static str,
        /// Smallest allowed value.
        min: u64,
        /// Largest allowed value.
        max: u64,
        /// Value when the field is absent; required without one.
        default: Option<u64>,
    },
    /// A list of text values; empty when absent.
    TextList,
    /// A list of objects; empty when absent.
    ObjectList,
    /// A single object.
    Object,
}

/// `FieldSpec` describes one field of an object.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    pub(crate) name: &'static str,
    pub(crate) kind: FieldKind,
    pub(crate) doc: &'static str,
}

impl FieldSpec {
    /// Describes a field of any kind.
    pub const fn new(name: &'static str, kind: FieldKind, doc: &'static str) -> Self {
        Self { name, kind, doc }
    }

    /// Describes a required text field.
    pub const fn text(name: &'static str, doc: &'static str) -> Self {
        Self::new(name, FieldKind::Text { default: None }, doc)
    }

    /// Describes a text field with a default.
    pub const fn text_or(name: &'static str, default: &'static str, doc: &'static str) -> Self {
        let kind = FieldKind::Text {
            default: Some(default),
        };
        Self::new(name, kind, doc)
    }

    /// Describes a boolean field with its default.
    pub const fn flag(name: &'static str, default: bool, doc: &'static str) -> Self {
        Self::new(name, FieldKind::Flag { default }, doc)
    }

    /// Describes an integer field; `bounds` are its smallest and largest value.
    pub const fn integer(
        name: &'static str,
        unit: &'static str,
        bounds: (u64, u64),
        default: Option<u64>,
        doc: &'static str,
    ) -> Self {
        let kind = FieldKind::Integer {
            unit,
            min: bounds.0,
            max: bounds.1,
            default,
        };
        Self::new(name, kind, doc)
    }

    /// Describes a list of text.
    pub const fn texts(name: &'static str, doc: &'static str) -> Self {
        Self::new(name, FieldKind::TextList, doc)
    }

    /// Describes a list of objects.
    pub const fn objects(name: &'static str, doc: &'static str) -> Self {
        Self::new(name, FieldKind::ObjectList, doc)
    }

    /// Describes one nested object.
    pub const fn object(name: &'static str, doc: &'static str) -> Self {
        Self::new(name, FieldKind::Object, doc)
    }

    /// Formats the field as a row of the Markdown table in the documentation.
    pub fn table_row(&self) -> String {
        let (kind, default, bounds) = match self.kind {
            FieldKind::Text { default } => {
                ("text".to_owned(), format_default(default), String::new())
            }
            FieldKind::Flag { default } => ("flag".to_owned(), default.to_string(), String::new()),
            FieldKind::Integer {
                unit,
                min,
                max,
                default,
            } => {
                let default = default.map_or("required".to_owned(), |value| value.to_string());
                (
                    format!("number, {unit}"),
                    default,
                    format!("{min} to {max}"),
                )
            }
            FieldKind::TextList => ("list of text".to_owned(), "empty".to_owned(), String::new()),
            FieldKind::ObjectList => (
                "list of objects".to_owned(),
                "empty".to_owned(),
                String::new(),
            ),
            FieldKind::Object => ("object".to_owned(), "required".to_owned(), String::new()),
        };
        format!(
            "| `{}` | {kind} | {default} | {bounds} | {} |",
            self.name, self.doc
        )
    }
}

fn format_default(default: Option<&str>) -> String {
    match default {
        None => "required".to_owned(),
        Some("") => "empty".to_owned(),
        Some(text) => format!("`{text}`"),
    }
}

/// `FieldTable` describes all fields of a kind of object, under a title.
#[derive(Clone, Copy, Debug)]
pub struct FieldTable {
    title: &'static str,
    fields: &'static [FieldSpec],
}

impl FieldTable {
    /// Creates a table from the fields in the order of the documentation.
    pub const fn new(title: &'static str, fields: &'static [FieldSpec]) -> Self {
        Self { title, fields }
    }

    /// Gets the fields in the order of the documentation.
    pub const fn fields(&self) -> &'static [FieldSpec] {
        self.fields
    }

    /// Finds the description of a field.
    pub fn find(&self, name: &str) -> Option<&'static FieldSpec> {
        self.fields.iter().find(|field| field.name == name)
    }

    /// Formats the table as a Markdown section of the documentation.
    pub fn section(&self) -> String {
        let mut text = format!("### {}\n\n", self.title);
        text.push_str(
            "| Field | Type | Default | Bounds | Meaning |\n| --- | --- | --- | --- | --- |\n",
        );
        for field in self.fields {
            let _ = writeln!(text, "{}", field.table_row());
        }
        text
    }
}
