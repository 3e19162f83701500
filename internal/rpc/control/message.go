// Package control defines the RPC messages of control and store hosts and a client that finds each group's leader.
package control

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/policy/apportion"
	"rhubarbgate.example/rhubarbgate/internal/policy/evacuation"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/policy/quarantine"
	"rhubarbgate.example/rhubarbgate/internal/policy/versions"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

// Names of the RPC methods.
const (
	MethodHello   = "/control/Hello"
	MethodPoll    = "/config/Poll"
	MethodSettle  = "/control/Settle"
	MethodPropose = "/control/Propose"
	MethodLease   = "/control/Lease"
	MethodRenew   = "/control/Renew"
	MethodQuery   = "/control/Query"
	MethodCommit  = "/control/Commit"
	MethodMember  = "/control/Member"
	MethodStatus  = "/control/Status"

	MethodRegister = "/control/Register"
	MethodDocument = "/control/Document"
	MethodRetire   = "/control/Retire"
	MethodCrashes  = "/control/Crashes"
	MethodLimits   = "/control/ClaimLimits"
	MethodStreams  = "/control/Streams"
	MethodLift     = "/control/Lift"

	MethodEvacuate   = "/control/Evacuate"
	MethodEvacuation = "/control/Evacuation"
)

// FleetGroup is the ID of the Raft group that holds the configuration and the list of
// hosts.
const FleetGroup uint32 = 0

// GroupOf returns the job group of a workspace by the hash of its name. Job groups are
// numbered from 1.
func GroupOf(workspace string, groups int) uint32 {
	return uint32(xxhash.Sum64String(workspace)%uint64(groups)) + 1
}

// Hello is the empty request of the methods Hello and Status.
type Hello struct{}

// HelloReply is the identity of a host and, on control hosts, the initial membership of
// the fleet group.
type HelloReply struct {
	ID          uint64
	Incarnation uint64
	Address     netip.AddrPort
	// Initialised says that the host has replicated state.
	Initialised bool
	// Members is the initial membership, as long as it has never changed.
	Members raft.Members
	Groups  int
}

// Poll is a long poll for configuration newer than Version, for up to Wait.
type Poll struct {
	Version uint64
	Wait    time.Duration
	// Targets is the digest of the list of targets that the polling process holds.
	Targets uint64 `msgpack:",omitempty"`
	// TargetsAge is how long ago that list was requested from the platform; 0 in polls of earlier builds.
	TargetsAge time.Duration `msgpack:",omitempty"`
	// Quarantine is the version of the quarantine that the polling process holds.
	Quarantine LeaderVersion
	// Limits is the version of the target limits that the polling process holds.
	Limits LeaderVersion
	// Evacuation is the version of the evacuated zones that the polling process holds. It is nil in the
	// polls of earlier builds, which would otherwise never be held while a zone is evacuated.
	Evacuation *uint64 `msgpack:",omitempty"`
}

// PollReply carries the bundles after the polled version or, if they are no longer
// kept, the full configuration.
type PollReply struct {
	Version uint64
	Digest  []byte `msgpack:",omitempty"`
	// Sum is the checksum of the configuration at Version.
	Sum     uint64
	Bundles []rhubarbgate.Bundle `msgpack:",omitempty"`
	Section *rhubarbgate.Section `msgpack:",omitempty"`
	// Age is how long ago Version was confirmed as the newest, at the time of the reply.
	Age time.Duration
	// Held is how long the reply was delayed because nothing changed.
	Held time.Duration `msgpack:",omitempty"`
	// Groups is the number of job groups.
	Groups int
	// Backlog lists the models and routes that pending batch items need. A side without
	// an EngineProbe requests leases only for those of them that its target serves.
	Backlog []string `msgpack:",omitempty"`
	Peers   Peers    `msgpack:",omitempty"`
	Targets *TargetList
	// Quarantine is nil if the polling process holds this version or a newer one.
	Quarantine *Quarantine `msgpack:",omitempty"`
	// Limits is nil if the polling process holds this version or a newer one.
	Limits *TargetLimits `msgpack:",omitempty"`
	// Evacuation is nil if the polling process holds this version or a newer one. Age holds for the
	// evacuated zones too: they are part of the same replicated state as the configuration.
	Evacuation *evacuation.Set `msgpack:",omitempty"`
}

