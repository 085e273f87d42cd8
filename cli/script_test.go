package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"godwitlock.example/godwitlock/config"
	"godwitlock.example/godwitlock/control"
	"godwitlock.example/godwitlock/operate"
	"godwitlock.example/godwitlock/standin/platform"
	"godwitlock.example/godwitlock/store/memstore"
	"godwitlock.example/godwitlock/topo"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"godwitlock":  func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"godwitlockd": func() { os.Exit(DaemonMain(os.Args[1:], os.Stderr)) },
	})
}

// Each script says which failure it guards against. testdata/script/README.md
// describes the commands of the language that are defined here.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testdata/script",
		RequireUniqueNames: true,
		Setup:              setupWorld,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": exits, "store-down": storeDown, "store-up": storeUp, "lose-response": loseResponse,
			"race": race, "vms": vms, "occupy": occupy, "await-calls": awaitCalls, "await-object": awaitObject,
			"key-id": keyID, "free-addrs": freeAddrs,
		},
	})
}

// world is the platform stand-in and the faults of one script.
type world struct {
	platform *platform.Platform
	store    *memstore.Store // without faults

	mu sync.Mutex
	// before runs before the next write of an object.
	before map[string]func()
	// lose breaks the connection at the next write of an object: before its
	// effect, after it, or after it with an outage that begins then.
	lose map[string]string
	// members are the VMs that /status names; a nil entry has applied
	// everything, another one the revision.
	members map[topo.VMID]*topo.Revision
}

type worldKey struct{}

func setupWorld(env *testscript.Env) error {
	content := memstore.New()
	w := &world{
		platform: platform.New(platform.Options{Store: content}), store: content.Attach(),
		before: map[string]func(){}, lose: map[string]string{},
	}
	srv := httptest.NewUnstartedServer(w)
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.Start()
	env.Defer(srv.Close)
	env.Values[worldKey{}] = w
	env.Setenv("PLATFORM", srv.URL)
	env.Setenv("USER", "ana")
	return nil
}

func worldOf(ts *testscript.TestScript) *world { return ts.Value(worldKey{}).(*world) }

// ServeHTTP puts the faults of single objects before the platform.
func (w *world) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !isObject || r.Method != http.MethodPut && r.Method != http.MethodDelete {
		w.platform.ServeHTTP(rw, r)
		return
	}
	w.mu.Lock()
	before := w.before[key]
	delete(w.before, key)
	when, lost := w.lose[key]
	delete(w.lose, key)
	w.mu.Unlock()
	if before != nil {
		before()
	}
	if !lost {
		w.platform.ServeHTTP(rw, r)
		return
	}
	if when != "before" {
		w.platform.ServeHTTP(httptest.NewRecorder(), r)
	}
	if when == "outage" {
		w.platform.SetFaults(memstore.Faults{Down: true})
	}
	panic(http.ErrAbortHandler)
}

// exits runs a program and checks its exit code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d instead of %d", got, want)
	}
}

func storeDown(ts *testscript.TestScript, _ bool, _ []string) {
	worldOf(ts).platform.SetFaults(memstore.Faults{Down: true})
}

func storeUp(ts *testscript.TestScript, _ bool, _ []string) {
	worldOf(ts).platform.SetFaults(memstore.Faults{})
}

func loseResponse(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || args[0] != "before" && args[0] != "after" && args[0] != "outage" {
		ts.Fatalf("usage: lose-response before|after|outage KEY")
	}
	w := worldOf(ts)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lose[args[1]] = args[0]
}

// race lets another operator apply a document just before the next write of
// the environment's document arrives.
func race(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: race WHO ENV FILE")
	}
	w, document := worldOf(ts), []byte(ts.ReadFile(args[2]))
	op, err := operate.New(operate.Settings{Store: w.store, Env: args[1], OperatorName: args[0], Random: rand.Reader})
	ts.Check(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.before[config.DocumentKey(args[1])] = func() {
		if _, err := op.Apply(context.Background(), args[2], document, operate.AnyBase, "race"); err != nil {
			ts.Logf("the other operator failed: %s", err)
		}
	}
}

// vms sets which VMs hold a lease and what they have applied, and serves
// /status and /owner at $ADMIN.
func vms(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	members := map[topo.VMID]*topo.Revision{}
	for _, arg := range args {
		name, applied, _ := strings.Cut(arg, "=")
		members[topo.VMID(name)] = nil
		if applied != "current" {
			n, err := strconv.ParseUint(applied, 10, 64)
			ts.Check(err)
			revision := topo.Revision(n)
			members[topo.VMID(name)] = &revision
		}
	}
	w.mu.Lock()
	started := w.members != nil
	w.members = members
	w.mu.Unlock()
	if started {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", w.status)
	mux.HandleFunc("GET /owner", owner)
	srv := httptest.NewServer(mux)
	ts.Defer(srv.Close)
	ts.Setenv("ADMIN", strings.TrimPrefix(srv.URL, "http://"))
}

func (w *world) status(rw http.ResponseWriter, r *http.Request) {
	list, err := w.store.List(r.Context(), "")
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	s := control.Status{VM: "vm-1", Controller: "vm-1", Term: 1, IsController: true, ConfigRevision: list.Revision, Fresh: true}
	w.mu.Lock()
	for vm, applied := range w.members {
		revision := list.Revision
		if applied != nil {
			revision = *applied
		}
		s.Members = append(s.Members, control.MemberStatus{VM: vm, ConfigRevision: revision, LeaseMs: 900})
	}
	w.mu.Unlock()
	writeTestJSON(rw, s)
}

func writeTestJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func owner(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("service") != "ledger" {
		http.Error(rw, "unknown service", http.StatusNotFound)
		return
	}
	writeTestJSON(rw, map[string]any{"service": "ledger", "key": r.URL.Query().Get("key"), "server": "s1", "fence": "1.7", "home_vm": "vm-1"})
}

// keyID reads a caller key from the last standard output and sets $KEYID.
func keyID(ts *testscript.TestScript, _ bool, _ []string) {
	out := ts.ReadFile("stdout")
	_, key, found := strings.Cut(out, "shown only now: ")
	parts := strings.Split(strings.TrimSpace(key), "_")
	if !found || len(parts) < 4 {
		ts.Fatalf("no caller key in %q", out)
	}
	ts.Setenv("KEYID", parts[len(parts)-3])
}

// occupy listens on a port and sets $BUSY to its address.
func occupy(ts *testscript.TestScript, _ bool, _ []string) {
	srv := httptest.NewServer(http.NotFoundHandler())
	ts.Defer(srv.Close)
	ts.Setenv("BUSY", srv.Listener.Addr().String())
}

// freeAddrs sets variables to free loopback addresses.
func freeAddrs(ts *testscript.TestScript, _ bool, names []string) {
	var open []net.Listener
	for _, name := range names {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		open = append(open, lis)
		ts.Setenv(name, lis.Addr().String())
	}
	for _, lis := range open {
		ts.Check(lis.Close())
	}
}

// awaitCalls waits until the platform has received N more calls.
func awaitCalls(ts *testscript.TestScript, _ bool, args []string) {
	w := worldOf(ts)
	n, err := strconv.ParseUint(args[0], 10, 32)
	ts.Check(err)
	calls := func() uint64 { c := w.platform.Counts(); return c.Reads() + c.Writes() }
	for until := calls() + n; calls() < until; {
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitObject waits until an object exists.
func awaitObject(ts *testscript.TestScript, _ bool, args []string) {
	for {
		if _, err := worldOf(ts).store.Get(context.Background(), args[0]); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
