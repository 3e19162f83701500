// Package control is the protocol of the control hosts: its messages and a client that finds each group's leader.
package control

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/consensus/raft"
	"rhubarbgate.example/rhubarbgate/internal/policy/limit"
	"rhubarbgate.example/rhubarbgate/internal/state/burn"
	"rhubarbgate.example/rhubarbgate/internal/state/fleet"
	"rhubarbgate.example/rhubarbgate/internal/state/jobs"
	"rhubarbgate.example/rhubarbgate/internal/state/shard"
)

// Names of the methods.
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
)

// FleetGroup is the group that holds the configuration.
const FleetGroup uint32 = 0

// GroupOf returns the job group of a workspace; groups are numbered from 1.
func GroupOf(workspace string, groups int) uint32 {
	return uint32(xxhash.Sum64String(workspace)%uint64(groups)) + 1
}

// Hello asks a control host who it is.
type Hello struct{}

// HelloReply identifies a control host.
type HelloReply struct {
	ID          uint64
	Incarnation uint64
	Address     netip.AddrPort
	// Initialised says that the host has state.
	Initialised bool
	// Members is the first membership, as long as it was never changed.
	Members raft.Members
	Groups  int
}

// Poll asks for configuration newer than Version, waiting up to Wait for it.
type Poll struct {
	Version uint64
	Wait    time.Duration
	// Targets is the digest of the list of targets that the asker holds.
	Targets uint64 `msgpack:",omitempty"`
}

// PollReply carries the bundles behind the polled version or, if they are no
// longer kept, the whole configuration.
type PollReply struct {
	Version uint64
	Digest  []byte `msgpack:",omitempty"`
	// Sum is the checksum of the configuration at Version.
	Sum     uint64
	Bundles []rhubarbgate.Bundle `msgpack:",omitempty"`
	Section *rhubarbgate.Section `msgpack:",omitempty"`
	// Age is how long ago Version was confirmed as the newest.
	Age time.Duration
	// Groups is the number of job groups.
	Groups int
	// Backlog lists the models and routes that pending batch items need, so that
	// sides need not ask for leases in vain.
	Backlog []string `msgpack:",omitempty"`
	Peers   Peers    `msgpack:",omitempty"`
	Targets *TargetList
}

// TargetList is the platform's list of targets as a control host read it.
type TargetList struct {
	// Digest is 0 as long as no list was read.
	Digest uint64
	// Age is how long ago the list was asked for.
	Age time.Duration
	// Instances is empty if the asker holds the same list.
	Instances []rhubarbgate.Instance
}

// Peers are the hosts that keep replicated state, as the answering host knows them.
type Peers struct {
	Controls []netip.AddrPort
	Stores   []netip.AddrPort
	// StoreGroups is the number of job groups of the store hosts, 0 while there
	// are none.
	StoreGroups int
}

// Register tells the leader of the fleet group that a host is alive.
type Register struct {
	Host fleet.HostRecord
	// Leads are the memberships of the groups that the host leads.
	Leads []GroupMembers
}

// GroupMembers is the membership of a job group as its leader knows it.
type GroupMembers struct {
	Group   uint32
	Term    uint64
	Members raft.Members
}

// RegisterReply lists the hosts.
type RegisterReply struct {
	Routing
	Hosts []HostState
	// First is the membership that the job groups begin with, once it is known.
	First *fleet.InitialStoreHosts
}

// HostState is a host with what the leader last heard of it.
type HostState struct {
	Record fleet.HostRecord
	Silent time.Duration
}

// Document asks for the configuration as its operator sent it.
type Document struct{}

// DocumentReply is the newest configuration at the time of the call.
type DocumentReply struct {
	Routing
	Version  uint64
	Document []byte
}

// Retire asks that a store host gives its replicas away or, with Query, how far
// that is.
type Retire struct {
	Name  string
	Query bool
}

// RetireReply is the outcome.
type RetireReply struct {
	Routing
	Err *rhubarbgate.Error
	// Done says that the host holds no replica any more.
	Done bool
}

// Routing is part of every reply of a group's leader.
type Routing struct {
	// NotLeader says that the call had no effect here.
	NotLeader bool `msgpack:",omitempty"`
	// Leader is the leader's address, if known.
	Leader netip.AddrPort
}

// Moved implements routed.
func (r *Routing) Moved() (bool, netip.AddrPort) { return r.NotLeader, r.Leader }

// Settle reports spent tokens and asks for more.
type Settle struct {
	Group  uint32
	Holder string
	Asks   []limit.TokenRequest
}

// SettleReply answers each ask.
type SettleReply struct {
	Routing
	Grants []limit.Grant
}

// Propose commits a command in a job group.
type Propose struct {
	Group   uint32
	Command shard.Command
}

// ProposeReply is the command's result.
type ProposeReply struct {
	Routing
	Result *shard.Result
}

// Lease asks for batch items that a side can run.
type Lease struct {
	Group uint32
	Side  string
	// Incarnation is drawn when the side starts: leases of an earlier one are lost.
	Incarnation string
	Needs       []string
	Count       int
}

// LeaseReply lists the granted items. Leases last TTL from the request's sending.
type LeaseReply struct {
	Routing
	Granted []jobs.Grant
	TTL     time.Duration
}

// Renew prolongs leases.
type Renew struct {
	Group uint32
	Side  string
	Items []jobs.ItemRef
}

// RenewReply tells which leases are still valid.
type RenewReply struct {
	Routing
	Live []bool
}

// Query reads the state of a job group; one of the pointers is set.
type Query struct {
	Group     uint32
	Workspace string
	Job       *string
	File      *string
	List      *int
	Input     *PageQuery
	Output    *PageQuery
	Burn      bool
	// Results asks for the results of a submitted job.
	Results *PageQuery
	// Item asks for the input of one of its items.
	Item *ItemQuery
}

// ItemQuery names an item of a submitted job.
type ItemQuery struct{ Job, Item string }

// PageQuery asks for lines of a file or of a job's output.
type PageQuery struct {
	ID       string
	Index    int
	MaxBytes int
}

// QueryReply answers a Query.
type QueryReply struct {
	Routing
	Job  *jobs.Job
	File *jobs.File
	List []jobs.Job
	Page *jobs.Page
	Burn []burn.Count
	// Results answers a query for results.
	Results *rhubarbgate.ResultPage
	// Line is an item's input.
	Line []byte
}

// Commit commits a signed bundle.
type Commit struct{ Bundle rhubarbgate.Bundle }

// CommitReply is the outcome of a commit.
type CommitReply struct {
	Routing
	Result *fleet.CommitResult
}

// Member changes the membership of all groups by one control host.
type Member struct {
	Group uint32
	// Add is a host to add as a learner; it becomes a voter once it has caught up.
	Add *raft.Member
	// Remove is the ID of a host to take out; 0 means none.
	Remove uint64
}

// MemberReply is the outcome of a membership change.
type MemberReply struct{ Routing }

// StatusReply describes a control host.
type StatusReply struct {
	ID      uint64
	Address netip.AddrPort
	Groups  []raft.Status
	Version uint64
	Age     time.Duration
}