// Evacuate orders the evacuation of an availability zone, or withdraws it.
type Evacuate struct{ Order evacuation.Order }

// EvacuateReply is the reply to an Evacuate.
type EvacuateReply struct {
	Routing
	// Err is set if the zone is not known, or whether it is.
	Err *rhubarbgate.Error
	// Set is in force after the order; Changed is false if the order had been carried out before.
	Set     evacuation.Set
	Changed bool
}

// EvacuationReply lists the evacuated zones at the time of the call.
type EvacuationReply struct {
	Routing
	Set evacuation.Set
}

// TargetLimits lists the targets that state a limit, and which processes send to them how much.
type TargetLimits struct {
	Version LeaderVersion
	Limits  []apportion.Limit
	// Processes are those that send to all targets, empty if no target can be cold or none are known.
	Processes []string `msgpack:",omitempty"`
}

// ClaimLimits claims parts of the targets' limits from the leader of the fleet group.
type ClaimLimits struct {
	Claim apportion.Claim
	// Version is that of the list that the claiming process has.
	Version LeaderVersion
}

// ClaimLimitsReply is the reply to ClaimLimits. The limits follow with polls.
type ClaimLimitsReply struct{ Routing }

// LeaderVersion orders what all leaders of the fleet group have published: by the leader's term,
// then by the changes that this leader made.
type LeaderVersion struct{ Term, Number uint64 }

// NewerThan reports whether v is newer than o.
func (v LeaderVersion) NewerThan(o LeaderVersion) bool {
	return v.Term > o.Term || v.Term == o.Term && v.Number > o.Number
}

// Quarantine lists the parts of prompts at which targets end.
type Quarantine struct {
	Version LeaderVersion
	// Suspects are parts that will be blocked unless a daemon reports an answer to them.
	Suspects []quarantine.Part
	Blocks   []quarantine.Block
}

// Aged returns the quarantine as it is after d.
func (q Quarantine) Aged(d time.Duration) Quarantine {
	blocks := make([]quarantine.Block, 0, len(q.Blocks))
	for _, b := range q.Blocks {
		if aged, ok := b.Aged(d); ok {
			blocks = append(blocks, aged)
		}
	}
	q.Blocks = blocks
	return q
}

// Crashes reports to the leader of the fleet group which targets ended with which prompts.
type Crashes struct {
	Report quarantine.Report
	// Trial asks for a trial with a prompt that has these parts, which are blocked.
	Trial []quarantine.Part `msgpack:",omitempty"`
	// ReturnedTrials are the parts of granted trials that reached no target.
	ReturnedTrials [][]quarantine.Part `msgpack:",omitempty"`
}

// CrashesReply is the reply to Crashes.
type CrashesReply struct {
	Routing
	// Term is that of the leader, which has kept the report until the term ends.
	Term uint64
	// Released are parts of reported blocks that were answered since.
	Released []quarantine.Part
	// TrialGranted says that one request with the parts in Trial may be sent.
	TrialGranted bool `msgpack:",omitempty"`
}

// Lift lifts the blocks of parts, by their IDs, at the leader of the fleet group.
type Lift struct{ Parts []string }

// LiftReply is the reply to Lift.
type LiftReply struct {
	Routing
	// Lifted are the parts of which something was known, Quarantine is what is in force now.
	Lifted     []quarantine.Part
	Quarantine Quarantine
}

// StreamRecord says where a stream began.
type StreamRecord struct {
	// Stream identifies the stream among those of all callers.
	Stream  string
	Service string
	// Version is that of the target's software. It is not known yet if the list does not show the
	// Instance, see Listed.
	Version  string `msgpack:",omitempty"`
	Listed   bool   `msgpack:",omitempty"`
	Instance string `msgpack:",omitempty"`
}

