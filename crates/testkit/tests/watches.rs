//! Watches of the store that start with a list of a moment ago.

use fighall_store::{
    client::{ClientOptions, StoreClient},
    mapping::{ListPage, StoreMapping},
    object::ObjectList,
    watch::{KindWatch, WatchStep},
};
use fighall_testkit::{faults::StoreFaults, platform::PlatformStandIn};
use std::{
    cell::Cell,
    net::SocketAddr,
    time::{Duration, Instant},
};

fn run(test: impl Future<Output = ()>) {
    let runtime = compio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(test);
}

async fn start() -> (PlatformStandIn, StoreClient) {
    let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
    let store = PlatformStandIn::start(loopback, 1).await.expect("a store");
    let options = ClientOptions::with_address(store.address().to_string());
    let client = StoreClient::new(options).expect("a client");
    (store, client)
}

#[test]
fn a_stale_list_is_complete_only_with_the_changes_since() {
    run(async {
        let (store, client) = start().await;
        store.put("targets", "t1", "old");
        store.put("targets", "t1", "new");
        store.set_faults(StoreFaults {
            stale_reads: true,
            ..StoreFaults::default()
        });
        let mut watch = KindWatch::new("targets").with_stale_list();
        let step = watch.step(&client).await.expect("a list");
        let WatchStep::Listed { list, sent_at } = step else {
            panic!("{step:?}");
        };
        assert_eq!(sent_at, None, "a list of a moment ago confirms nothing");
        store.set_faults(StoreFaults::default());
        let from = Instant::now();
        let step = watch.step(&client).await.expect("the changes since");
        assert!(from.elapsed() < Duration::from_millis(500));
        let WatchStep::Changed {
            changes, sent_at, ..
        } = step
        else {
            panic!("{step:?}");
        };
        assert!(!sent_at.is_zero());
        let latest = changes.last().and_then(|change| change.value.clone());
        let listed = list.objects.last().map(|object| object.value.clone());
        assert_eq!(latest.or(listed).as_deref(), Some("new"));
    });
}

#[test]
fn a_stale_list_without_changes_since_is_confirmed_at_once() {
    run(async {
        let (store, client) = start().await;
        store.put("targets", "t1", "value");
        let mut watch = KindWatch::new("targets").with_stale_list();
        watch.step(&client).await.expect("a list");
        let from = Instant::now();
        let step = watch.step(&client).await.expect("an answer");
        assert!(from.elapsed() < Duration::from_millis(500), "it waited");
        assert!(matches!(step, WatchStep::Changed { sent_at, .. } if !sent_at.is_zero()));
    });
}

thread_local! {
    static PAGES: Cell<u64> = const { Cell::new(0) };
}

// Two pages of versions 9 and 7, as two copies of the store may answer.
fn page(_: &[u8]) -> fighall_store::errors::Result<ListPage> {
    let number = PAGES.get();
    PAGES.set(number + 1);
    let object = fighall_store::object::StoreObject {
        name: format!("t{number}"),
        version: 5,
        value: "value".to_owned(),
    };
    Ok(ListPage {
        list: ObjectList {
            version: 9 - 2 * number,
            objects: vec![object],
            ..ObjectList::default()
        },
        has_more: number == 0,
    })
}

#[test]
fn a_list_is_as_old_as_its_oldest_page() {
    run(async {
        let (_store, client) = start().await;
        let client = client.with_mapping(StoreMapping {
            page,
            ..StoreMapping::default()
        });
        let list = client.list_stale("targets").await.expect("a list");
        assert_eq!(list.objects.len(), 2);
        assert_eq!(
            list.version, 7,
            "changes after the older page would be missed"
        );
    });
}
