// Package main starts a small deployment of the project's programs on loopback addresses, with stand-ins for its
// clients, servers and platform, and plays the cases of the review.
package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"rhubarbgate.example/rhubarbgate/platform/platformtest"
)

// Bounds and settings of the deployment, which are those of the small site mwangi-ops.
const (
	features     = "base,drain,config,cost,recover,batch,stream,engine,tenants,quota"
	reuseDelay   = "2"
	entryMemory  = "284"
	sideMemory   = "216"
	coreMemory   = "280"
	storeMemory  = "304"
	finish       = 18 * time.Second
	settle       = time.Second
	catchUp      = 4400 * time.Millisecond
	controls     = 3
	stores       = 4
	entries      = 2
	startTimeout = 30 * time.Second
)

// process is a program of the deployment.
type process struct {
	name    string
	address netip.Addr
	data    string
	args    []string
	log     string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	ending bool
	ends   int // by itself
}

func (p *process) start(binary string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(binary, p.args...)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.ending = c, exited, false
	go func() {
		_ = c.Wait()
		_ = out.Close()
		p.mu.Lock()
		if !p.ending {
			p.ends++
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
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
		return
	default:
	}
	p.ending = p.ending || s == syscall.SIGTERM || s == syscall.SIGKILL
	_ = p.cmd.Process.Signal(s)
}

// kill sends SIGKILL and waits for the end of the process.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// ports are the same on all machines.
type ports struct{ fleet, debug, front, ready, control, app uint16 }

// fleet is the deployment with its stand-ins.
type fleet struct {
	binary, dir string
	base        [2]byte
	ports       ports
	record      *record
	list        *platformtest.List
	client      *platformtest.Client
	control     []*process
	store       []*process
	entry       []*process
	side        []*process
	servers     []*platformtest.Target
	key         string
}

// machine returns the loopback address of a machine of the deployment.
func (f *fleet) machine(class, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.base[0], f.base[1], byte(class*40 + i + 1)})
}

func hostPort(a netip.Addr, p uint16) string { return netip.AddrPortFrom(a, p).String() }

// freePorts returns ports that nothing uses.
func freePorts() (ports, error) {
	var p [6]uint16
	for i := range p {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ports{}, err
		}
		defer func() { _ = l.Close() }()
		p[i] = uint16(l.Addr().(*net.TCPAddr).Port)
	}
	return ports{p[0], p[1], p[2], p[3], p[4], p[5]}, nil
}

func zone(i int) string { return "nbi-" + string(rune('a'+i%4)) }