// Streams gives a control host records of streams to keep in memory, and asks for one.
type Streams struct {
	Began []StreamRecord `msgpack:",omitempty"`
	// Find is the stream whose record to return, empty for none, and Services are those for which to
	// return the versions.
	Find     string   `msgpack:",omitempty"`
	Services []string `msgpack:",omitempty"`
}

// StreamsReply is the reply to Streams.
type StreamsReply struct {
	// Known is for how long the host has kept records and followed the list of targets.
	Known  time.Duration
	Found  *StreamRecord     `msgpack:",omitempty"`
	Listed []versions.Listed `msgpack:",omitempty"`
}

// TargetList is the platform's list of targets as a control host last read it.
type TargetList struct {
	// Digest is 0 until a list has been read.
	Digest uint64
	// Age is how long ago the list was requested from the platform.
	Age time.Duration
	// Instances is empty if the polling process holds the list with this digest.
	Instances []rhubarbgate.Instance
	// ReadLag is how long before the list was requested last its cold times were read. They run out
	// without another digest.
	ReadLag time.Duration `msgpack:",omitempty"`
}

// HasCold reports whether an instance was cold when the list was read.
func (l *TargetList) HasCold() bool {
	return slices.ContainsFunc(l.Instances, func(x rhubarbgate.Instance) bool { return x.ColdLeft > 0 })
}

// Confirmed returns the list as requested some time later with the same content.
func (l TargetList) Confirmed(elapsed time.Duration) TargetList {
	if l.HasCold() {
		l.ReadLag += elapsed
	}
	return l
}

// Current returns the instances with their cold times as of when the list was requested.
func (l *TargetList) Current() []rhubarbgate.Instance {
	if l.ReadLag <= 0 || !l.HasCold() {
		return l.Instances
	}
	list := slices.Clone(l.Instances)
	for i := range list {
		list[i].ColdLeft = max(0, list[i].ColdLeft-l.ReadLag)
	}
	return list
}

// Peers are the addresses of the hosts that keep replicated state, as known to the
// replying host.
type Peers struct {
	Controls []netip.AddrPort
	Stores   []netip.AddrPort
	// StoreGroups is the number of job groups on the store hosts, 0 while there are
	// none.
	StoreGroups int
}

// Register reports to the leader of the fleet group that a host is alive.
type Register struct {
	Host fleet.HostRecord
	// Leads are the memberships of the job groups that the host leads.
	Leads []GroupMembers
	// Targets is the digest of the list of targets that a control host holds.
	Targets uint64 `msgpack:",omitempty"`
	// Quarantine and Limits are the versions of the quarantine and of the target limits that a
	// control host holds.
	Quarantine, Limits LeaderVersion
	// Evacuation is the version of the evacuated zones that a control host holds.
	Evacuation uint64 `msgpack:",omitempty"`
}

// GroupMembers is the membership of a job group, as reported by its leader in Term.
type GroupMembers struct {
	Group   uint32
	Term    uint64
	Members raft.Members
}

// RegisterReply lists all hosts that keep replicated state.
type RegisterReply struct {
	Routing
	Hosts []HostState
	// First is the initial membership of the job groups, nil until it is known.
	First *fleet.InitialStoreHosts
	// Targets is the leader's list of targets, for control hosts.
	Targets *TargetList `msgpack:",omitempty"`
	// Quarantine and Limits are those of the leader, for control hosts that hold older ones.
	Quarantine *Quarantine   `msgpack:",omitempty"`
	Limits     *TargetLimits `msgpack:",omitempty"`
	// Evacuation is that of the leader, for control hosts that hold an older version.
	Evacuation *evacuation.Set `msgpack:",omitempty"`
}

// HostState is a host and the time since the leader last received its Register, or since
// the leader's term began if it received none.
type HostState struct {
	Record fleet.HostRecord
	Silent time.Duration
}

// Document requests the configuration document as the operator sent it.
type Document struct{}

