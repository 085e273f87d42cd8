package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwitlock.example/godwitlock/standin/platform/site"
)

// link is a proxy before a server. A cut link resets its connections and refuses new ones.
type link struct {
	target string
	addr   string
	mu     sync.Mutex
	lis    net.Listener
	conns  map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l := &link{target: target, conns: map[net.Conn]bool{}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.lis, l.addr = lis, lis.Addr().String()
	go l.serve(lis)
	return l, nil
}

func (l *link) serve(lis net.Listener) {
	for {
		in, err := lis.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		l.mu.Lock()
		l.conns[in], l.conns[out] = true, true
		l.mu.Unlock()
		pipe := func(a, b net.Conn) {
			_, _ = io.Copy(a, b)
			_ = a.Close()
			_ = b.Close()
			l.mu.Lock()
			delete(l.conns, a)
			delete(l.conns, b)
			l.mu.Unlock()
		}
		go pipe(in, out)
		go pipe(out, in)
	}
}

func (l *link) cut() {
	_ = l.lis.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if tc, ok := c.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = c.Close()
	}
}

func (l *link) heal() error {
	lis, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.lis = lis
	go l.serve(lis)
	return nil
}

// holdSample is how often the keys that servers hold are looked at.
const (
	holdSample  = 20 * time.Millisecond
	holdServers = 6
	// cutFor is how long the server is cut off, the largest length of node_cut in the
	// site file, and cutLead how long before the leader's planned stop that begins.
	cutFor, cutLead = 5500 * time.Millisecond, 300 * time.Millisecond
	// maxOverlap is the bound of the rule.
	maxOverlap = 500 * time.Millisecond
)

// newMaxHold returns maxHoldS after the change; MAXHOLD sets another one, 10 for no change.
func newMaxHold() string {
	if v := os.Getenv("MAXHOLD"); v != "" {
		return v
	}
	return "2"
}

// watchHolds samples which servers hold some keys, and returns the longest time for which
// two of them held the same one.
func watchHolds(r *rig, servers []*site.Server, stop chan struct{}) (longest time.Duration) {
	since := map[int]time.Time{}
	noted := map[int]bool{}
	for {
		now := time.Now()
		for key := 512; key < 65536; key += 1024 {
			var held []string
			for _, s := range servers {
				if s.HoldsKey(key, now) {
					held = append(held, s.ID)
				}
			}
			if len(held) < 2 {
				if noted[key] {
					r.note("key %d has one holder again after %v", key, now.Sub(since[key]).Round(time.Millisecond))
				}
				delete(since, key)
				delete(noted, key)
				continue
			}
			if since[key].IsZero() {
				since[key] = now
			}
			d := now.Sub(since[key])
			longest = max(longest, d)
			if d > maxOverlap && !noted[key] {
				noted[key] = true
				r.note("OWNER: key %d is held by %s for over %v", key, strings.Join(held, " and "), maxOverlap)
			}
		}
		select {
		case <-stop:
			return longest
		case <-time.After(holdSample):
		}
	}
}

// leader returns the process that holds the lease of the leader.
func (r *rig) leader() *proc {
	var lease struct {
		Value struct{ Holder struct{ VM string } }
	}
	if json.Unmarshal(r.store.Get("godwitlock-leader", "lease"), &lease) != nil {
		return nil
	}
	for _, p := range r.procs {
		if p.name == lease.Value.Holder.VM {
			return p
		}
	}
	return nil
}

func playShorterHold(r *rig, trouble bool) (bool, error) {
	r.putConfig(1, []any{service("ledger", true)}, []any{route("order", "/order/", "unsafe", "ledger", 2.5)}, nil)
	var servers []*site.Server
	var links []*link
	var lonely atomic.Bool
	stop := make(chan struct{})
	for i := range holdServers {
		s := &site.Server{ID: fmt.Sprintf("i-%d", i), Service: "ledger", DataCentre: "za", StartedAtMs: time.Now().UnixMilli(), ServiceTime: 10 * time.Millisecond, Keyed: true}
		if err := s.Start(); err != nil {
			return false, err
		}
		l, err := newLink(s.Addr())
		if err != nil {
			return false, err
		}
		servers, links = append(servers, s), append(links, l)
		go func() {
			silent := 0
			for seq := 1; ; seq++ {
				if lonely.Load() && i == 0 {
					// Its entry goes after three heartbeats of silence.
					if silent++; silent == 3 {
						r.store.Delete("servers", s.ID)
						r.note("the entry of %s is removed", s.ID)
					}
				} else {
					e := s.StoreEntry()
					e["addr"], e["seq"] = l.addr, seq
					r.store.Put("servers", s.ID, e)
				}
				select {
				case <-stop:
					return
				case <-time.After(870 * time.Millisecond):
				}
			}
		}()
	}
	for i := range 3 {
		if _, err := r.startNode(fmt.Sprintf("vm-%d", i), "za", true); err != nil {
			return false, err
		}
	}
	for _, p := range r.procs {
		if err := p.awaitReady(15 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(8 * time.Second)
	held := 0
	for key := 512; key < 65536; key += 1024 {
		for _, s := range servers {
			if s.HoldsKey(key, time.Now()) {
				held++
			}
		}
	}
	if held != 64 {
		return false, fmt.Errorf("%d of 64 keys are held before the change", held)
	}
	longest := make(chan time.Duration, 1)
	done := make(chan struct{})
	go func() { longest <- watchHolds(r, servers, done) }()
	// Planned work: the settings change, and the leader is stopped and started again.
	for _, p := range r.procs {
		text, err := os.ReadFile(p.settings)
		if err != nil {
			return false, err
		}
		changed := strings.Replace(string(text), "maxHoldS=10", "maxHoldS="+newMaxHold(), 1)
		if err := os.WriteFile(p.settings, []byte(changed), 0o600); err != nil {
			return false, err
		}
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(8 * time.Second)
	leader := r.leader()
	if leader == nil {
		return false, fmt.Errorf("there is no leader")
	}
	healed := make(chan error, 1)
	if trouble {
		r.note("i-0 is cut off from all VMs and the store (connections are reset and refused)")
		began := time.Now()
		links[0].cut()
		lonely.Store(true)
		time.AfterFunc(cutFor, func() {
			lonely.Store(false)
			healed <- links[0].heal()
			r.note("the cut has ended after %v", time.Since(began).Round(time.Millisecond))
		})
	} else {
		healed <- nil
	}
	time.Sleep(cutLead)
	leader.signal(syscall.SIGTERM)
	select {
	case <-leader.exited:
	case <-time.After(6 * time.Second):
		leader.signal(syscall.SIGKILL)
		<-leader.exited
	}
	if err := leader.start(); err != nil {
		return false, err
	}
	if err := <-healed; err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	close(done)
	close(stop)
	d := <-longest
	r.note("two servers held the same key for %v at the longest (at most %v are allowed)", d.Round(time.Millisecond), maxOverlap)
	return d <= maxOverlap, nil
}

func init() { cases["shorterhold"] = playShorterHold }
