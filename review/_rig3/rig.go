// Command rig3 plays the scripts of review 3: it starts godwitlock-node processes beside
// stand-ins of the store, the backends and the clients, on loopback addresses.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitlock.example/godwitlock/internal/nodeproc"
	"godwitlock.example/godwitlock/standin/platform/site"
)

// Exit codes of a script.
const (
	held     = 0
	broken   = 1
	unusable = 2
)

func main() {
	if len(os.Args) != 3 {
		fail("usage: rig3 CASE RECORD")
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fail("record: %v", err)
	}
	defer rec.close()
	cases := map[string]func(*rig, bool) int{"gone": gone, "lost": lost, "denied": denied, "weights": weights, "open": open, "drain": drain, "paths": paths, "pause": pause, "memory": memory, "slow": slow}
	play := cases[os.Args[1]]
	if play == nil {
		fail("unknown case %q", os.Args[1])
	}
	r, err := newRig(rec)
	if err != nil {
		fail("rig: %v", err)
	}
	watchdog := time.AfterFunc(110*time.Second, func() {
		r.close()
		fail("the script took too long")
	})
	code := play(r, trouble)
	watchdog.Stop()
	r.close()
	rec.close()
	os.Exit(code)
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(unusable)
}

// record is the file of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// add writes a line with the time since the begin in seconds.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// verdict writes a line to the record and to the standard output.
func (r *record) verdict(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
}

// rig is a small deployment.
type rig struct {
	rec   *record
	dir   string
	store *site.Store
	http  *httptest.Server
	nodes []*process
}

func newRig(rec *record) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	r := &rig{rec: rec, dir: dir, store: site.NewStore()}
	r.http = httptest.NewServer(r.store)
	return r, nil
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, p := range r.nodes {
		p.kill()
	}
	r.http.CloseClientConnections()
	_ = os.RemoveAll(r.dir)
}

// process is a godwitlock-node.
type process struct {
	rig          *rig
	name         string
	front, ready string
	link         *proxy
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
}

// addNode starts a process in a zone with further bounds, each as name=value.
func (r *rig) addNode(zone string, bounds ...string) *process {
	addrs, err := nodeproc.FreeAddrs(4)
	if err != nil {
		fail("ports: %v", err)
	}
	p := &process{rig: r, name: fmt.Sprintf("front-%d", len(r.nodes)+1), front: addrs[0], ready: addrs[1], link: newProxy(strings.TrimPrefix(r.http.URL, "http://"))}
	port := func(a string) string { return a[strings.LastIndexByte(a, ':')+1:] }
	text := site.Settings(p.name, zone, site.Addresses{
		Front: p.front, Ready: p.ready, InternalPorts: [2]string{port(addrs[2]), port(addrs[3])},
		Store: p.link.addr(), Bounds: bounds,
	}, site.Limits{RAMMb: 284, MaxFds: 4100})
	if err := os.WriteFile(p.settings(), []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
	r.nodes = append(r.nodes, p)
	p.start()
	return p
}

func (p *process) settings() string { return filepath.Join(p.rig.dir, p.name+".toml") }

// start runs the command of the deploy file.
func (p *process) start() {
	log, err := os.OpenFile(filepath.Join(p.rig.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer func() { _ = log.Close() }()
	cmd, exited := exec.Command("target/godwitlock-node"), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GODWITLOCK_NODE_FILE=" + p.settings()}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start: %v", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.exited = cmd, exited
	p.rig.rec.add("started %s", p.name)
	go func() { _ = cmd.Wait(); close(exited) }()
}

func (p *process) kill() {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return
	default:
	}
	_ = cmd.Process.Kill()
	<-exited
	p.rig.rec.add("killed %s", p.name)
}

// awaitReady waits until the processes answer GET /ready with 200.
func (r *rig) awaitReady() {
	for _, p := range r.nodes {
		if !p.awaitReady(10 * time.Second) {
			fail("%s is not ready", p.name)
		}
	}
}

func (p *process) awaitReady(within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// addBackend registers a backend.
func (r *rig) addBackend(id, service, zone string, slots int, h http.Handler) {
	srv := httptest.NewServer(h)
	e := site.Entry(service, strings.TrimPrefix(srv.URL, "http://"), zone, slots)
	e["born"] = time.Now().UnixMilli()
	r.store.Put("servers", id, e)
}

// send writes a request on a connection of its own. The body is size bytes long.
func send(addr, method, path, id string, deadline time.Duration, size int) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	head := method + " " + path + " HTTP/1.1\r\nHost: h\r\nRequest-Id: " + id + "\r\nDeadline-Ms: " +
		strconv.FormatInt(deadline.Milliseconds(), 10) + "\r\n"
	if method == http.MethodPost {
		head += "Content-Length: " + strconv.Itoa(size) + "\r\n"
	}
	if _, err = c.Write(append([]byte(head+"\r\n"), make([]byte, size)...)); err != nil {
		_ = c.Close()
		return nil, err
	}
	return c, nil
}

// receive reads an answer and returns its status; 0 if there is none.
func receive(c net.Conn, method string, within time.Duration) int {
	_ = c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
