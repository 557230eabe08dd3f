//! Measures the CPU time, message bytes, record bytes and memory of the replicated log per entry
//! and per heartbeat, for the documentation of capacity.
//!
//! Three nodes exchange messages in the envelopes of the daemon's calls, but within one thread and
//! without a network or a disk. It should be built in release mode. Times depend on the machine,
//! and byte counts exclude the framing of the transport.

use ragwort_control::agreement::AgreementMessage;
use ragwort_control::agreement::AgreementNode;
use ragwort_control::agreement::AgreementSettings;
use ragwort_control::agreement::DiskWrite;
use ragwort_control::agreement::DurableState;
use ragwort_control::agreement::OutboundMessage;
use ragwort_control::agreement::VoterId;
use ragwort_control::encode_record;
use ragwort_types::AgreementEnvelope;
use ragwort_types::VmIncarnation;
use ragwort_types::VmName;
use std::fs;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

/// The number of voters.
const VOTERS: usize = 3;
/// The number of entries in one measurement.
const ENTRIES: usize = 4_000;
/// The number of heartbeats in one measurement.
const HEARTBEATS: usize = 2_000;
/// The number of entries in the measurement of memory.
const HELD_ENTRIES: usize = 200_000;
/// The size of a page in `/proc/self/statm`, in bytes.
const PAGE_BYTES: usize = 4_096;
/// The size of the measured snapshot, in bytes.
const SNAPSHOT_BYTES: usize = 8 * 1024 * 1024;
/// A part of a command, with about as many quotes as the JSON of contracts.
const COMMAND_PART: &str = "{\"kind\":\"status\",\"max_age_ms\":1500,\"deadline_ms\":800}";
/// The bytes of one unit of the `_per_mb` figures: a mebibyte.
const MEGABYTE: f64 = 1_048_576.0;

/// The resources that one node has used.
#[derive(Clone, Copy, Debug, Default)]
struct NodeCost {
    /// The time spent in the node and in encoding and decoding its messages and records.
    busy: Duration,
    /// The size of the messages that it sent, in bytes.
    sent_bytes: usize,
    /// The size of the records that it wrote, in bytes.
    record_bytes: usize,
}

/// One node and the resources that it has used.
struct MeasuredNode {
    name: VmName,
    node: AgreementNode,
    cost: NodeCost,
}

/// The nodes of one log; the first is the leader.
struct MeasuredLog {
    nodes: Vec<MeasuredNode>,
}

impl MeasuredLog {
    fn start() -> Self {
        let ids: Vec<VoterId> = (1..=VOTERS)
            .map(|number| VoterId::new(format!("vm-{number}").into(), VmIncarnation(1)))
            .collect();
        let nodes = ids.iter().map(|id| start_node(id, &ids)).collect();
        let mut log = Self { nodes };
        while !log.nodes[0].node.is_leader() {
            log.nodes[0].node.tick();
            log.exchange();
        }
        log.clear_costs();
        log
    }

    fn clear_costs(&mut self) {
        for node in &mut self.nodes {
            node.cost = NodeCost::default();
        }
    }

    /// Delivers messages until no node sends any more.
    fn exchange(&mut self) {
        loop {
            let mut texts = Vec::new();
            for node in &mut self.nodes {
                texts.extend(node.take_texts());
            }
            if texts.is_empty() {
                return;
            }
            for (to, text) in texts {
                let receiver = self.nodes.iter_mut().find(|node| node.name == to);
                if let Some(receiver) = receiver {
                    receiver.receive(&text);
                }
            }
        }
    }

    fn propose(&mut self, data: &str) {
        let leader = &mut self.nodes[0];
        let data = data.to_owned();
        let begin = Instant::now();
        leader.node.propose(data).expect("the first node leads");
        leader.cost.busy += begin.elapsed();
    }

    /// Commits entries in batches and prints the cost per entry.
    fn measure_entries(&mut self, size: usize, batch: usize) {
        let data = make_data(size);
        self.clear_costs();
        for _ in 0..ENTRIES / batch {
            for _ in 0..batch {
                self.propose(&data);
            }
            self.exchange();
        }
        let count = (ENTRIES / batch * batch) as f64;
        let leader = self.nodes[0].cost;
        let follower = self.nodes[1].cost;
        let followers = (VOTERS - 1) as f64;
        println!(
            "entry data_bytes={size} batch={batch} wire_bytes_per_follower={:.0} \
             record_bytes={:.0} leader_us={:.2} follower_us={:.2}",
            leader.sent_bytes as f64 / followers / count + follower.sent_bytes as f64 / count,
            leader.record_bytes as f64 / count,
            leader.busy.as_secs_f64() * 1e6 / count,
            follower.busy.as_secs_f64() * 1e6 / count,
        );
    }

