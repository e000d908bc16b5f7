// Messages between radishcourse nodes. Ages are in milliseconds at the time
// of sending; they are sent instead of timestamps because the clocks of nodes
// are not assumed to agree.

// What a node reports about itself. Requests omit `node` and `incarnation`,
// which the envelope carries; `zone` and `address` are sent only to a peer
// that does not know them yet, `state` only when it is not alive. `config` is
// a prefix of the configuration's digest.
struct Digest {
  1: optional string node
  2: optional string incarnation
  3: optional string zone
  4: optional string address
  5: optional string state
  6: i64 heartbeat
  7: i64 revision
  8: optional i32 confirmed_age_ms
  9: bool platform_reached
  10: optional binary config
}

struct Member {
  1: Digest digest
  2: i32 age_ms
}

// Heartbeats of other nodes that the sender knows, as parallel lists: CRC-32
// of the incarnation, heartbeat counter, and age in tenths of a second.
struct Vouches {
  1: list<i32> incarnations
  2: list<i64> heartbeats
  3: list<i32> ages_ds
}

struct UpstreamRecord {
  1: string upstream
  2: string state
  3: string boot
  4: string observer
  5: i64 counter
  6: i32 load
  7: i32 age_ms
}

struct LearnedRecord {
  1: string node
  2: i64 counter
  3: binary sums
}

struct Change {
  1: i64 revision
  2: binary digest
  3: binary patch
}

// `document` is zlib-compressed JSON.
struct Snapshot {
  1: i64 revision
  2: binary document
  3: binary digest
}

struct Flushed {
  1: string owner
  2: list<i64> bounds
}

// `full` requests all members and the peer's `zone` and `address`.
struct Pull {
  1: Digest digest
  2: optional list<Flushed> flushed
  3: optional bool full
}

struct PullReply {
  1: Digest digest
  2: optional list<Member> members
  3: optional list<UpstreamRecord> upstreams
  4: optional list<Change> changes
  5: optional Snapshot snapshot
  6: optional list<LearnedRecord> learned
  7: optional Vouches vouches
}

struct BillRecord {
  1: i64 sequence
  2: binary packed
}

struct HoldBills {
  1: string owner
  2: list<BillRecord> bills
}

struct HoldBillsReply {
  1: i32 held
}

struct AcquirePermit {
  1: string upstream
  2: string request_id
  3: i32 ttl_ms
}

struct AcquirePermitReply {
  1: bool granted
  2: i32 retry_after_ms
  3: i64 epoch
  4: string permit
}

struct ReleasePermit {
  1: string upstream
  2: string permit
}

struct ReleasePermitReply {
  1: bool released
}

struct Envelope {
  1: i32 kind
  2: string sender
  3: string incarnation
  4: string key
  5: i64 counter
  6: binary body
  7: binary mac
  8: optional string error
}

// Messages between gateways. `topic` names a table that nodes replicate.
// `lost` tells that the store did not answer the sender's last poll of it. `era`
// counts the restores of the store; versions of two eras can't be compared.
// `revision` is the highest number that an author gave to the content of a row.
// `complete` tells that a reply has all rows of the table.
struct TopicState {
  1: string topic
  2: i64 version
  3: optional i32 confirmed_age_ms
  4: optional bool lost
  5: optional i64 era
  6: optional i64 revision
  7: optional bool complete
}

// A row of the platform's store; a row without a value was deleted. Values
// are zlib-compressed. `version` and `era` are those at which it was written.
struct RowRecord {
  1: string topic
  2: string key
  3: i64 version
  4: optional binary value
  5: optional i64 revision
  6: optional i64 era
}

// `relay_address` is where the sender takes requests that other gateways relay;
// records of third nodes leave it out.
struct PeerRecord {
  1: string node
  2: string incarnation
  3: string zone
  4: string address
  5: i32 age_ms
  6: optional string relay_address
}

// Counts of one node's responses in a roll-out; `arm` is the old or the new
// version. `untimed` counts those whose time does not tell whether it is slow.
struct RouteTally {
  1: string arm
  2: string route
  3: i32 total
  4: i32 bad
  5: i32 slow
  6: optional i32 untimed
}

// Counts of a node. `old_unrepeatable` is the number of its requests in progress
// on the old version that can't be repeated on the new one, and `old_closed` tells
// that it sends no more requests to the old version. Earlier versions of the
// gateway leave both out.
struct RolloutReport {
  1: string service_id
  2: i64 order
  3: string node
  4: i64 counter
  5: list<RouteTally> tallies
  6: i32 old_in_flight
  7: optional i64 era
  8: optional i32 old_unrepeatable
  9: optional bool old_closed
}

