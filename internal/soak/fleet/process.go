// Package fleet runs the real programs on loopback, injects faults from outside and checks the promises from what callers and targets see.
package fleet

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/juju/errors"
)

// Ports of every host; hosts differ by their loopback address.
const (
	fleetPort    = 17060
	callerPort   = 18080
	readyPort    = 18081
	operatorPort = 18082
)

// process is one program of the fleet. Only processes that were started here are
// ever signalled, by their own IDs.
type process struct {
	name    string
	args    []string
	address netip.Addr
	log     string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// start runs the program until it is stopped.
func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Trace(err)
	}
	c := exec.Command(binary, p.args...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		out.Close()
		return errors.Trace(err)
	}
	exited := make(chan struct{})
	p.command, p.exited = c, exited
	go func() {
		// The way it ended is known to whoever ended it.
		_ = c.Wait()
		out.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the running program.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	// An error means that the process has just ended.
	_ = p.command.Process.Signal(s)
}

// stop ends the program: with SIGTERM, and with SIGKILL after the grace.
func (p *process) stop(c clockwork.Clock, grace time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return
	case <-c.After(grace):
	}
	p.kill()
}

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// layout makes the processes of a fleet. Each run has a loopback network of its
// own, drawn from the seed, so that runs side by side do not meet.
type layout struct {
	dir     string
	network byte
	list    netip.AddrPort
	next    byte
}

func (l *layout) address() netip.Addr {
	l.next++
	return netip.AddrFrom4([4]byte{127, 77, l.network, l.next})
}

func at(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }

func (l *layout) process(role string, i int, a netip.Addr, args ...string) *process {
	name := fmt.Sprintf("%s-%d", role, i)
	return &process{name: name, address: a, log: filepath.Join(l.dir, name+".log"), args: append([]string{role}, args...)}
}

func (l *layout) replica(role string, i int, a netip.Addr, seeds string) *process {
	args := []string{
		"--data", filepath.Join(l.dir, fmt.Sprintf("%s-%d", role, i)), "--listen", at(a, fleetPort), "--seeds", seeds,
		"--fleet-port", strconv.Itoa(fleetPort), "--host-name", fmt.Sprintf("%s-%d", role, i), "--availability-zone", zone(i), "--store-groups", "2",
	}
	if role == "control" {
		args = append(args, "--operator", at(a, operatorPort), "--target-list", l.list.String(), "--bootstrap=true")
	}
	return l.process(role, i, a, args...)
}

func (l *layout) entry(i int, a netip.Addr, seeds string) *process {
	return l.process("entry", i, a,
		"--listen", at(a, callerPort), "--readiness", at(a, readyPort), "--availability-zone", zone(i), "--control", seeds,
		"--fleet-port", strconv.Itoa(fleetPort), "--target-list", l.list.String(), "--balancer-lag", "1s", "--grace", "7s")
}

func (l *layout) side(i int, a netip.Addr, seeds string, target netip.AddrPort) *process {
	return l.process("side", i, a,
		"--target", target.String(), "--target-name", fmt.Sprintf("side-%d", i), "--slots", "8", "--availability-zone", zone(i),
		"--control", seeds, "--fleet-port", strconv.Itoa(fleetPort), "--target-list", l.list.String(), "--grace", "3s", "--entry-lag", "0s")
}

func zone(i int) string { return "zone-" + strconv.Itoa(i%3) }
