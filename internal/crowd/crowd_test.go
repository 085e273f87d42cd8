// Package crowd starts a godwitlock-node process on loopback, with little memory and
// few descriptors, and connects many faulty or malicious callers of one kind to it.
package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/knownred"
	"godwitlock.example/godwitlock/internal/nodeproc"
	"godwitlock.example/godwitlock/standin/platform/site"
)

// The limits of the VM and the size of the crowd. Memory per descriptor, less the
// memory of a process without callers, is that of the smallest VM of the deployments
// (144 MB, 3,075 descriptors). The bounds are the limits themselves.
const (
	memoryMB = 80
	maxFiles = 1500
	callers  = 1000
	// crowdTime is how long the callers stay.
	crowdTime = 4 * time.Second
	// reconnectPause is how long a caller waits after its connection has ended.
	reconnectPause = 50 * time.Millisecond
	// patience ends a wait whose length does not matter. It is no bound.
	patience = time.Minute
)

const (
	headBytes = 16 << 10
	bodyBytes = 1 << 20
	// maxOrdinaryBytes is far beyond the answer to an ordinary request. A faulty server
	// may answer it without end.
	maxOrdinaryBytes = 64 << 10
)

var nodeBinary string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "crowd-bin")
	if err != nil {
		panic(err)
	}
	// The race detector would multiply the memory of the process, so it is never
	// built in.
	if nodeBinary, err = nodeproc.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// vm is the process under test with its store and its backend servers.
type vm struct {
	t                     *testing.T
	proc                  *nodeproc.Process
	front, ready, metrics string
	log, settings         string
	store                 *site.Store
	servers               []*site.Server
	// storeFault, unless nil, answers the calls to the store.
	storeFault atomic.Pointer[http.HandlerFunc]
}

func port(addr string) string { return addr[strings.LastIndexByte(addr, ':')+1:] }

func startVM(t *testing.T) *vm {
	t.Helper()
	store := site.NewStore()
	store.PageBytes = 1 << 20
	v := &vm{t: t, store: store}
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{"name": name, "host": "h", "pathPrefix": prefix, "kind": kind, "public": true,
			"timeoutS": site.RouteTimeoutS, "sloS": 0.5, "priority": 1, "service": "ledger", "attempts": 2}
	}
	store.Put("config", "main", map[string]any{
		"version":  1,
		"limits":   map[string]any{"maxHeaderBytes": headBytes, "maxBodyBytes": bodyBytes, "headerTimeoutS": 5, "idleTimeoutS": 20},
		"routes":   []any{route("read", "/read/", "safe"), route("write", "/write/", "unsafe")},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/health", "maxConns": 100}},
	})
	for i := range 4 {
		v.servers = append(v.servers, v.startServer(fmt.Sprintf("s-%d", i)))
	}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if fault := v.storeFault.Load(); fault != nil {
			(*fault)(w, r)
			return
		}
		store.ServeHTTP(w, r)
	}))
	srv.Start()
	t.Cleanup(srv.Close)
	addrs, err := nodeproc.FreeAddrs(4)
	require.NoError(t, err)
	dir := t.TempDir()
	settings := filepath.Join(dir, "vm.toml")
	text := site.Settings("vm", "z0", site.Addresses{
		Front: addrs[0], Ready: addrs[1], InternalPorts: [2]string{port(addrs[2]), port(addrs[3])},
		Store: strings.TrimPrefix(srv.URL, "http://"),
	}, site.Limits{RAMMb: memoryMB, MaxFds: maxFiles})
	require.NoError(t, os.WriteFile(settings, []byte(text), 0o600))
	v.metrics = addrs[3]
	v.front, v.ready, v.log, v.settings = addrs[0], addrs[1], filepath.Join(dir, "vm.log"), settings
	v.start()
	v.awaitAnswer()
	return v
}