// `open_sessions` is a zlib-compressed bitmap of the sessions that the canary
// leaves on the old version. `approved` tells that a node has found the new version
// good.
struct RolloutStatus {
  1: string service_id
  2: string version
  3: string state
  4: i64 order
  5: i64 since_ms
  6: bool published
  7: optional binary open_sessions
  8: optional i64 era
  9: optional bool approved
}

// Tells the node that is responsible for a session, chosen by hash, whether the
// sender serves it from the old version before the canary of a roll-out starts,
// and asks whether any node did. `bucket` is that of the session's hash.
struct SettleSession {
  1: string service_id
  2: i64 order
  3: i32 bucket
  4: bool open
  5: optional i64 era
}

struct SettleSessionReply {
  1: bool open
}

// The reply to a RolloutReport that a node sends by itself: whether the receiver
// knows the order.
struct ReportRolloutReply {
  1: bool known
}

// Requests that a node has in progress at an upstream, the expected prefill
// time of their prompts that are still queued, and whether its latest requests
// there failed; left out if they did not. `speed` tells what the sender has
// observed of the upstream's speed, see the policy's `upstreamspeed`.
struct UpstreamWork {
  1: string upstream
  2: i32 requests
  3: i32 waiting_ms
  4: optional bool doubted
  5: optional i32 speed
}

// A run of an upstream that ended under an answer, a digest of the prompt, and
// whether the answer had just begun, or had no head yet.
struct CrashRecord {
  1: i32 crash
  2: i32 age_ms
  3: i32 prompt
  4: bool fresh
  5: optional bool waiting
}

// Crashes under answers with a part of a prompt since the last complete answer
// with it, and the parts that are quarantined together by a verdict on it.
struct CrashEvidence {
  1: i64 part
  2: list<CrashRecord> crashes
  3: optional i32 completed_age_ms
  4: optional list<i64> quarantined
}

// A rate in requests per second that an upstream named in an answer as its limit
// for all nodes together, or its end if there is none, and whether the sender
// itself has requests for the upstream.
struct UpstreamLimit {
  1: string upstream
  2: i64 started_ms
  3: optional double per_s
  4: i32 age_ms
  5: bool wanted
}

// What the sender knows of the lease of a duty. `node` is empty if it was
// released. `version` and `era` are those at which its row was written, and
// `age_ms` is the time for which the sender has known of them.
struct DutyLease {
  1: string duty
  2: string node
  3: i64 token
  4: i64 version
  5: i64 era
  6: i32 age_ms
}

// `full` requests the nodes that the peer knows; `crash_digest` the evidence of
// crashes if the peer's differs. Empty lists are left out of replies.
struct Sync {
  1: PeerRecord sender
  2: list<TopicState> topics
  3: bool full
  4: optional i64 crash_digest
}

// `wall_ms` is the sender's wall clock, sent where nodes have to agree on the
// time of the epoch.
struct SyncReply {
  1: PeerRecord sender
  2: list<TopicState> topics
  3: optional list<RowRecord> rows
  4: optional list<PeerRecord> peers
  5: optional list<RolloutReport> reports
  6: optional list<RolloutStatus> statuses
  7: list<UpstreamWork> work
  8: optional list<CrashEvidence> crashes
  9: optional list<UpstreamLimit> limits
  10: optional list<DutyLease> duties
  11: optional i64 wall_ms
}

// Requests that ran in a window, as parallel lists: names of organisations, and
// cumulative counts.
struct UsageCounts {
  1: i64 window
  2: list<string> organisations
  3: list<i64> counts
}

// What a node has counted. It counts no more in windows below `complete_below`.
struct NodeUsage {
  1: string node
  2: string incarnation
  3: i64 complete_below
  4: list<UsageCounts> windows
}

// Counts that have changed since the receiver acknowledged the last ones, and
// the fixed counts of closed windows. `relay` tells that the sender can't reach
// the holder of the duty.
struct PushUsage {
  1: list<NodeUsage> nodes
  2: optional list<UsageCounts> fixed
  3: optional bool relay
  4: optional i64 closed_below
}

// `closed_below` is the first window that the sender does not know to be closed.
struct PushUsageReply {
  1: i64 closed_below
}