// newFleet defines the machines. The commands are those of deploy/system.toml.
func newFleet(binary, dir string, r *record, servers []*platformtest.Target) (*fleet, error) {
	p, err := freePorts()
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{
		binary: binary, dir: dir, base: [2]byte{byte(100 + pid%100), byte(pid / 100 % 250)}, ports: p, record: r,
		list: &platformtest.List{}, client: platformtest.NewClient(), servers: servers, key: "2b9wu3fexd9dnn2ctnfz",
	}
	if err := f.list.Start(); err != nil {
		return nil, err
	}
	var seeds []string
	for i := range controls {
		seeds = append(seeds, hostPort(f.machine(0, i), p.control))
	}
	seedList, list, fleetPort := strings.Join(seeds, ","), f.list.Address().String(), fmt.Sprint(p.fleet)
	process := func(role, name string, a netip.Addr, args ...string) *process {
		return &process{name: name, address: a, log: filepath.Join(dir, name+".log"), args: append([]string{role}, args...)}
	}
	for i := range controls {
		a, name := f.machine(0, i), fmt.Sprintf("core-%s-1", zone(i))
		x := process("control", name, a, "--target-list", list, "--data", filepath.Join(dir, name), "--listen", hostPort(a, p.fleet), "--operator", hostPort(a, p.control),
			"--seeds", seedList, "--fleet-port", fleetPort, "--bootstrap=true", "--losses", "1", "--host-name", name, "--availability-zone", zone(i),
			"--memory-limit="+coreMemory, "--debug", hostPort(a, p.debug))
		x.data = filepath.Join(dir, name)
		f.control = append(f.control, x)
	}
	for i := range stores {
		a, name := f.machine(1, i), fmt.Sprintf("storage-%s-1", zone(i))
		x := process("store", name, a, "--data", filepath.Join(dir, name), "--listen", hostPort(a, p.fleet), "--seeds", seedList, "--fleet-port", fleetPort, "--losses", "1",
			"--host-name", name, "--availability-zone", zone(i), "--retention", "10m", "--memory-limit="+storeMemory, "--debug", hostPort(a, p.debug))
		x.data = filepath.Join(dir, name)
		f.store = append(f.store, x)
	}
	for i := range entries {
		a, name := f.machine(2, i), fmt.Sprintf("edge-%s-1", zone(i))
		f.entry = append(f.entry, process("entry", name, a, "--listen", hostPort(a, p.front), "--readiness", hostPort(a, p.ready), "--availability-zone", zone(i),
			"--control", seedList, "--fleet-port", fleetPort, "--target-list", list, "--features="+features, "--balancer-lag", "2500ms", "--grace", "7600ms",
			"--memory-limit="+entryMemory, "--debug", hostPort(a, p.debug)))
	}
	for i, t := range servers {
		a, name := f.machine(3, i), fmt.Sprintf("side-%s-%d", zone(i), i/4+1)
		t.Zone = zone(i)
		if err := t.StartAt(netip.AddrPortFrom(a, p.app)); err != nil {
			return nil, err
		}
		f.side = append(f.side, process("side", name, a, "--target", hostPort(a, p.app), "--target-name", name, "--slots", "8", "--availability-zone", zone(i),
			"--control", seedList, "--fleet-port", fleetPort, "--target-list", list, "--features="+features, "--grace", "3s", "--entry-lag", "0s",
			"--address-reuse-delay", reuseDelay+"s", "--memory-limit="+sideMemory, "--debug", hostPort(a, p.debug)))
	}
	f.list.Set(servers)
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-told
		f.stop()
		_ = os.RemoveAll(dir)
		os.Exit(couldntRun)
	}()
	return f, nil
}

func (f *fleet) processes() []*process {
	var all []*process
	for _, l := range [][]*process{f.control, f.store, f.entry, f.side} {
		all = append(all, l...)
	}
	return all
}

// start starts all processes, configures the system and waits until it takes a batch job.
func (f *fleet) start(document []byte) error {
	for _, p := range f.processes() {
		if err := p.start(f.binary); err != nil {
			return err
		}
	}
	until := time.Now().Add(startTimeout)
	for n := 0; ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		r := f.client.Put(ctx, netip.AddrPortFrom(f.control[n%controls].address, f.ports.control), document)
		cancel()
		if r.Err == nil && r.Status == 200 {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("no configuration was accepted: %d %v", r.Status, r.Err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	for n := 0; ; n++ {
		ready := true
		for i := range f.entry {
			id := fmt.Sprintf("warm-%d-%d", n, i)
			ready = ready && f.submit(i, id, []string{id + "-item"}, 0).Status == 202
		}
		if ready {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("no batch job was accepted")
		}
		time.Sleep(200 * time.Millisecond)
	}
	// Traffic starts 10 s after the machines.
	time.Sleep(5 * time.Second)
	return nil
}

func (f *fleet) front(i int) netip.AddrPort {
	return netip.AddrPortFrom(f.entry[i%len(f.entry)].address, f.ports.front)
}

// submit submits a batch job once.
func (f *fleet) submit(entry int, job string, items []string, size int) platformtest.Response {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	return f.client.SubmitPadded(ctx, f.front(entry), job, f.key, items, size)
}

// results reads the results of a batch job.
func (f *fleet) results(entry int, job string, after int) (platformtest.Page, platformtest.Response) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return f.client.Results(ctx, f.front(entry), job, f.key, after)
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	var wait sync.WaitGroup
	for _, p := range f.processes() {
		wait.Add(1)
		go func() {
			defer wait.Done()
			p.kill()
		}()
	}
	wait.Wait()
	for _, t := range f.servers {
		t.Close()
	}
	f.list.Close()
}