// start starts the process, which must not be running.
func (v *vm) start() {
	v.t.Helper()
	log, err := os.OpenFile(v.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(v.t, err)
	defer func() { _ = log.Close() }()
	v.proc, err = nodeproc.Start(nodeproc.Command(nodeBinary, v.settings, log))
	require.NoError(v.t, err)
	v.t.Cleanup(v.proc.Kill)
}

// startServer starts a server of the routes' service and writes its entry.
func (v *vm) startServer(id string) *site.Server {
	v.t.Helper()
	s := &site.Server{ID: id, Service: "ledger", DataCentre: "z0", StartedAtMs: time.Now().UnixMilli(), ServiceTime: 5 * time.Millisecond}
	require.NoError(v.t, s.Start())
	v.t.Cleanup(s.Kill)
	v.store.Put("servers", s.ID, s.StoreEntry())
	return s
}

// awaitAnswer waits until an ordinary request with a body of full size is answered.
func (v *vm) awaitAnswer() {
	v.t.Helper()
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	last := "no attempt"
	for end := time.Now().Add(patience); time.Now().Before(end) && v.proc.Running(); time.Sleep(50 * time.Millisecond) {
		req, err := http.NewRequest(http.MethodPost, "http://"+v.front+"/write/x", bytes.NewReader(make([]byte, bodyBytes)))
		require.NoError(v.t, err)
		req.Host = "h"
		req.Header.Set("Request-Id", fmt.Sprint("ordinary-", time.Now().UnixNano()))
		resp, err := client.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxOrdinaryBytes))
		_ = resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK && len(body) < maxOrdinaryBytes {
			return
		}
		last = fmt.Sprint(resp.Status, " ", string(body[:min(len(body), 1000)]), " ", err)
	}
	require.Fail(v.t, "no ordinary request is answered", "last: %s; running: %v; end of the log:\n%s", last, v.proc.Running(), v.logEnd())
}

// logEnd returns the last part of the log of the process.
func (v *vm) logEnd() string {
	data, err := os.ReadFile(v.log)
	require.NoError(v.t, err)
	return string(data[max(0, len(data)-4000):])
}

// caller sends what one connection of the crowd sends. It returns when the connection
// has ended.
type caller func(nc net.Conn)

// crowd connects callers to addr for crowdTime. Callers whose connection ends connect
// again.
func (v *vm) crowd(addr string, behave caller) {
	var conns sync.Map
	var over atomic.Bool
	var wg sync.WaitGroup
	for range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ; !over.Load(); time.Sleep(reconnectPause) {
				nc, err := net.DialTimeout("tcp", addr, crowdTime)
				if err != nil {
					continue
				}
				conns.Store(nc, nil)
				if !over.Load() {
					behave(nc)
				}
				conns.Delete(nc)
				_ = nc.Close()
			}
		}()
	}
	v.watch(func() {
		over.Store(true)
		conns.Range(func(nc, _ any) bool { _ = nc.(net.Conn).Close(); return true })
		wg.Wait()
	})
}

// watch observes the process for crowdTime, calls stop, and checks the bounds.
func (v *vm) watch(stop func()) {
	most := 0
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && v.proc.Running(); time.Sleep(20 * time.Millisecond) {
		if n, err := v.proc.OpenFiles(); err == nil {
			most = max(most, n)
		}
	}
	var peak int64
	var err error
	if v.proc.Running() {
		peak, err = v.proc.PeakMemory()
	}
	stop()
	require.True(v.t, v.proc.Running(), "the process has ended; end of the log:\n%s", v.logEnd())
	require.NoError(v.t, err)
	v.t.Logf("peak resident memory %d MB, most open files %d", peak>>20, most)
	require.LessOrEqual(v.t, most, maxFiles, "open files")
	require.LessOrEqual(v.t, peak, int64(memoryMB)<<20, "peak resident memory in bytes")
}

// check runs a crowd against the callers' address and then sends an ordinary request.
func check(t *testing.T, behave caller) {
	t.Helper()
	knownred.Skip(t)
	v := startVM(t)
	v.crowd(v.front, behave)
	v.awaitAnswer()
}

// checkReady does the same against the readiness address, which must answer afterwards
// too.
func checkReady(t *testing.T, behave caller) {
	t.Helper()
	knownred.Skip(t)
	v := startVM(t)
	v.crowd(v.ready, behave)
	v.awaitAnswer()
	require.Eventually(t, func() bool {
		resp, err := (&http.Client{Timeout: time.Second}).Get("http://" + v.ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, patience, 50*time.Millisecond, "readiness address")
}

// writeAndHold sends data and then waits for the end of the connection.
func writeAndHold(data []byte) caller {
	return func(nc net.Conn) {
		if _, err := nc.Write(data); err == nil {
			_, _ = io.Copy(io.Discard, nc)
		}
	}
}

// writeAndNeverRead sends data and does not read. A write that does not go on ends
// when the crowd closes the connection.
func writeAndNeverRead(data []byte) caller {
	return func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := nc.Write(data); err != nil {
			return
		}
		// A byte now and then shows when the process has closed the connection.
		for {
			time.Sleep(100 * time.Millisecond)
			if _, err := nc.Write([]byte("\r\n")); err != nil {
				return
			}
		}
	}
}

var requestIDs atomic.Int64

// head returns the start of a head, without the empty line at its end.
func head(method, path string, fields ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: c-%d\r\n%s", method, path, requestIDs.Add(1), strings.Join(fields, ""))
}

// shortFields returns n fields of 6 bytes.
func shortFields(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
	}
	return b.String()
}