// DocumentReply is the newest configuration document at the time of the call.
type DocumentReply struct {
	Routing
	Version  uint64
	Document []byte
}

// Retire starts moving the replicas of a store host to other hosts or, with Query,
// only returns whether that is done.
type Retire struct {
	Name  string
	Query bool
}

// RetireReply is the reply to a Retire.
type RetireReply struct {
	Routing
	Err *rhubarbgate.Error
	// Done says that the host has no replicas left.
	Done bool
}

// Routing is embedded in the replies of all methods that only a group's leader serves.
type Routing struct {
	// NotLeader says that the host does not lead the group, so the call had no effect.
	NotLeader bool `msgpack:",omitempty"`
	// Leader is the leader's address if NotLeader is set and another host is known to
	// lead.
	Leader netip.AddrPort
}

// Redirect returns whether the call must be sent to another host, and the leader's
// address, if known.
func (r *Routing) Redirect() (bool, netip.AddrPort) { return r.NotLeader, r.Leader }

// Settle reports spent tokens and requests more from the owner of the rates.
type Settle struct {
	Group  uint32
	Holder string
	Asks   []limit.TokenRequest
}

// SettleReply carries a grant for each token request.
type SettleReply struct {
	Routing
	Grants []limit.Grant
}

// Propose is a command to commit in a job group.
type Propose struct {
	Group   uint32
	Command shard.Command
}

// ProposeReply carries the result of the command.
type ProposeReply struct {
	Routing
	Result *shard.Result
}

// Lease requests leases on up to Count batch items that a side can run.
type Lease struct {
	Group uint32
	Side  string
	// Incarnation is drawn at random when the side starts. A new one ends the leases of
	// the earlier process.
	Incarnation string
	Needs       []string // models and routes whose items the side requests
	Count       int
}

// LeaseReply lists the leased items. The leases expire TTL after the request was sent.
type LeaseReply struct {
	Routing
	Granted []jobs.Grant
	TTL     time.Duration
}

// Renew renews leases.
type Renew struct {
	Group uint32
	Side  string
	Items []jobs.ItemRef
}

// RenewReply reports which leases are still valid, in the order of the request.
type RenewReply struct {
	Routing
	Live []bool
}

// Query reads the state of a job group; either one pointer or Burn is set.
type Query struct {
	Group     uint32
	Workspace string
	Job       *string
	File      *string
	List      *int
	Input     *PageQuery
	Output    *PageQuery
	Burn      bool
	// Results requests results of a submitted job.
	Results *PageQuery
	// Item requests the input of one item of a submitted job.
	Item *ItemQuery
}

// ItemQuery identifies an item of a submitted job.
type ItemQuery struct{ Job, Item string }

// PageQuery requests lines of a file or of a job's output, from Index on and up to
// MaxBytes.
type PageQuery struct {
	ID       string
	Index    int
	MaxBytes int
}

// QueryReply is the reply to a Query.
type QueryReply struct {
	Routing
	Job  *jobs.Job
	File *jobs.File
	List []jobs.Job
	Page *jobs.Page
	Burn []burn.Count
	// Results is the requested page of results.
	Results *rhubarbgate.ResultPage
	// Line is the requested item's input.
	Line []byte
}

// Commit is a signed bundle to commit.
type Commit struct{ Bundle rhubarbgate.Bundle }

// CommitReply is the outcome of a commit.
type CommitReply struct {
	Routing
	Result *fleet.CommitResult
}

// Member changes the membership of a group by one control host.
type Member struct {
	Group uint32
	// Add is a host to add as a learner; it becomes a voter once it has caught up.
	Add *raft.Member
	// Remove is the ID of a host to remove; 0 means none.
	Remove uint64
}

// MemberReply is the outcome of a membership change.
type MemberReply struct{ Routing }

// StatusReply is the state of a control host and its replicas.
type StatusReply struct {
	ID      uint64
	Address netip.AddrPort
	Groups  []raft.Status
	Version uint64
	Age     time.Duration
}
