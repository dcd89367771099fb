//! Messages between hosts of two versions, which run side by side during an upgrade.

use fighall_gateway::{
    datagram,
    message::{
        CopyStatus, FollowedKind, HeartbeatEcho, HostStatus, KindChanges, OrgUsage, PeerHeartbeat,
        PeerMessage, ZoneDigest, ZoneVersions,
    },
    policy::TrafficPolicy,
};
use fighall_store::object::ObjectChange;
use std::collections::BTreeMap;

/// Heartbeat, digest and changes as 84fcd13 and 2398a11 encode them. They stay when messages get new fields.
const RECORDED: [&str; 3] = [
    "a16162aa616862683161690361741903e86165a36169026174190384616418326172f5616cf46163a861700b\
     616e04616118fa616f185a6177f461730c617a0d61780e617581a4616f65616e646573616e182a6171f94780\
     616c8203056164a16671756f746573f94100616d80",
    "a16164ac6167646c696d61617a666c696d612d61616862683161690361741903e86166f4616e81a661686268\
     326169016161146172f5616cf46177f46163a861700b616e04616118fa616f185a6177f461730c617a0d6178\
     0e617581a4616f65616e646573616e182a6171f94780616c8203056164a0616d806176a6616e006170006162\
     00617300617a006178a0",
    "a16163a5616b6774617267657473617005617607616382a3646e616d656274316776657273696f6e06657661\
     6c7565627b7da3646e616d656274326776657273696f6e076576616c7565f66166f5",
];

fn usage() -> OrgUsage {
    OrgUsage {
        organisation: "andes".to_owned(),
        admitted: 42,
        demand: 7.5,
        recent: vec![3, 5],
    }
}
fn copies() -> CopyStatus {
    CopyStatus {
        policy: 11,
        policy_number: 4,
        policy_age_us: Some(250),
        store_age_us: Some(90),
        store_unreachable: false,
        targets: 12,
        evacuations: 13,
        settings: 14,
    }
}
fn messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::Heartbeat(PeerHeartbeat {
            host: "h1".to_owned(),
            incarnation: 3,
            sent_us: 1_000,
            echo: Some(HeartbeatEcho {
                incarnation: 2,
                sent_us: 900,
                held_us: 50,
            }),
            ready: true,
            leaving: false,
            targets_unreachable: false,
            copies: copies(),
            usages: vec![usage()],
            demands: BTreeMap::from([("quotes".to_owned(), Some(2.5))]),
            limits: Vec::new(),
            crashes: Vec::new(),
        }),
        PeerMessage::Digest(ZoneDigest {
            region: "lima".to_owned(),
            zone: "lima-a".to_owned(),
            relay: "h1".to_owned(),
            incarnation: 3,
            sent_us: 1_000,
            forwarded: false,
            hosts: vec![HostStatus {
                host: "h2".to_owned(),
                incarnation: 1,
                age_ms: 20,
                ready: true,
                leaving: false,
                store_unreachable: false,
                targets_unreachable: false,
            }],
            copies: copies(),
            usages: vec![usage()],
            demands: BTreeMap::new(),
            limits: Vec::new(),
            crashes: Vec::new(),
            versions: ZoneVersions::default(),
        }),
        PeerMessage::Changes(KindChanges {
            kind: FollowedKind::Targets,
            previous: 5,
            version: 7,
            to_forward: true,
            changes: vec![
                ObjectChange {
                    name: "t1".to_owned(),
                    version: 6,
                    value: Some("{}".to_owned()),
                },
                ObjectChange {
                    name: "t2".to_owned(),
                    version: 7,
                    value: None,
                },
            ],
        }),
    ]
}

fn to_hex(bytes: &[u8]) -> String {
    let digits: Vec<_> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.concat()
}

fn from_hex(text: &str) -> Vec<u8> {
    let byte = |start: usize| u8::from_str_radix(&text[start..start + 2], 16);
    let bytes: Result<_, _> = (0..text.len()).step_by(2).map(byte).collect();
    bytes.expect("hexadecimal digits")
}

// Guards against a host that cannot read the messages of hosts of the version before.
#[test]
fn messages_of_the_version_before_are_read() {
    for (recorded, expected) in RECORDED.iter().zip(messages()) {
        let message = datagram::decode(&from_hex(recorded)).expect("a message");
        assert_eq!(format!("{message:?}"), format!("{expected:?}"));
    }
}

// Guards against messages that hosts of the version before cannot read: they ignore fields that they do not have, but
// need all of theirs under the same names.
#[test]
fn messages_hold_all_that_the_version_before_reads() {
    for (recorded, message) in RECORDED.iter().zip(messages()) {
        let encoded = datagram::encode(&message).expect("an encoded message");
        let recorded: ciborium::Value =
            ciborium::from_reader(from_hex(recorded).as_slice()).expect("a value");
        let current: ciborium::Value = ciborium::from_reader(encoded.as_slice()).expect("a value");
        assert!(
            contains(&current, &recorded),
            "{} lacks something of the version before",
            to_hex(&encoded)
        );
    }
}

// Tells whether `current` has all entries of `recorded`, at any depth; further ones are allowed in maps.
fn contains(current: &ciborium::Value, recorded: &ciborium::Value) -> bool {
    use ciborium::Value;
    match (current, recorded) {
        (Value::Map(current), Value::Map(recorded)) => recorded.iter().all(|(name, value)| {
            let found = current.iter().find(|(other, _)| other == name);
            found.is_some_and(|(_, other)| contains(other, value))
        }),
        (Value::Array(current), Value::Array(recorded)) => {
            let pairs = current.iter().zip(recorded);
            current.len() == recorded.len()
                && pairs.into_iter().all(|(one, two)| contains(one, two))
        }
        _ => current == recorded,
    }
}

#[test]
fn unknown_fields_of_a_later_version_are_ignored() {
    for recorded in RECORDED {
        let mut value: ciborium::Value =
            ciborium::from_reader(from_hex(recorded).as_slice()).expect("a value");
        let fields = value.as_map_mut().expect("a message");
        let content = fields[0].1.as_map_mut().expect("its content");
        content.push(("later".into(), 1.into()));
        let mut encoded = Vec::new();
        ciborium::into_writer(&value, &mut encoded).expect("an encoded value");
        let message = datagram::decode(&encoded).expect("a message");
        let expected = datagram::decode(&from_hex(recorded)).expect("a message");
        assert_eq!(format!("{message:?}"), format!("{expected:?}"));
    }
}

// Regression: limits on heads were added to the policy.
#[test]
fn a_policy_of_the_version_before_has_the_default_limits_on_heads() {
    let policy = TrafficPolicy::default();
    let mut value = serde_json::to_value(&policy).expect("a value");
    let limits = value["limits"].as_object_mut().expect("limits");
    for field in ["head_bytes", "head_ms"] {
        assert!(limits.remove(field).is_some(), "{field}");
    }
    let read: TrafficPolicy = serde_json::from_value(value).expect("a policy");
    assert_eq!(read, policy);
}
