//! The length of a body that a message announces (RFC 9112, section 6.3; RFC 9110, section 8.6).

/// Length that stands for all larger ones: no body has as many bytes, and the HTTP library reserves no such value.
pub(crate) const MAX_LENGTH: u64 = i64::MAX.cast_unsigned();

/// `AnnouncedLength` is what the `Content-Length` fields of a message announce.
#[derive(Debug, Default)]
pub(crate) struct AnnouncedLength {
    // Digits without leading zeros.
    digits: Option<String>,
    is_repeated: bool,
}

impl AnnouncedLength {
    /// Adds a field. Returns nothing if it is malformed or differs from those before it.
    pub(crate) fn add_field(&mut self, value: &str) -> Option<()> {
        for member in value.split(',') {
            let member = member.trim_matches([' ', '\t']);
            if member.is_empty() || !member.bytes().all(|byte| byte.is_ascii_digit()) {
                return None;
            }
            let digits = member.trim_start_matches('0');
            match &self.digits {
                None => self.digits = Some(digits.to_owned()),
                Some(known) if known == digits => self.is_repeated = true,
                Some(_) => return None,
            }
        }
        Some(())
    }

    /// Tells whether there is a field.
    pub(crate) fn is_present(&self) -> bool {
        self.digits.is_some()
    }

    /// Gets the length in bytes, at most [`MAX_LENGTH`]; 0 without a field.
    pub(crate) fn bytes(&self) -> u64 {
        let digits = self.digits.as_deref().filter(|digits| !digits.is_empty());
        let length = digits.map_or(0, |digits| digits.parse().unwrap_or(u64::MAX));
        length.min(MAX_LENGTH)
    }

    /// Tells whether parsers may interpret the fields differently.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.is_repeated || self.bytes() == MAX_LENGTH
    }
}
