package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	held       = 0
	broken     = 1
	couldntRun = 2
)

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.out, line)
	fmt.Println(line)
}

// cases are the cases by number. Each returns whether the rule held.
var cases = map[string]func(f *record, binary, dir string, trouble bool) (bool, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE PROGRAM RECORD")
		return couldntRun
	}
	binary, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer func() { _ = out.Close() }()
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &record{out: out, start: time.Now()}
	ok, err := cases[os.Args[1]](r, binary, dir, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		return couldntRun
	}
	if !ok {
		r.printf("the rule was broken")
		return broken
	}
	r.printf("the rule held")
	return held
}
