//! A store that comes back from an older copy: revisions go back and are given out again.

use fighall_store::{
    client::{ClientOptions, StoreClient, WriteOutcome},
    era::{era_of, version},
    watch::{KindWatch, WatchStep},
};
use fighall_testkit::platform::PlatformStandIn;
use std::{
    net::SocketAddr,
    rc::Rc,
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

async fn listed(watch: &mut KindWatch, client: &StoreClient) -> Vec<(String, u64)> {
    for _ in 0..5 {
        let Ok(step) = watch.step(client).await else {
            continue;
        };
        let WatchStep::Listed { list, .. } = step else {
            continue;
        };
        let objects = list.objects.into_iter();
        return objects
            .map(|object| (object.value, object.version))
            .collect();
    }
    panic!("no list");
}

#[test]
fn a_watch_lists_anew_although_its_revision_was_given_out_again() {
    run(async {
        let (store, client) = start().await;
        store.put("keys", "a", "first");
        let copy = store.copy();
        store.put("keys", "a", "lost");
        let mut watch = KindWatch::new("keys");
        let before = listed(&mut watch, &client).await;
        store.restore(copy);
        // The same revision as that of the lost value.
        store.put("keys", "a", "second");
        let after = listed(&mut watch, &client).await;
        assert_eq!(after[0].0, "second");
        assert!(after[0].1 > before[0].1, "{after:?} after {before:?}");
        assert_eq!(era_of(after[0].1), 1);
    });
}

#[test]
fn a_watch_that_waits_is_told_of_the_new_era() {
    run(async {
        let (store, client) = start().await;
        let (store, client) = (Rc::new(store), Rc::new(client));
        store.put("keys", "a", "first");
        let copy = store.copy();
        store.put("keys", "a", "lost");
        let mut watch = KindWatch::new("keys").with_wait(Duration::from_secs(5));
        listed(&mut watch, &client).await;
        let restored = Rc::clone(&store);
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(200)).await;
            restored.restore(copy);
        })
        .detach();
        let from = Instant::now();
        let after = listed(&mut watch, &client).await;
        assert!(from.elapsed() < Duration::from_secs(2));
        assert_eq!(after, [("first".to_owned(), version(1, 1))]);
    });
}

#[test]
fn a_condition_of_an_earlier_era_holds_for_nothing() {
    run(async {
        let (store, client) = start().await;
        let copy = store.copy();
        let written = client.create("keys", "a", "own").await;
        let Ok(WriteOutcome::Written { version: own }) = written else {
            panic!("{written:?}");
        };
        store.restore(copy);
        // Another writer gets the same revision for another value.
        store.put("keys", "a", "other");
        client.get("keys", "a").await.expect("an answer");
        let deleted = client.delete("keys", "a", own).await;
        assert!(
            matches!(deleted, Ok(WriteOutcome::Conflict { .. })),
            "{deleted:?}"
        );
        let put = client.put("keys", "a", "own again", own).await;
        assert!(matches!(put, Ok(WriteOutcome::Conflict { .. })), "{put:?}");
        assert_eq!(store.get("keys", "a").expect("it stays").value, "other");
    });
}

#[test]
fn a_new_era_is_told_to_those_who_listen() {
    run(async {
        let (store, client) = start().await;
        store.put("keys", "a", "first");
        client.list("keys").await.expect("a list");
        for era in 1..=2 {
            let began = client.listen_era_change();
            store.restore(store.copy());
            client.list("keys").await.expect("a list");
            let told = compio::time::timeout(Duration::from_millis(100), began).await;
            assert!(told.is_ok(), "era {era}");
            assert_eq!(client.era(), era);
        }
    });
}
