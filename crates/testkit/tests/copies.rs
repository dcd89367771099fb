//! Copies of refusals that a target's stand-in sends.

mod support;

use compio::{
    BufResult,
    io::{AsyncRead, AsyncWriteExt},
    net::TcpStream,
};
use fighall_testkit::{behaviour::TargetBehaviour, target::TargetStandIn};
use std::{net::SocketAddr, time::Duration};
use support::run;

const REFUSALS: usize = 12;
const BOUND: Duration = Duration::from_secs(5);

async fn send(stream: &mut TcpStream, id: &str, target: &str) {
    let request = format!(
        "GET /work HTTP/1.1\r\nHost: desk.example\r\nfighall-request: {id}\r\nfighall-target: {target}\r\n\r\n"
    );
    let BufResult(sent, _) = stream.write_all(request.into_bytes()).await;
    sent.unwrap();
}

async fn read_until(stream: &mut TcpStream, enough: impl Fn(&str) -> bool) -> String {
    let mut text = String::new();
    while !enough(&text) {
        let read = stream.read(Vec::with_capacity(4_096));
        let BufResult(count, bytes) = compio::time::timeout(BOUND, read).await.unwrap();
        assert!(count.unwrap() > 0, "{text}");
        text.push_str(&String::from_utf8_lossy(&bytes));
    }
    text
}

#[test]
fn each_refusal_is_followed_by_one_copy_at_the_latest_before_the_next_response() {
    run(async {
        let behaviour = TargetBehaviour {
            copies_refusals_percent: 100,
            ..TargetBehaviour::default()
        };
        let loopback = SocketAddr::from(([127, 0, 0, 1], 0));
        let target = TargetStandIn::start("new", loopback, behaviour)
            .await
            .unwrap();
        let mut stream = TcpStream::connect(target.address()).await.unwrap();
        for number in 0..REFUSALS {
            let (refused, next) = (format!("refused-{number}"), format!("next-{number}"));
            send(&mut stream, &refused, "former").await;
            let mut text = read_until(&mut stream, |text| text.contains("\r\n\r\n")).await;
            compio::time::sleep(Duration::from_millis(250)).await;
            send(&mut stream, &next, "new").await;
            text += &read_until(&mut stream, |text| text.contains("\"padding\":\"\"}")).await;
            assert_eq!(text.matches("HTTP/1.1 421").count(), 2, "{text}");
            assert_eq!(text.matches(&refused).count(), 2, "{text}");
            assert_eq!(text.matches("fighall-run: no").count(), 2, "{text}");
            let last = text.rfind("HTTP/1.1 421").unwrap();
            assert!(last < text.find("HTTP/1.1 200").unwrap(), "{text}");
        }
        let ran = target.record().started;
        assert_eq!(usize::try_from(ran).unwrap(), REFUSALS);
    });
}
