package main

import (
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"rhubarbgate.example/rhubarbgate"
	"rhubarbgate.example/rhubarbgate/internal/http/operator"
	"rhubarbgate.example/rhubarbgate/internal/state/config"
)

// addControl starts a control host with --join, which waits until it is added to
// the groups, and returns its name.
func (f *fleet) addControl(id int) string {
	name := fmt.Sprintf("control%d", id)
	f.arguments[name] = append([]string{
		"control", "--id", fmt.Sprint(id), "--data", f.path(name), "--listen", f.address(name), "--operator", f.address("operator" + name),
		"--members", fmt.Sprintf("%d=%s", id, f.address(name)), "--join", "--operators", f.path("operators.json"),
	}, f.tls("control")...)
	f.start(name)
	return name
}

// checkVotes returns an error unless the host is a voter in all groups, by the
// status of host 1. A learner becomes a voter only once it is up to date.
func (f *fleet) checkVotes(id uint64) error {
	hosts, err := f.operator().Status()
	if err != nil {
		return err
	}
	for _, h := range hosts {
		if h.Status == nil || h.Status.ID != 1 {
			continue
		}
		for _, g := range h.Status.Groups {
			m, ok := g.Members.Find(id)
			if !ok || m.Learner {
				return fmt.Errorf("host %d does not vote in group %d yet", id, g.Group)
			}
		}
		return nil
	}
	return fmt.Errorf("host 1 did not reply")
}

// TestLossRightAfterRepair replaces a lost control host and kills a second one as
// soon as the new host votes. It guards against a vote before the new host has the
// complete state: jobs and results must be kept, and new jobs must run.
func TestLossRightAfterRepair(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 1, 1)
	job := f.submit("job", completionLines(60))
	f.awaitBatch(job)
	f.kill("control3")
	delete(f.arguments, "control3")
	f.addControl(4)
	address := netip.MustParseAddrPort(f.address("control4"))
	f.eventually("remove", func() error { return f.operator().ChangeMembership(&operator.MemberRequest{Remove: 3}) })
	f.eventually("add", func() error { return f.operator().ChangeMembership(&operator.MemberRequest{Add: address}) })
	f.eventually("repair", func() error { return f.checkVotes(4) })
	f.kill("control2")
	delete(f.arguments, "control2")
	c.Assert(f.output(job), qt.HasLen, 60)
	again := f.submit("again", completionLines(20))
	c.Assert(f.awaitBatch(again).RequestCounts["completed"], qt.Equals, 20)
}

// TestWithdrawnKeyAndRaces commits two different bundles with the same version
// concurrently: exactly one may succeed. Then it withdraws a key that is in use: every
// entry must refuse requests with it and report that they did not run.
func TestWithdrawnKeyAndRaces(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 2, 1)
	x, err := f.operator().Configuration()
	c.Assert(err, qt.IsNil)
	commitRate := func(rate float64) error {
		b := &rhubarbgate.Bundle{Base: x.Version, Version: x.Version + 1, Put: rhubarbgate.Section{
			Workspaces: []rhubarbgate.Workspace{{Name: "guild", Rate: rate, Burst: 10}},
		}}
		config.Sign(b, "test", f.operatorKey)
		_, err := f.operator().Commit(b)
		return err
	}
	errs := make(chan error, 2)
	go func() { errs <- commitRate(1) }()
	go func() { errs <- commitRate(2) }()
	first, second := <-errs, <-errs
	c.Assert((first == nil) != (second == nil), qt.IsTrue, qt.Commentf("%v and %v", first, second))
	f.commit(rhubarbgate.Section{}, rhubarbgate.Removal{Keys: []string{keyDigest(testKey)}})
	for i := range 2 {
		f.eventually("refusal", func() error {
			_, err := f.post(i, "/v1/completions", `{"model":"small","prompt":"x","max_tokens":1}`, "")
			if e, ok := err.(*statusError); !ok || e.status != 401 || e.verdict != "NotRun" {
				return fmt.Errorf("got %v", err)
			}
			return nil
		})
	}
}
