//! Responses of the store with entries that cannot be decoded, among others.

use fighall_store::mapping::StoreMapping;

const MALFORMED_ENTRIES: [&[u8]; 9] = [
    b"null",
    b"7",
    b"[]",
    b"{}",
    br#"{"name":5,"version":3,"value":"x"}"#,
    br#"{"name":"b","version":"3","value":"x"}"#,
    br#"{"name":"b","version":-3,"value":"x"}"#,
    br#"{"name":"b","version":3,"value":["x"]}"#,
    br#"{"name":"\ud800","version":3,"value":"x"}"#,
];

// Encodes a response with an entry between two others.
fn response(start: &str, malformed: &[u8]) -> Vec<u8> {
    let first = br#"{"name":"a","version":1,"value":"x"},"#;
    let last = br#",{"name":"c","version":2,"value":"x"}]}"#;
    [start.as_bytes(), first, malformed, last].concat()
}

#[test]
fn an_entry_that_cannot_be_decoded_leaves_the_others() {
    let mapping = StoreMapping::default();
    for malformed in MALFORMED_ENTRIES {
        let shown = String::from_utf8_lossy(malformed);
        let body = response("{\"version\":9,\"objects\":[", malformed);
        let page = (mapping.page)(&body).unwrap_or_else(|error| panic!("{shown}: {error}"));
        let names: Vec<_> = page
            .list
            .objects
            .iter()
            .map(|object| &object.name)
            .collect();
        assert_eq!(names, ["a", "c"], "{shown}");
        assert_eq!(page.list.findings.len(), 1, "{shown}");
        let body = response(
            "{\"version\":9,\"compacted\":false,\"changes\":[",
            malformed,
        );
        let batch = (mapping.changes)(&body).unwrap_or_else(|error| panic!("{shown}: {error}"));
        let names: Vec<_> = batch.changes.iter().map(|change| &change.name).collect();
        assert_eq!(names, ["a", "c"], "{shown}");
        assert_eq!(batch.findings.len(), 1, "{shown}");
    }
}

#[test]
fn bytes_that_are_no_text_leave_the_other_entries() {
    let malformed = b"{\"name\":\"b\",\"version\":3,\"value\":\"\xff\xfe\"}";
    let body = response("{\"version\":9,\"objects\":[", malformed);
    let page = (StoreMapping::default().page)(&body).expect("a page");
    assert_eq!(page.list.objects.len(), 3);
}
