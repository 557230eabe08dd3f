//! Tests of the compact encoding of long texts and values.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use ragwort_rpc::CompactJson;
use ragwort_rpc::ExpandError;
use ragwort_rpc::compact_text;
use ragwort_rpc::expand_text;
use ragwort_types::HeartbeatReply;
use std::fmt::Write;

/// Returns a configuration of many similar contracts, nested in two layers of JSON.
fn nested_configuration() -> String {
    let mut source = String::from("{\"contracts\":[");
    for number in 0..200 {
        write!(source, "{{\"customer\":\"c{number}\",\"queue_limit\":64}},").unwrap();
    }
    let command = serde_json::json!({ "source": source }).to_string();
    serde_json::json!({ "entries": [command] }).to_string()
}

/// An operator changes a large configuration while VMs have low-bandwidth links. Without
/// compression, heartbeats would be queued behind each change and leases would expire.
#[test]
fn configuration_shrinks_to_a_tenth() {
    let text = nested_configuration();
    let compact = compact_text(text.clone());
    assert!(
        compact.len() * 10 <= text.len(),
        "{} of {}",
        compact.len(),
        text.len()
    );
    assert_eq!(expand_text(&compact).unwrap(), text);
}

/// Short texts such as heartbeats are not encoded, so that they are readable in a packet capture.
#[test]
fn short_text_stays_readable() {
    let text = "{\"h\":1}".to_owned();
    assert_eq!(compact_text(text.clone()), text);
}

/// Truncated or corrupted texts must be reported as errors.
#[test]
fn damaged_text_is_refused() {
    let compact = compact_text(nested_configuration());
    let cut = &compact[..compact.len() / 2];
    assert!(expand_text(cut).is_err());
    assert_eq!(expand_text("z%%"), Err(ExpandError::NotBase64));
    assert_eq!(expand_text("zAAAA"), Err(ExpandError::NotCompressed));
}

/// Any JSON text must survive encoding and decoding.
#[test]
fn any_text_round_trips() {
    for seed in 0..300 {
        let mut generator = Gen::from_size_and_seed(60, seed);
        let words = Vec::<String>::arbitrary(&mut generator);
        let many: Vec<&String> = words.iter().cycle().take(words.len() * 20).collect();
        let text = serde_json::to_string(&many).unwrap();
        let compact = compact_text(text.clone());
        assert_eq!(expand_text(&compact).unwrap(), text, "seed {seed}");
    }
}

/// After a power failure, all VMs receive the whole catalog with their first lease at the same
/// time. The reply must be compressed and must decode to the same value.
#[test]
fn long_value_is_compact_on_the_wire() {
    let value = vec![nested_configuration(); 3];
    let wire = serde_json::to_string(&CompactJson(value.clone())).unwrap();
    assert!(wire.len() * 10 <= nested_configuration().len() * 3);
    let arrived: CompactJson<Vec<String>> = serde_json::from_str(&wire).unwrap();
    assert_eq!(arrived.0, value);
}

/// A short reply must be serialized as plain JSON.
#[test]
fn short_value_is_plain_on_the_wire() {
    let wire = serde_json::to_string(&CompactJson(vec![1, 2, 3])).unwrap();
    assert_eq!(wire, "[1,2,3]");
    let arrived: CompactJson<Vec<u32>> = serde_json::from_str(&wire).unwrap();
    assert_eq!(arrived.0, vec![1, 2, 3]);
    let word: CompactJson<HeartbeatReply> = serde_json::from_str("\"NotYet\"").unwrap();
    assert_eq!(word.0, HeartbeatReply::NotYet);
    assert!(serde_json::from_str::<CompactJson<Vec<u32>>>("\"zz\"").is_err());
}
