// Package jobs is the replicated state of batch files, jobs and items.
package jobs

import (
	"time"

	"rhubarbgate.example/rhubarbgate"
)

//go:generate go tool -modfile=../../../tools/go.mod stringer -type=ItemState,JobState,FileState -output=state_string.go

// ItemState is the life of one item. Done, Failed and Cancelled are terminal.
type ItemState uint8

const (
	// Pending items wait for a lease.
	Pending ItemState = iota
	// Leased items belong to a side that has not started them for sure.
	Leased
	// Started items may have reached a target.
	Started
	// Done items have an answer.
	Done
	// Failed items have used up their attempts or may not be repeated.
	Failed
	// Cancelled items ended with their job.
	Cancelled
)

// Terminal reports whether the state is final.
func (s ItemState) Terminal() bool { return s >= Done }

// JobState is the life of a job.
type JobState uint8

const (
	// Running jobs have items that are not terminal.
	Running JobState = iota
	// Completed jobs have only terminal items.
	Completed
	// JobCancelled jobs were cancelled before all items ended.
	JobCancelled
)

// FileState is the life of an uploaded file.
type FileState uint8

const (
	// Uploading files may still grow or be refused.
	Uploading FileState = iota
	// Ready files can be the input of a job.
	Ready
)

// ItemInput is one accepted line of a file.
type ItemInput struct {
	// ID names the item within a submitted job; items of files have none.
	ID string `msgpack:",omitempty"`
	// Needs is the model or, with the prefix "/services/", the route.
	Needs      string
	Idempotent bool
	Line       []byte
}

// ItemRef names one attempt at an item. The attempt is the fencing token.
type ItemRef struct {
	Job     string
	Index   int
	Attempt int
}

// Outcome is what a side reports of one attempt.
type Outcome struct {
	Ref ItemRef
	// OK says that the target answered; Output is then the result line.
	OK     bool
	Output []byte
	// Message is the last error of a failed attempt.
	Message string
	Verdict rhubarbgate.Verdict
	// Permanent failures are not retried.
	Permanent bool
}

// Command is one log entry; exactly one field besides At is set.
type Command struct {
	// At is the proposing leader's time of day.
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

// CreateFile opens an upload.
type CreateFile struct {
	ID        string
	Workspace string
	Name      string
}

// Append adds items to an upload. A repeated chunk changes nothing.
type Append struct {
	File      string
	Workspace string
	First     int
	Items     []ItemInput
}

// FinishFile closes an upload. With a Key, a repeated upload of the same content
// is answered with the first file.
type FinishFile struct {
	File      string
	Workspace string
	Count     int
	Bytes     int64
	Key       string
	Digest    []byte
}

// DropFile gives up an upload.
type DropFile struct {
	File      string
	Workspace string
}

// CreateJob starts a job over a ready file.
type CreateJob struct {
	ID        string
	Workspace string
	File      string
	Endpoint  string
	Window    time.Duration
	Key       string
	Digest    []byte
}

// Submit starts a job together with its items. A repeated one changes nothing.
type Submit struct {
	ID        string
	Workspace string
	// Window is the time until the results are due.
	Window time.Duration
	// Retention is the time after which items may be given up.
	Retention time.Duration
	// Attempts is how many answers of failure an item may get.
	Attempts int
	Items    []ItemInput
}

// GiveUp fails the items of a job that have not ended.
type GiveUp struct{ Job string }

// CancelJob ends a job.
type CancelJob struct {
	Job       string
	Workspace string
}

// Lease hands pending items to a side.
type Lease struct {
	Side  string
	Items []ItemRef
}

// Start records that items are about to reach a target.
type Start struct{ Items []ItemRef }

// Return gives items back that never reached a target, or were preempted.
type Return struct {
	Items []ItemRef
	// Progress is what the attempts produced so far, in the order of Items; it may
	// be shorter.
	Progress [][]byte `msgpack:",omitempty"`
}

// Complete reports the outcomes of attempts.
type Complete struct{ Outcomes []Outcome }

// Expire ends leases that were not renewed.
type Expire struct{ Items []ItemRef }

// Collect removes files, jobs and idempotency keys that ended before a time.
type Collect struct{ Before time.Time }

// Result is the outcome of any command.
type Result struct {
	Err  *rhubarbgate.Error
	File *File
	Job  *Job
	// Granted lists the leases that were granted.
	Granted []Grant
	// Accepted tells for each item of a Start, Return or Complete whether the
	// lease was live.
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
	// Progress is what an earlier attempt produced.
	Progress []byte `msgpack:",omitempty"`
}

// File describes an uploaded file.
type File struct {
	ID        string
	Workspace string
	Name      string
	State     FileState
	Created   time.Time
	Count     int
	Bytes     int64
}

// Counts are the items of a job by state.
type Counts struct {
	Total     int
	Done      int
	Failed    int
	Cancelled int
	Leased    int
}

// Job describes a job.
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
	// Attempts is set on submitted jobs: how many answers of failure an item may get.
	Attempts int `msgpack:",omitempty"`
	// Retain is until when the items of a submitted job are tried.
	Retain time.Time `msgpack:",omitempty"`
}
