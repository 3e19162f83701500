// Package fleet runs a fleet of real processes on loopback, injects faults and checks what callers and targets observe.
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

// Ports of each process. All processes use the same ports, on different loopback addresses.
const (
	fleetPort    = 17060
	callerPort   = 18080
	readyPort    = 18081
	operatorPort = 18082
)

// process is one operating system process of the fleet. Signals go only to processes
// that this package started, by process ID.
type process struct {
	name    string
	args    []string
	address netip.Addr
	logPath string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// ending says that the process was told to end, failures how often it ended by itself.
	ending   bool
	failures int
}

// start starts the program. Its output is appended to the log file.
func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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
	p.cmd, p.exited, p.ending = c, exited, false
	go func() {
		// The exit status is not checked: kill and stop cause most exits.
		_ = c.Wait()
		out.Close()
		p.mu.Lock()
		if !p.ending {
			p.failures++
		}
		p.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process, unless it has exited.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return
	default:
	}
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	// An error means that the process has just exited.
	_ = p.cmd.Process.Signal(s)
}

// stop sends SIGTERM and waits for the process to exit; after the timeout it sends
// SIGKILL. A suspended process is resumed first, so that it can handle SIGTERM.
func (p *process) stop(clock clockwork.Clock, timeout time.Duration) {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
	select {
	case <-p.exited:
		return
	case <-clock.After(timeout):
	}
	p.kill()
}

// kill sends SIGKILL and waits for the process to exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// layout defines the processes of a fleet with their addresses and flags. Each run uses
// its own loopback network, derived from the seed; seeds that are equal modulo 250
// share addresses and must not run concurrently.
type layout struct {
	dir        string
	network    byte
	targetList netip.AddrPort
	lastHost   byte
}

// address returns the next unused loopback address.
func (l *layout) address() netip.Addr {
	l.lastHost++
	return netip.AddrFrom4([4]byte{127, 77, l.network, l.lastHost})
}

// hostPort formats an address and a port as IP:PORT.
func hostPort(a netip.Addr, port uint16) string { return netip.AddrPortFrom(a, port).String() }

// process defines the i-th process of a role; args follow the role on its command line.
func (l *layout) process(role string, i int, a netip.Addr, args ...string) *process {
	name := fmt.Sprintf("%s-%d", role, i)
	return &process{name: name, address: a, logPath: filepath.Join(l.dir, name+".log"), args: append([]string{role}, args...)}
}

// replica defines a control host or a store host; seeds are the addresses of the first
// control hosts, IP:PORT,….
func (l *layout) replica(role string, i int, a netip.Addr, seeds string) *process {
	args := []string{
		"--data", filepath.Join(l.dir, fmt.Sprintf("%s-%d", role, i)), "--listen", hostPort(a, fleetPort), "--seeds", seeds,
		"--fleet-port", strconv.Itoa(fleetPort), "--host-name", fmt.Sprintf("%s-%d", role, i), "--availability-zone", availabilityZone(i), "--store-groups", "2",
	}
	if role == "control" {
		args = append(args, "--operator", hostPort(a, operatorPort), "--target-list", l.targetList.String(), "--bootstrap=true")
	}
	return l.process(role, i, a, args...)
}

// entry defines an entry.
func (l *layout) entry(i int, a netip.Addr, seeds string) *process {
	return l.process("entry", i, a,
		"--listen", hostPort(a, callerPort), "--readiness", hostPort(a, readyPort), "--availability-zone", availabilityZone(i), "--control", seeds,
		"--fleet-port", strconv.Itoa(fleetPort), "--target-list", l.targetList.String(), "--balancer-lag", "1s", "--grace", "7s")
}

// side defines the side of a target.
func (l *layout) side(i int, a netip.Addr, seeds string, target netip.AddrPort) *process {
	return l.process("side", i, a,
		"--target", target.String(), "--target-name", fmt.Sprintf("side-%d", i), "--slots", "8", "--availability-zone", availabilityZone(i),
		"--control", seeds, "--fleet-port", strconv.Itoa(fleetPort), "--target-list", l.targetList.String(), "--grace", "3s", "--entry-lag", "0s",
		"--address-reuse-delay", addressReuseDelay.String())
}

// availabilityZone returns the names of three availability zones in turn.
func availabilityZone(i int) string { return "zone-" + strconv.Itoa(i%3) }
