package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The results of a case, as exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// cases are the cases by name; trouble says whether the disruption takes place.
var cases = map[string]func(f *fleet, trouble bool) int{
	"biglots":  bigLots,
	"route":    routeRemoved,
	"reuse":    addressReused,
	"replaced": routeReplaced,
	"odd":      oddEntry,
}

func main() { os.Exit(mainStatus()) }

func mainStatus() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return couldNot
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer f.stop()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	status := make(chan int, 1)
	go func() { status <- cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0") }()
	select {
	case s := <-status:
		fmt.Printf("%s: exit %d\n", os.Args[1], s)
		return s
	case <-interrupted:
		return couldNot
	case <-time.After(maxTime):
		return f.fail(fmt.Errorf("the case took more than %v", maxTime))
	}
}

// fail records why the case could not run.
func (f *fleet) fail(err error) int {
	f.rec.printf("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return couldNot
}
