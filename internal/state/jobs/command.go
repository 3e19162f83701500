// Package jobs holds the replicated state of batch files, jobs and items.
package jobs

import (
	"time"

	"rhubarbgate.example/rhubarbgate"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ItemState,JobState,FileState -output=state_string.go

// ItemState is the state of one item. Done, Failed and Cancelled are terminal.
type ItemState uint8

const (
	// Pending items wait for a lease.
	Pending ItemState = iota
	// Leased items are assigned to a side, and no start is recorded. Only idempotent
	// ones may have been sent to a target.
	Leased
	// Started items may have been sent to a target.
	Started
	// Done items have a result.
	Done
	// Failed items have no attempts left, cannot be retried, or belong to a job
	// whose retention ended.
	Failed
	// Cancelled items were not terminal when their job was cancelled.
	Cancelled
)

// Terminal reports whether the state is final.
func (s ItemState) Terminal() bool { return s >= Done }

// JobState is the state of a job.
type JobState uint8

const (
	// Running jobs have items that are not terminal.
	Running JobState = iota
	// Completed jobs have only terminal items.
	Completed
	// JobCancelled jobs were cancelled before all their items were terminal.
	JobCancelled
)

// FileState is the state of an uploaded file.
type FileState uint8

const (
	// Uploading files still take items and can be dropped.
	Uploading FileState = iota
	// Ready files can be the input of a job.
	Ready
)

// ItemInput is one accepted line of a file.
type ItemInput struct {
	// ID identifies the item within a job created by Submit; items of uploaded
	// files have none.
	ID string `msgpack:",omitempty"`
	// Needs is what a target must serve to run the item: a model or, with the
	// prefix "/services/", a route. In jobs created by Submit it is the route
	// without the prefix, as it was called when the job was accepted.
	Needs string
	// Idempotent items may run more than once.
	Idempotent bool
	// Line is the input as it was received.
	Line []byte
}

// ItemRef identifies one attempt at an item. Attempt is the fencing token of the
// item's lease: commands with an older number are ignored.
type ItemRef struct {
	Job     string
	Index   int
	Attempt int
}

// Outcome is a side's report on one attempt.
type Outcome struct {
	Ref ItemRef
	// OK is set if the target's response is the item's result.
	OK bool
	// Output is the result line, if OK is set.
	Output []byte
	// Message is the last error of a failed attempt.
	Message string
	// Verdict says whether a failed attempt may have run at a target.
	Verdict rhubarbgate.Verdict
	// Permanent failures are not retried.
	Permanent bool
}

// Command is one command of the replicated log. Exactly one field is set in
// addition to At.
type Command struct {
	// At is the wall clock of the leader that proposed the command. All replicas
	// use it instead of their own clocks.
	At         time.Time
	CreateFile *CreateFile
	Append     *Append
	FinishFile *FinishFile
	DropFile   *DropFile
	CreateJob  *CreateJob
	CancelJob  *CancelJob
	Submit     *Submit
	GiveUp     *GiveUp
	Lease      *Lease
	Start      *Start
	Return     *Return
	Complete   *Complete
	Expire     *Expire
	Collect    *Collect
}

// CreateFile starts an upload. A repeated command changes nothing.
type CreateFile struct {
	ID        string
	Workspace string
	Name      string
}

// Append adds a chunk of items to an upload, of which the first has the index
// First. A repeated chunk changes nothing.
type Append struct {
	File      string
	Workspace string
	First     int
	Items     []ItemInput
}

// FinishFile ends an upload of Count items and Bytes bytes. Key is an optional
// idempotency key and Digest identifies the content: a second upload with the same
// key and digest is dropped and the first file returned.
type FinishFile struct {
	File      string
	Workspace string
	Count     int
	Bytes     int64
	Key       string
	Digest    []byte
}

// DropFile removes a file whose upload is not finished.
type DropFile struct {
	File      string
	Workspace string
}

// CreateJob starts a job whose items are those of a ready file. Results are due
// after Window. With an idempotency key, a second command with the same Key and
// Digest returns the first job.
type CreateJob struct {
	ID        string
	Workspace string
	File      string
	Endpoint  string
	Window    time.Duration
	Key       string
	Digest    []byte
}

// Submit starts a job and carries its items. A repeated command changes nothing.
type Submit struct {
	ID        string
	Workspace string
	// Window is the time until the results are due.
	Window time.Duration
	// Retention is how long items are attempted; a GiveUp command may follow.
	Retention time.Duration
	// Attempts is the number of failure responses from targets, 255 at most, after which an item
	// fails.
	Attempts int
	// Origin is where the job was submitted; an earlier build leaves it out.
	Origin Origin `msgpack:",omitempty"`
	Items  []ItemInput
}

// Origin is where a job was submitted. It selects the job's route in later configurations.
type Origin struct {
	Host, Path string
	// Version is that of the configuration by which the job was accepted.
	Version uint64
}

// GiveUp fails all items of a job that are not terminal.
type GiveUp struct{ Job string }

// CancelJob cancels a job and all its items that are not terminal. An empty
// Workspace matches any.
type CancelJob struct {
	Job       string
	Workspace string
}

// Lease assigns pending items to a side.
type Lease struct {
	Side  string
	Items []ItemRef
}

// Start records that leased items are about to be sent to a target.
type Start struct{ Items []ItemRef }

// Return makes leased items pending again: they never reached a target, or they
// were preempted.
type Return struct {
	Items []ItemRef
	// Progress is the partial output of the attempts, in the order of Items. It may
	// be shorter than Items.
	Progress [][]byte `msgpack:",omitempty"`
	// TargetEnded says, in the order of Items, at which attempts the target ended before it had
	// answered the item. It may be shorter than Items.
	TargetEnded []bool `msgpack:",omitempty"`
}

// Complete records the outcomes of attempts.
type Complete struct{ Outcomes []Outcome }

// Expire ends leases whose side did not renew them or was restarted.
type Expire struct{ Items []ItemRef }

// Collect removes jobs that ended before a time, and files and idempotency keys
// that were created before it. Files of remaining jobs stay.
type Collect struct{ Before time.Time }

// Result is the result of a command; which fields are set depends on the command.
type Result struct {
	Err  *rhubarbgate.Error
	File *File
	Job  *Job
	// Granted lists the leases that were granted.
	Granted []Grant
	// Accepted reports for each item of a Start, Return, Complete or Expire whether
	// its lease was valid. Items without a valid lease are left as they are.
	Accepted []bool
}

// Grant is one leased item with its input.
type Grant struct {
	Ref        ItemRef
	Workspace  string
	Needs      string
	Idempotent bool
	Due        time.Time
	Line       []byte
	// Progress is the partial output of an earlier attempt.
	Progress []byte `msgpack:",omitempty"`
	// TargetEnds is how many targets have ended with the item since one last answered it.
	TargetEnds int `msgpack:",omitempty"`
	// Origin is that of the job. The leader adds it, and replaces Needs by the name of the job's route
	// in force.
	Origin Origin `msgpack:",omitempty"`
}

// File is the description of an uploaded file.
type File struct {
	ID        string
	Workspace string
	Name      string
	State     FileState
	Created   time.Time
	Count     int
	Bytes     int64
}

// Counts are the numbers of a job's items by state. Leased includes started items.
type Counts struct {
	Total     int
	Done      int
	Failed    int
	Cancelled int
	Leased    int
}

// Job is the description of a job.
type Job struct {
	ID        string
	Workspace string
	File      string
	Endpoint  string
	State     JobState
	Created   time.Time
	Due       time.Time
	Ended     time.Time
	Counts    Counts
	// Attempts is the number of failure responses from targets, 255 at most, after which an item
	// fails. It is 0 unless the job was created by Submit.
	Attempts int `msgpack:",omitempty"`
	// Retain is the time until which the items of a job created by Submit are
	// attempted.
	Retain time.Time `msgpack:",omitempty"`
	Origin Origin    `msgpack:",omitempty"`
}