// Guards against heads of legal size whose parsed form is many times as large, on a
// route.
func TestManyShortFieldsOnARoute(t *testing.T) {
	check(t, writeAndNeverRead([]byte(strings.Repeat(head("GET", "/read/x")+shortFields(2300)+"\r\n", 16))))
}

// Guards against the same where no server is asked.
func TestManyShortFieldsWithoutARoute(t *testing.T) {
	check(t, writeAndNeverRead([]byte(strings.Repeat(head("GET", "/none")+shortFields(2300)+"\r\n", 16))))
}

// Guards against heads that are parsed while they arrive and are held until the end of
// the time for a head.
func TestEndlessHead(t *testing.T) {
	check(t, writeAndHold([]byte(head("GET", "/read/x")+shortFields(2600))))
}

// Guards against responses that are kept for callers that do not read.
func TestAnswersNeverRead(t *testing.T) {
	request := head("GET", "/read/x", fmt.Sprintf("%s: %d\r\n", site.HeaderBodyLines, 20000/len(site.Body("s-0", "c-100\n", 0)))) + "\r\n"
	check(t, writeAndNeverRead([]byte(strings.Repeat(request, 64))))
}

const shortBodyBytes = 65000

// Guards against bodies of legal size of which the last byte does not come.
func TestBodiesOneByteShort(t *testing.T) {
	check(t, writeAndHold(append([]byte(head("POST", "/write/x", fmt.Sprintf("Content-Length: %d\r\n", shortBodyBytes))+"\r\n"), make([]byte, shortBodyBytes-1)...)))
}

// Guards against the same in chunks of one byte.
func TestBodiesInOneByteChunks(t *testing.T) {
	check(t, writeAndHold([]byte(head("POST", "/write/x", "Transfer-Encoding: chunked\r\n")+"\r\n"+strings.Repeat("1\r\nx\r\n", shortBodyBytes-1))))
}

// Guards against long bodies that stop short of their end.
func TestLongBodiesThatStop(t *testing.T) {
	check(t, writeAndHold(append([]byte(head("POST", "/write/x", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))+"\r\n"), make([]byte, bodyBytes-1)...)))
}

// Guards against bodies far over the limit, in chunks, so that no head tells their size.
func TestBodiesFarOverTheLimit(t *testing.T) {
	chunk := fmt.Sprintf("%x\r\n", bodyBytes) + strings.Repeat("x", bodyBytes) + "\r\n"
	check(t, func(nc net.Conn) {
		if _, err := io.WriteString(nc, head("POST", "/write/x", "Transfer-Encoding: chunked\r\n")+"\r\n"); err != nil {
			return
		}
		for range 8 {
			if _, err := io.WriteString(nc, chunk); err != nil {
				return
			}
		}
	})
}

// Guards against heads without an end on the readiness address.
func TestEndlessHeadOnReadiness(t *testing.T) {
	checkReady(t, writeAndHold([]byte(head("GET", "/ready")+shortFields(2600))))
}

// Guards against bodies on the readiness address.
func TestBodyOnReadiness(t *testing.T) {
	checkReady(t, writeAndHold(append([]byte(head("GET", "/ready", fmt.Sprintf("Content-Length: %d\r\n", bodyBytes))+"\r\n"), make([]byte, bodyBytes-1)...)))
}

// Guards against callers that send a byte now and then, and against connections that
// send nothing.
func TestSlowHeads(t *testing.T) {
	text := []byte(head("GET", "/read/x") + shortFields(100))
	check(t, func(nc net.Conn) {
		for i := range text {
			if _, err := nc.Write(text[i : i+1]); err != nil {
				return
			}
			time.Sleep(30 * time.Millisecond)
		}
	})
}

// Guards against callers that read a long response a few bytes at a time.
func TestSlowReaders(t *testing.T) {
	request := []byte(head("GET", "/read/x", site.HeaderBodyLines+": 20000\r\n") + "\r\n")
	check(t, func(nc net.Conn) {
		_ = nc.(*net.TCPConn).SetReadBuffer(4 << 10)
		if _, err := nc.Write(request); err != nil {
			return
		}
		buf := make([]byte, 64)
		for {
			if _, err := nc.Read(buf); err != nil {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
}
