//! Every duration and size limit of the core, in ms and bytes. `docs/BOUNDS.md` derives those that a promise
//! rests on; a change here must keep the relations named there.

use crate::base::Time;

/// Lease of a process from the tail, counted from before it asked. On old state a node acts at most this
/// long.
pub const PERMIT: Time = 1500;
/// What two clocks may differ by over a lease: a tenth.
pub const PERMIT_DRIFT: Time = 150;
/// How often a process with a young lease asks the tail.
pub const REFRESH: Time = 250;
/// How old the newest lease is when the tail is asked more often.
pub const REFRESH_LATE: Time = 400;
/// How old the newest lease is when the link to the tail is probed.
pub const REFRESH_DOUBT: Time = 450;
/// Most entries of the replicated log that are kept in memory for those that are behind.
pub const LOG_KEPT_ENTRIES: usize = 4096;
/// Most bytes of them: ten seconds of a storm of 50 changes a second of 1 KB each. Who is further behind
/// takes a snapshot, which then costs about as much as the entries would.
pub const LOG_KEPT_BYTES: usize = 512 << 10;
/// Bytes in the log on disk after which the state is written anew, to the other slot. With the state
/// this bounds the disk: two slots, and two logs of this length and one record.
pub const DISK_LOG_BYTES: usize = 1 << 20;
/// Most entries in one message, and most bytes unless a single one is larger: what a link of 1 MB/s
/// carries well within `LINE_ACK`.
pub const APPEND_ENTRIES: usize = 256;
/// See `APPEND_ENTRIES`.
pub const APPEND_BYTES: usize = 64 << 10;
/// Most entries on their way through the chain that can wait (`Op::can_wait`); more are taken when they are
/// proposed again. An order thus has at most these before it: 32 KB, one message of the chain.
pub const UPKEEP_MOST: usize = 128;
/// How long after it was sent a change without outcome is proposed again to the same head.
pub const PROPOSE_AGAIN: Time = 300;
/// The same at first for one with a whole document: beyond the second after which operators go elsewhere.
pub const DOCUMENT_AGAIN: Time = 1200;
/// Bytes in one part of a snapshot, for the same reason.
pub const SNAPSHOT_PART: usize = 48 << 10;
/// The largest snapshot that a reader begins to collect.
pub const SNAPSHOT_MOST: usize = 64 << 20;
/// How long a part of a snapshot may be on its way before it is asked for again.
pub const SNAPSHOT_AGAIN: Time = 300;
/// How long a sender keeps a snapshot that nobody asks for: a reader cut off for a while resumes.
pub const SNAPSHOT_KEPT: Time = 5000;
/// An answer to a follower of this many bytes is not sent twice while it is on its way.
pub const LARGE_BYTES: usize = 4 << 10;
/// How long a large answer to a follower may be on its way before it is sent again.
pub const LARGE_AGAIN: Time = 600;
/// How soon a follower without a lease asks again; the time doubles twice.
pub const REFRESH_AGAIN: Time = 80;
/// How often that time doubles.
pub const REFRESH_DOUBLINGS: u32 = 2;
/// For how long the tail counts a process as a follower after it asked.
pub const FOLLOWER_KEPT: Time = 5000;
/// How many followers the tail tells of news in a millisecond on average: each costs it a question
/// and an answer. At 4,300 nodes all are told within 2.2 s, well within 7 s.
pub const NUDGES_PER_MILLI: Time = 2;
/// How long bytes to a server may stay unacknowledged before the connection is given up.
pub const BYTES_ACK: Time = 200;
/// How long bytes that were handed to the kernel may still reach a server. A fencing node sends only while
/// its lease has that much left.
pub const BYTES_LIFE: Time = 500;
/// How long a write to another process may take, or bytes to it stay unacknowledged, before the stream is
/// given up.
pub const LINE_ACK: Time = 600;
/// How long a packet may wait for its stream; an older one is dropped.
pub const LINE_OLD: Time = 600;
/// How long a node goes on proposing an order that carries no id. Whoever gave it waits no longer
/// for the answer, and gives it anew elsewhere; a late proposal would be a repeat past its time.
pub const UNNUMBERED_GIVE_UP: Time = 1000;
/// What an order may take on its way to the head, beyond the time in which it is given again.
pub const REPEAT_TRANSIT: Time = 200;
/// How long a primary that is leaving gets new work, counted from the word by the agreed clock.
pub const LEAVING_SERVES: Time = 3000;
/// Lease of the tail from a majority of the voters.
pub const TAIL_PERMIT: Time = 600;
/// What a voter waits beyond it for the drift of clocks.
pub const TAIL_DRIFT: Time = 60;
/// How long a process may go on after it was told to stop, where its settings do not say it.
pub const STOP_GRACE: Time = 6000;
/// How long a stopping process goes on at least, when it has no sessions.
pub const STOP_LEAST: Time = 1000;
/// The same with sessions: all of them were told to leave by then.
pub const STOP_SEEN_OFF: Time = 2700;
/// How often a member of the chain looks after its own work.
pub const CHAIN_AGAIN: Time = 100;
/// How long a successor may make no progress before it is sent again what it lacks: a way there and back
/// between regions, a sync, and a queue.
pub const CHAIN_RESEND: Time = 150;
/// How often a proposer asks the voters, and a member looks whether a view is wanted.
pub const VIEW_ROUND: Time = 50;
/// Pause between two proposals; a voter waits once more for each one before it that it reaches.
pub const VIEW_HOLD: Time = 300;
/// How long an accepted value may lie before another voter finishes the agreement.
pub const VIEW_OPEN: Time = 1500;
/// How long a view stands before one that can wait follows, so that every node gets a lease in between:
/// one round of asking the tail, and what it takes the new tail to get its own.
pub const VIEW_SETTLE: Time = 450;
/// How often a control machine tells the others whom it hears.
pub const CONTACT_ROUND: Time = 120;
/// How long a control machine may say nothing before direct contact with it counts as lost: four
/// reports, since single datagrams get lost.
pub const CONTACT_LOST: Time = 600;
/// How long after its start a machine waits for the first reports before it takes a link for lost.
pub const CONTACT_FIRST: Time = 1500;
/// A gap between two rounds of this process from which on it counts as paused.
pub const CONTACT_PAUSE: Time = 300;
/// How long contact must hold before a machine joins the chain, at first and at most: the time doubles
/// with each loss that comes sooner than `RETURN_FORGET` after a return.
pub const RETURN_FIRST: Time = 500;
/// See `RETURN_FIRST`.
pub const RETURN_MOST: Time = 9_600;
/// The most that contact must hold for a machine without which the chain is too short to take changes:
/// an order must not wait for it as long as a view must be spared a flapping link.
pub const RETURN_NEEDED: Time = 2_000;
/// See `RETURN_FIRST`.
pub const RETURN_FORGET: Time = 6_000;
/// A disk that had something to sync and finished nothing for this long counts as stalled. Slow disks
/// finish a sync within 150 ms.
pub const DISK_STALLED: Time = 600;
/// How often a machine outside the chain writes to its disk, to know whether it answers.
pub const DISK_PROBE: Time = 1000;
/// How long a proposer waits for the promises of voters that it reaches.
pub const PROMISE_WAIT: Time = 600;
/// How long a voter grants no lease after it was asked to accept a value.
pub const ACCEPT_WAIT: Time = 500;
/// Most voters; their number grows by two, so that it stays odd.
pub const VOTERS_MOST: usize = 5;
/// How long a voter that gossip gave up keeps its vote while another disk could take it.
pub const VOTER_REPLACE: Time = 500;
/// How long a process runs before it takes a voter that it never heard of for lost.
pub const VOTER_UNSEEN: Time = 2500;
/// Fewest voters that a change of their number leaves.
pub const VOTERS_LEAST: usize = 3;
/// How long two voters that nobody replaces must be silent to be dropped together.
pub const VOTER_DROP: Time = 10_000;
/// How long the answer to an attempt is awaited beyond the time limit of its statement.
pub const ANSWER_WAIT: Time = 1000;
/// How long an order is proposed before its outcome counts as unknown: two changes of view.
pub const ASK_GIVE_UP: Time = 5000;
/// How much of its bound a read must have left when it sets out.
pub const PROOF_MARGIN: Time = 60;
/// The same where servers check the position.
pub const GUARD_SPARE: Time = 250;
/// How old a position is before reads are guarded by it, so that replicas have applied it.
pub const GUARD_SETTLED: Time = 250;
/// How long a replica that did not answer gets no reads.
pub const SHUN: Time = 1000;
/// How soon a request for which no gateway was known looks again.
pub const NO_GATEWAY: Time = 40;
/// How long a node with work of ours may say nothing before it is asked for an echo, and between two asks.
pub const PEER_ASK: Time = 100;
/// After which silence it is passed by.
pub const PEER_SILENT: Time = 320;
/// After which silence what is under way there is given up.
pub const PEER_LOST: Time = 600;
/// How long a primary's last answer makes a poll needless, where servers check positions.
pub const WATCH_QUIET: Time = 300;
/// How often its replicas are polled there while a successor may be needed.
pub const WATCH_REPLICA: Time = 250;
/// Pause between two look-ups of an id.
pub const LOOK_AGAIN: Time = 100;
/// How often a fencing node polls its servers.
pub const FENCE_POLL: Time = 100;
/// How often other nodes poll servers that they read from.
pub const READ_POLL: Time = 250;
/// How often replicas are polled while a commit waits for them.
pub const ACK_POLL: Time = 15;
/// How long after a read a node goes on asking for its database's position.
pub const POS_WANTED: Time = 600;
/// How often a node asks for a primary's position.
pub const POS_ASK: Time = 250;
/// How long a server may take to answer a poll.
pub const POLL_LIMIT: Time = 400;
/// For how long the clock of another node is taken as known after it was told.
pub const CLOCK_KEPT: Time = 10_000;
/// A gap between two polls of the data plane from which on it counts as paused.
pub const PAUSE: Time = 1000;
/// How long it rejects after a pause what waited meanwhile.
pub const PAUSE_OVER: Time = 400;
/// How long who granted a lease waits until it has surely run out.
pub const FULL: Time = PERMIT + PERMIT_DRIFT;
/// How long an observation of a server may be on its way to the head.
pub const SIGHT_TRANSIT: Time = 300;
/// How old an observation of a server may be to count.
pub const SIGHT_STALE: Time = 1500;
/// How long a node that is leaving serves sessions that it has.
pub const SEE_OFF: Time = 2500;
/// How many others are asked to probe who does not answer.
pub const PROBE_HELPERS: usize = 3;
/// How often a process probes another one.
pub const PROBE_ROUND: Time = 200;
/// How long a probe's answer is awaited before others are asked to probe.
pub const PROBE_DIRECT: Time = 250;
/// How long their answer is awaited before the process is suspected.
pub const PROBE_INDIRECT: Time = 350;
/// How long a suspect has to refute in a small fleet.
pub const SUSPICION: Time = 1200;
/// How many processes a small fleet has, and what each doubling of their number adds to that time.
pub const SUSPICION_FLEET: usize = 16;
/// See `SUSPICION_FLEET`.
pub const SUSPICION_DOUBLING: Time = 400;
/// How much longer who was only told of a suspicion waits for the verdict of who probed.
pub const SUSPICION_TOLD: Time = 2400;
/// How long a process that starts, or was just learnt of, is not suspected nor suspects: it takes in the
/// state meanwhile, over the same link.
pub const PROBE_SETTLE: Time = 1500;
/// Most suspects that are told of it in each round.
pub const SUSPECTS_TOLD: usize = 4;
/// How long a process that was given up is remembered.
pub const FORGET: Time = 60_000;
/// How soon the seeds are asked again at first; the time doubles up to `SEEDS_AGAIN`.
pub const SEEDS_FIRST: Time = 50;
/// How often the seeds are asked at the least.
pub const SEEDS_AGAIN: Time = 1000;
/// How long a planned change of primary waits until its target has caught up.
pub const CATCH_UP: Time = 5000;
/// How long a choice among replicas waits for those not yet seen since the old primary went offline.
pub const HEIR_LOOK: Time = 700;
/// How long a replica must have been silent not to be waited for.
pub const DARK: Time = 600;
/// How long a planned change waits for a replica that may stay, and a failover without any before it goes back
/// to an old primary that is seen.
pub const HEIR_WAIT: Time = 3000;
/// How long a planned change waits beyond the time that open transactions have.
pub const CLOSE_EXTRA: Time = 500;
/// How lately a fencing node must have reached the primary for replicas to be judged by it.
pub const NEAR_AGE: Time = 400;
/// How lately it must have said so.
pub const NEAR_TOLD: Time = 500;
/// How long a replica may be behind or out of reach before it counts as in sync no more.
pub const HEIR_LAG: Time = 1000;
/// How long a process must have been lost to leave the members.
pub const MEMBER_LOST: Time = 3000;
/// How long a new head waits to hear of a member before it takes it for lost.
pub const MEMBER_UNSEEN: Time = 4000;
/// How long who begins to lead the chain watches before it places anything.
pub const PILOT_FIRST: Time = 500;
/// How long it takes a member that it has not heard of for one that runs: news reach everybody meanwhile.
pub const PLACE_UNHEARD: Time = 2000;
/// How soon the placement of a database changes again while it is served, and while nobody serves it.
pub const PLACE_AGAIN: Time = 600;
/// See `PLACE_AGAIN`.
pub const PLACE_UNSERVED_AGAIN: Time = 200;
/// How long a node passes requests on for a database after it ceased to be a gateway of it: until every
/// node with a lease knows the new ones.
pub const GATEWAY_GRACE: Time = 2000;
/// How often placements are looked at, and how many change in a round at most.
pub const PLACE_ROUND: Time = 100;
/// See `PLACE_ROUND`.
pub const PLACE_MOST: usize = 12;
/// How long an accepted promotion may take before it is asked for again.
pub const LEADS_WITHIN: Time = 2500;
/// How long a promotion whose answer nobody has may still take effect, on servers with terms.
pub const UNKNOWN_OVER: Time = 8000;
/// Pause before a promotion that was refused, or whose answer is not known, is asked for again.
pub const PROMOTE_AGAIN: Time = 500;
/// How long a server that said it is gone must be silent to count as ended: beyond the 7 s for which one that
/// leaves serves on.
pub const DEPARTED_SILENT: Time = 10_000;
/// How long observations of servers are kept.
pub const SIGHT_KEPT: Time = 5000;
/// How long a proposal may take before it is given up.
pub const VIEW_MOST: Time = 2500;

/// A duration as a clock that runs 5 % slow counts it: what to allow so that it is not exceeded in true time.
pub fn by_slow_clock(t: Time) -> Time {
    t - t / 20
}

/// For how long an order that comes again counts as a repeat, when operators repeat it for at most
/// `repeated_for`: that time as the fastest clock in use counts it, and the way to the head.
pub const fn repeat_window(repeated_for: Time) -> Time {
    repeated_for + repeated_for / 20 + REPEAT_TRANSIT
}
