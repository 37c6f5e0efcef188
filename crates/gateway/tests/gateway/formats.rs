//! What daemons of several builds exchange and leave in the store.

use expect_test::{expect, Expect};
use gooseberry_core::{
    serving::{
        directory::{EngineStage, ServerEntry},
        fleet,
        prompt::PartFingerprint,
        software::{SoftwareKey, StreamKey},
    },
    time::Timestamp,
};
use gooseberry_gateway::{
    changes::RelayMessage,
    peers::{PeerDirectory, PeerRecord},
    stored_evidence::{CrashRecord, SuspectRecord, VerdictRecord},
    updates::{
        format::{self, DatagramFormat, FormatError, ReceivedDatagram},
        PaceRecord, PrefillEnd, ReachRecord, SendRecord, SendUpdate, SpeedSample, UpdateBundle,
        UpdateDatagram, WorkRecord,
    },
    usage::UsageAnswer,
};
use gooseberry_platform::store::{StoreChange, StoreKey};
use proptest::prelude::*;
use strum::EnumCount;

use crate::format_one;

const NOW: Timestamp = Timestamp::from_millis(1_000_000);

/// Number of variants that builds of the first format know.
const FIRST_FORMAT_UPDATES: usize = 16;

/// Returns an update of each variant that the first format has.
fn first_format_updates() -> Vec<SendUpdate> {
    all_updates().into_iter().take(FIRST_FORMAT_UPDATES).collect()
}

/// Returns an update of each variant, in the order of the variants.
fn all_updates() -> Vec<SendUpdate> {
    let record = SendRecord {
        number: 1,
        server: 2,
        decode_server: Some(3),
        tokens: 4,
        prompt_tokens: 5,
        parts: vec![(6, 7)],
    };
    let sample = SpeedSample { tokens: 300, prefill_ms: 9 };
    let reach = ReachRecord { server: 1, incarnation: 2, age_ms: 3, response_age_ms: Some(4) };
    let pace = PaceRecord { server: 1, incarnation: 2, window: 125_000, age_ms: 4 };
    let end = PrefillEnd::Completed(Some(sample));
    let work = WorkRecord {
        service: 1,
        scope: 2,
        rows: vec![(3, 4, 500)],
        rest_served: 6,
        rest_offered: 7,
        rest_accounts: 8,
        contention_age_ms: Some(9),
    };
    let updates = vec![
        SendUpdate::Started(record),
        SendUpdate::Ended { number: 1, server: 2, end },
        SendUpdate::Summary { pending: vec![1], running: vec![(2, 3)] },
        SendUpdate::PartCrash { engine: 3, parts: vec![11, 22], age_ms: 4, is_trial: true },
        SendUpdate::PartsCompleted { parts: vec![11] },
        SendUpdate::PartsProven { parts: vec![11] },
        SendUpdate::TrialBegan { parts: vec![11], holder: 5 },
        SendUpdate::TrialEnded { holder: 5 },
        SendUpdate::LimitStated { server: 1, per_1000_s: Some(3500), age_ms: 6 },
        SendUpdate::LimitedSend { server: 1 },
        SendUpdate::PartConvicted { part: 11, engines: vec![1, 2, 3] },
        SendUpdate::ServerLeaving { server: 1, incarnation: 2 },
        SendUpdate::StreamSent { stream: 1, software: 2 },
        SendUpdate::OriginAsked { stream: 1, service: "m".to_owned() },
        SendUpdate::Reached { servers: vec![reach] },
        SendUpdate::ReachAsked { service: "m".to_owned() },
        SendUpdate::Paced { servers: vec![pace] },
        SendUpdate::AccountWork(work),
        SendUpdate::ClockStated { wall_ms: 300 },
        SendUpdate::StreamTargeted { stream: 1, start: 2 },
    ];
    assert_eq!(updates.len(), SendUpdate::COUNT);
    updates
}

fn datagram(sender: &str, updates: Vec<SendUpdate>) -> UpdateDatagram {
    let bundle = UpdateBundle { daemon: 7, name: "one".to_owned(), updates, unknown: Vec::new() };
    UpdateDatagram { sender: sender.to_owned(), bundles: vec![bundle] }
}

