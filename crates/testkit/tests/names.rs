//! Calls of the store for objects whose names have to be encoded in an address.

use fighall_store::client::{ClientOptions, StoreClient, WriteOutcome};
use fighall_testkit::platform::PlatformStandIn;
use std::net::SocketAddr;

const KIND: &str = "hosts";

#[test]
fn an_object_with_reserved_characters_in_its_name_is_created_read_replaced_and_deleted() {
    let runtime = compio::runtime::Runtime::new().expect("the runtime should start");
    runtime.block_on(async {
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = PlatformStandIn::start(loopback, 1).await;
        let store = store.expect("the store should start");
        let options = ClientOptions::with_address(store.address().to_string());
        let client = StoreClient::new(options).expect("the client should be created");
        for name in [
            "a&b", "a+b", "a#b", "a%b", "a%41", "a b", "a ", "a?b", "a/b", "a\"b", "a\u{1}", "é",
        ] {
            let created = client.create(KIND, name, "1").await;
            let Ok(WriteOutcome::Written { version }) = created else {
                panic!("{name:?} is not created: {created:?}");
            };
            let stored = store.get(KIND, name).map(|object| object.value);
            assert_eq!(stored.as_deref(), Some("1"), "{name:?}");
            let read = client
                .get(KIND, name)
                .await
                .expect("the store should respond");
            assert_eq!(read.map(|object| object.value), stored, "{name:?}");
            let replaced = client.put(KIND, name, "2", version).await;
            let Ok(WriteOutcome::Written { version }) = replaced else {
                panic!("{name:?} is not replaced: {replaced:?}");
            };
            let deleted = client.delete(KIND, name, version).await;
            assert!(
                matches!(deleted, Ok(WriteOutcome::Written { .. })),
                "{name:?} is not deleted: {deleted:?}"
            );
            assert_eq!(store.get(KIND, name), None, "{name:?}");
        }
    });
}