    /// Runs ticks without entries and prints the cost per heartbeat.
    fn measure_heartbeats(&mut self) {
        self.clear_costs();
        for _ in 0..HEARTBEATS {
            for node in &mut self.nodes {
                node.node.tick();
            }
            self.exchange();
        }
        let count = HEARTBEATS as f64;
        let leader = self.nodes[0].cost;
        let follower = self.nodes[1].cost;
        println!(
            "heartbeat leader_bytes_per_follower={:.0} answer_bytes={:.0} leader_us={:.2} \
             follower_us={:.2}",
            leader.sent_bytes as f64 / (VOTERS - 1) as f64 / count,
            follower.sent_bytes as f64 / count,
            leader.busy.as_secs_f64() * 1e6 / count,
            follower.busy.as_secs_f64() * 1e6 / count,
        );
    }
}

impl MeasuredNode {
    fn take_texts(&mut self) -> Vec<(VmName, String)> {
        let begin = Instant::now();
        let output = self.node.take_output();
        let messages = output.messages.into_iter();
        let texts: Vec<_> = messages.map(|message| self.encode(message)).collect();
        if !output.writes.is_empty() {
            self.cost.record_bytes += encode_record(&output.writes).len();
        }
        self.cost.busy += begin.elapsed();
        self.cost.sent_bytes += texts.iter().map(|(_, text)| text.len()).sum::<usize>();
        texts
    }

    fn encode(&self, outbound: OutboundMessage) -> (VmName, String) {
        let envelope = AgreementEnvelope {
            from_address: None,
            from: self.name.clone(),
            to: outbound.to.clone(),
            payload: outbound.message.to_text(),
        };
        let text = serde_json::to_string(&envelope).expect("an envelope is text");
        (outbound.to, text)
    }

    fn receive(&mut self, text: &str) {
        let begin = Instant::now();
        let envelope: AgreementEnvelope =
            serde_json::from_str(text).expect("the text is an envelope");
        let message = AgreementMessage::from_text(&envelope.payload);
        let message = message.expect("the payload is a message");
        self.node.receive(message);
        self.cost.busy += begin.elapsed();
    }
}

fn start_node(id: &VoterId, ids: &[VoterId]) -> MeasuredNode {
    let settings = AgreementSettings::new(id.clone(), Vec::new(), 1);
    let node = AgreementNode::start(settings, DurableState::default());
    let mut node = node.expect("an empty node starts");
    node.form(ids.to_vec()).expect("an empty node forms");
    MeasuredNode {
        name: id.vm.clone(),
        node,
        cost: NodeCost::default(),
    }
}

fn start_single() -> AgreementNode {
    let id = VoterId::new("vm-1".into(), VmIncarnation(1));
    let mut node = start_node(&id, std::slice::from_ref(&id)).node;
    while !node.is_leader() {
        node.tick();
    }
    node.take_output();
    node
}

/// Returns text like that of a catalog command, whose quotes take extra bytes at each encoding.
fn make_data(size: usize) -> String {
    let mut data = COMMAND_PART.repeat(size / COMMAND_PART.len() + 1);
    data.truncate(size);
    data
}

/// Returns the resident set size of the process, in bytes.
fn read_resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

fn measure_memory(size: usize) {
    let mut node = start_single();
    let before = read_resident_bytes();
    for _ in 0..HELD_ENTRIES {
        node.propose(make_data(size)).expect("the node leads");
        black_box(node.take_output());
    }
    let held = read_resident_bytes().saturating_sub(before);
    println!(
        "memory data_bytes={size} bytes_per_entry={:.0}",
        held as f64 / HELD_ENTRIES as f64
    );
}

fn measure_snapshot() {
    let mut node = start_single();
    node.propose("last".to_owned()).expect("the node leads");
    node.take_output();
    let data = make_data(SNAPSHOT_BYTES);
    let megabytes = data.len() as f64 / MEGABYTE;
    let index = node.commit_index();
    node.compact(index, data).expect("the entry is delivered");
    let output = node.take_output();
    let begin = Instant::now();
    let record = encode_record(&output.writes);
    let encoded = begin.elapsed();
    let file = [node_identity_record(&node), record].concat();
    let begin = Instant::now();
    let restored = DurableState::from_records(&file).expect("the file is whole");
    let decoded = begin.elapsed();
    black_box(restored);
    println!(
        "snapshot record_bytes_per_data_byte={:.2} encode_ms_per_mb={:.2} decode_ms_per_mb={:.2}",
        file.len() as f64 / (megabytes * MEGABYTE),
        encoded.as_secs_f64() * 1e3 / megabytes,
        decoded.as_secs_f64() * 1e3 / megabytes,
    );
}

fn node_identity_record(node: &AgreementNode) -> Vec<u8> {
    let identity = DiskWrite::Identity(node.id().clone());
    encode_record(&[identity])
}

fn main() {
    // Memory is measured first, before the process has freed memory that entries could reuse.
    measure_memory(300);
    let mut log = MeasuredLog::start();
    log.measure_heartbeats();
    for size in [0, 300, 1_000, 10_000] {
        log.measure_entries(size, 1);
    }
    log.measure_entries(300, 64);
    measure_snapshot();
}