/// Encodes a datagram as a newer build does, with an update that this build doesn't know.
fn newer_frame() -> (Vec<u8>, Vec<u8>) {
    let unknown = vec![SendUpdate::COUNT as u8 + 3, 1, 2, 3];
    let mut datagram = datagram("one", all_updates());
    datagram.bundles[0].unknown.push(unknown.clone());
    let bytes = format::encode(&datagram, DatagramFormat::Framed).expect("encodes");
    (bytes, unknown)
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Encodes updates one by one, so that a change shows which variant it concerns.
fn assert_golden(format: DatagramFormat, expected: &Expect) {
    let encode = |update: &SendUpdate| {
        let datagram = datagram("one", vec![update.clone()]);
        hex(&format::encode(&datagram, format).expect("encodes"))
    };
    let lines: String = all_updates().iter().map(|update| encode(update) + "\n").collect();
    expected.assert_eq(&lines);
}

#[test]
fn the_bytes_of_the_first_format_never_change() {
    assert_golden(
        DatagramFormat::Unframed,
        &expect![[r#"
            036f6e650107036f6e650100010201030405010607
            036f6e650107036f6e65010101020001ac0209
            036f6e650107036f6e6501020101010203
            036f6e650107036f6e65010303020b160401
            036f6e650107036f6e650104010b
            036f6e650107036f6e650105010b
            036f6e650107036f6e650106010b05
            036f6e650107036f6e65010705
            036f6e650107036f6e6501080101ac1b06
            036f6e650107036f6e65010901
            036f6e650107036f6e65010a0b03010203
            036f6e650107036f6e65010b0102
            036f6e650107036f6e65010c0102
            036f6e650107036f6e65010d01016d
            036f6e650107036f6e65010e010102030104
            036f6e650107036f6e65010f016d
            036f6e650107036f6e6500
            036f6e650107036f6e6500
            036f6e650107036f6e6500
            036f6e650107036f6e6500
        "#]],
    );
}

#[test]
fn the_bytes_of_the_framed_format_never_change() {
    assert_golden(
        DatagramFormat::Framed,
        &expect![[r#"
        00ffff7f0202036f6e650107036f6e65010a00010201030405010607
        00ffff7f0202036f6e650107036f6e6501080101020001ac0209
        00ffff7f0202036f6e650107036f6e650106020101010203
        00ffff7f0202036f6e650107036f6e6501070303020b160401
        00ffff7f0202036f6e650107036f6e65010304010b
        00ffff7f0202036f6e650107036f6e65010305010b
        00ffff7f0202036f6e650107036f6e65010406010b05
        00ffff7f0202036f6e650107036f6e6501020705
        00ffff7f0202036f6e650107036f6e650106080101ac1b06
        00ffff7f0202036f6e650107036f6e6501020901
        00ffff7f0202036f6e650107036f6e6501060a0b03010203
        00ffff7f0202036f6e650107036f6e6501030b0102
        00ffff7f0202036f6e650107036f6e6501030c0102
        00ffff7f0202036f6e650107036f6e6501040d01016d
        00ffff7f0202036f6e650107036f6e6501070e010102030104
        00ffff7f0202036f6e650107036f6e6501030f016d
        00ffff7f0202036f6e650107036f6e65010810010102c8d00704
        00ffff7f0202036f6e650107036f6e65010d110102010304f4030607080109
        00ffff7f0202036f6e650107036f6e65010312ac02
        00ffff7f0202036f6e650107036f6e650103130102
    "#]],
    );
}

/// Guards against counts that a leader of another build takes for others.
#[test]
fn the_bytes_of_a_usage_answer_never_change() {
    let counts = [("a".into(), 2)].into_iter().collect();
    let answer = UsageAnswer { daemon: 7, windows: [(3, counts)].into_iter().collect() };
    let bytes = postcard::to_stdvec(&answer).expect("encodes");
    assert_eq!(hex(&bytes), "07010301016102");
}

#[test]
fn daemons_of_the_first_format_and_of_this_build_exchange_its_updates() {
    let sent = datagram("one", all_updates());
    let bytes = format::encode(&sent, DatagramFormat::Unframed).expect("encodes");
    let old: format_one::UpdateDatagram =
        postcard::from_bytes(&bytes).expect("an old build reads it");
    assert_eq!(old.bundles[0].updates.len(), FIRST_FORMAT_UPDATES);
    let bytes = postcard::to_stdvec(&old).expect("encodes");
    let received = format::decode(&bytes).expect("decodes");
    let kept = datagram("one", first_format_updates());
    assert_eq!(received, ReceivedDatagram { datagram: kept, reads: None, skipped: 0 });
}

/// A relay decodes what it gets, and encodes it again in the format of each receiver.
#[test]
fn updates_pass_through_relays_of_either_build() {
    let sent = datagram("one", all_updates());
    let relay = |datagram: &UpdateDatagram, format| {
        let bytes = format::encode(datagram, format).expect("encodes");
        format::decode(&bytes).expect("decodes").datagram
    };
    let kept = datagram("one", first_format_updates());
    let by_new = relay(&relay(&sent, DatagramFormat::Unframed), DatagramFormat::Framed);
    assert_eq!(by_new, kept);
    let by_old = relay(&relay(&sent, DatagramFormat::Framed), DatagramFormat::Unframed);
    assert_eq!(by_old, kept);
    assert_eq!(relay(&sent, DatagramFormat::Framed), sent);
}

/// Guards against datagrams that are lost as a whole, with every update in them, because the sender's
/// build has an update that this one lacks.
#[test]
fn an_unknown_update_is_skipped_alone_and_passed_on() {
    let (bytes, unknown) = newer_frame();
    let received = format::decode(&bytes).expect("decodes");
    assert_eq!(received.skipped, 1);
    assert_eq!(received.datagram.bundles[0].updates, all_updates());
    assert_eq!(received.datagram.bundles[0].unknown, [unknown]);
    let again = format::encode(&received.datagram, DatagramFormat::Framed).expect("encodes");
    assert_eq!(again, bytes);
    let old = format::encode(&received.datagram, DatagramFormat::Unframed).expect("encodes");
    let old: format_one::UpdateDatagram =
        postcard::from_bytes(&old).expect("an old build reads it");
    assert_eq!(old.bundles[0].updates.len(), FIRST_FORMAT_UPDATES);
}

/// Guards against frames that a build of the first format takes for other updates.
#[test]
fn a_build_of_the_first_format_rejects_frames() {
    let (bytes, _) = newer_frame();
    assert!(postcard::from_bytes::<format_one::UpdateDatagram>(&bytes).is_err());
    let mut longest = bytes;
    longest.resize(64 * 1024, 0);
    assert!(postcard::from_bytes::<format_one::UpdateDatagram>(&longest).is_err());
}

#[test]
fn a_format_of_the_future_is_an_error() {
    let (mut bytes, _) = newer_frame();
    bytes[4] = 3;
    assert!(matches!(format::decode(&bytes), Err(FormatError::Unknown(3))));
}

#[test]
fn a_datagram_that_is_cut_at_any_byte_is_an_error() {
    let (frame, _) = newer_frame();
    let unframed = datagram("one", all_updates());
    let unframed = format::encode(&unframed, DatagramFormat::Unframed).expect("encodes");
    for bytes in [frame, unframed] {
        for length in 0..bytes.len() {
            assert!(format::decode(&bytes[..length]).is_err(), "{length} of {}", bytes.len());
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary bytes don't panic, and give no more bundles and updates than there are bytes.
    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected(
        is_frame in any::<bool>(),
        bytes in prop::collection::vec(any::<u8>(), 0..600)
    ) {
        let start = if is_frame { newer_frame().0[..6].to_vec() } else { Vec::new() };
        let bytes = [start, bytes].concat();
        if let Ok(received) = format::decode(&bytes) {
            let bundles = received.datagram.bundles;
            let updates: usize = bundles.iter().map(|bundle| bundle.updates.len()).sum();
            prop_assert!(bundles.len() + updates <= bytes.len());
        }
    }

    /// A frame with one changed byte doesn't panic. What it decodes to isn't checked: the network's
    /// checksum finds such changes.
    #[test]
    fn a_changed_byte_does_not_panic(index in 0..2000_usize, byte in any::<u8>()) {
        let (mut bytes, _) = newer_frame();
        let index = index % bytes.len();
        bytes[index] = byte;
        let _ = format::decode(&bytes);
    }
}

fn record(daemon: u64, reads: u8) -> PeerRecord {
    PeerRecord {
        address: "10.0.0.1:7380".parse().expect("valid address"),
        domain: "a".into(),
        capacity: 0.25,
        token: "0f".into(),
        daemon,
        reads,
    }
}

fn hear(peers: &PeerDirectory, daemon: u64, reads: Option<u8>) {
    let mut datagram = datagram("one", Vec::new());
    datagram.bundles[0].daemon = daemon;
    peers.record_datagram(&ReceivedDatagram { datagram, reads, skipped: 0 }, NOW);
}

fn format(peers: &PeerDirectory) -> DatagramFormat {
    peers.target("one").expect("known daemon").format
}

#[test]
fn a_daemon_is_sent_the_newest_format_that_it_reads() {
    let peers = PeerDirectory::default();
    peers.put("one", record(0, 0), NOW);
    assert_eq!(format(&peers), DatagramFormat::Unframed, "the record of a build that states none");
    peers.put("one", record(7, 2), NOW);
    assert_eq!(format(&peers), DatagramFormat::Framed);
    peers.put("one", record(7, 9), NOW);
    assert_eq!(format(&peers), DatagramFormat::NEWEST, "a build of the future");
}

/// A daemon that goes back to its old build is heard before the store tells its new record.
#[test]
fn a_daemon_that_starts_with_an_older_build_is_sent_its_format_at_once() {
    let peers = PeerDirectory::default();
    peers.put("one", record(7, 2), NOW);
    hear(&peers, 7, None);
    assert_eq!(
        format(&peers),
        DatagramFormat::Framed,
        "it doesn't know yet what this daemon reads"
    );
    hear(&peers, 8, None);
    assert_eq!(format(&peers), DatagramFormat::Unframed);
    hear(&peers, 9, Some(2));
    assert_eq!(format(&peers), DatagramFormat::Framed);
}

#[test]
fn records_in_the_store_never_change() {
    let json = |record: &PeerRecord| serde_json::to_string(record).expect("encodes");
    expect![[r#"{"address":"10.0.0.1:7380","domain":"a","capacity":0.25,"token":"0f","daemon":7,"reads":2}"#]].assert_eq(&json(&record(7, 2)));
    let old = r#"{"address":"10.0.0.1:7380","domain":"a","capacity":0.25}"#;
    let old: PeerRecord = serde_json::from_str(old).expect("a record of an older build");
    assert_eq!(old, PeerRecord { token: "".into(), ..record(0, 0) });
    let newer = r#"{"address":"10.0.0.1:7380","domain":"a","capacity":0.25,"later":[1]}"#;
    assert!(serde_json::from_str::<PeerRecord>(newer).is_ok());
    let verdict = VerdictRecord { engines: vec![1, 2] };
    expect![[r#"{"engines":[1,2]}"#]].assert_eq(&serde_json::to_string(&verdict).expect("encodes"));
    assert!(serde_json::from_str::<VerdictRecord>(r#"{"engines":[1],"later":0}"#).is_ok());
    let crashes = vec![CrashRecord { engine: u64::MAX, after_ms: 1500, is_trial: true }];
    expect![[
        r#"{"version":1,"crashes":[{"engine":18446744073709551615,"after_ms":1500,"is_trial":true}]}"#
    ]]
    .assert_eq(
        &serde_json::to_string(&SuspectRecord { version: 1, crashes }).expect("encodes"),
    );
    assert!(
        serde_json::from_str::<SuspectRecord>(r#"{"version":2,"crashes":[],"later":0}"#).is_ok()
    );
}

/// The changes that a relay serves have no frame: a build that changes them has to name another path.
#[test]
fn the_changes_of_a_relay_never_change() {
    let change = |subject, value| StoreChange { subject, revision: 300, value };
    let message = RelayMessage {
        changes: vec![
            change(StoreKey::Configuration, Some(vec![1, 2])),
            change(StoreKey::Server("i-1".into()), None),
            change(StoreKey::Own("daemons/one".into()), Some(Vec::new())),
            change(StoreKey::Other, None),
        ],
        revision: 301,
    };
    expect!["0400ac02010201020103692d31ac0200020b6461656d6f6e732f6f6e65ac02010003ac0200ad02"]
        .assert_eq(&hex(&postcard::to_stdvec(&message).expect("encodes")));
}

/// Daemons compare these hashes with those of others.
#[test]
fn hashes_that_daemons_exchange_never_change() {
    let entry = ServerEntry {
        id: "i-1".into(),
        service: "model".into(),
        address: "10.0.0.2:80".parse().expect("valid address"),
        domain: "a".into(),
        slots: 6,
        software: "v1".into(),
        is_draining: false,
        stage: EngineStage::Mixed,
        is_reclaimable: false,
        started_at_ms: Some(1),
        sequence: 1,
    };
    let hashes = [
        ("server", fleet::server_hash("i-1")),
        ("incarnation", fleet::incarnation(&entry).0),
        ("software", u64::from(SoftwareKey::of(&entry).0)),
        ("stream", StreamKey::of("a1").0),
        ("part", PartFingerprint::of_name("5c1e07a2").0),
        ("request", PartFingerprint::of_request(1).0),
    ];
    let lines: String = hashes.iter().map(|(name, hash)| format!("{name} {hash:016x}\n")).collect();
    expect![[r#"
        server c5c0a85ae4fc3529
        incarnation a16c77f9d62121a0
        software 0000000043684065
        stream b8fd8403c5ec973c
        part 3a82743b18962ce7
        request 8000000000000001
    "#]]
    .assert_eq(&lines);
}
