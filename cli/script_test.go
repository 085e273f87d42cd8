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

// Runs the scripts in testdata/script. Each script's head comment names the
// failures that it guards against. testdata/script/README.md describes the
// commands that are defined here.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testdata/script",
		RequireUniqueNames: true,
		Setup:              setupScriptEnv,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": expectExit, "store-down": storeDown, "store-up": storeUp, "lose-response": loseResponse,
			"race": raceApply, "vms": setVMs, "occupy": occupyAddr, "await-calls": awaitCalls, "await-object": awaitObject,
			"key-id": keyID, "free-addrs": freeAddrs,
		},
	})
}

// scriptEnv holds one script's platform stand-in and the faults to inject.
type scriptEnv struct {
	platform *platform.Platform
	store    *memstore.Store // the same objects, without injected faults

	mu sync.Mutex
	// beforeWrite maps an object's key to a function that runs once, just
	// before the next write of the object.
	beforeWrite map[string]func()
	// responseLoss maps an object's key to the point at which the connection
	// breaks during the next write of the object: "before" the write takes
	// effect, "after" it, or "outage" for after it together with the start of a
	// platform outage.
	responseLoss map[string]string
	// members are the VMs with a lease in the response to /status. The value is
	// the revision that the VM has applied, or nil for the current one.
	members map[topo.VMID]*topo.Revision
}

type scriptEnvKey struct{}

func setupScriptEnv(env *testscript.Env) error {
	content := memstore.New()
	e := &scriptEnv{
		platform: platform.New(platform.Options{Store: content}), store: content.Attach(),
		beforeWrite: map[string]func(){}, responseLoss: map[string]string{},
	}
	srv := httptest.NewUnstartedServer(e)
	srv.Config.ErrorLog = log.New(io.Discard, "", 0)
	srv.Start()
	env.Defer(srv.Close)
	env.Values[scriptEnvKey{}] = e
	env.Setenv("PLATFORM", srv.URL)
	env.Setenv("USER", "ana")
	return nil
}

func scriptEnvOf(ts *testscript.TestScript) *scriptEnv { return ts.Value(scriptEnvKey{}).(*scriptEnv) }

// ServeHTTP injects the faults of single objects and passes requests on to the
// platform.
func (e *scriptEnv) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	key, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !isObject || r.Method != http.MethodPut && r.Method != http.MethodDelete {
		e.platform.ServeHTTP(rw, r)
		return
	}
	e.mu.Lock()
	beforeWrite := e.beforeWrite[key]
	delete(e.beforeWrite, key)
	when, lost := e.responseLoss[key]
	delete(e.responseLoss, key)
	e.mu.Unlock()
	if beforeWrite != nil {
		beforeWrite()
	}
	if !lost {
		e.platform.ServeHTTP(rw, r)
		return
	}
	if when != "before" {
		e.platform.ServeHTTP(httptest.NewRecorder(), r)
	}
	if when == "outage" {
		e.platform.SetFaults(memstore.Faults{Down: true})
	}
	panic(http.ErrAbortHandler)
}

// expectExit implements the command exits: it runs a program and checks its exit
// code.
func expectExit(ts *testscript.TestScript, neg bool, args []string) {
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
	scriptEnvOf(ts).platform.SetFaults(memstore.Faults{Down: true})
}

func storeUp(ts *testscript.TestScript, _ bool, _ []string) {
	scriptEnvOf(ts).platform.SetFaults(memstore.Faults{})
}

func loseResponse(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || args[0] != "before" && args[0] != "after" && args[0] != "outage" {
		ts.Fatalf("usage: lose-response before|after|outage KEY")
	}
	e := scriptEnvOf(ts)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responseLoss[args[1]] = args[0]
}

// raceApply implements the command race: another operator applies a document just
// before the next write of the environment's document.
func raceApply(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: race WHO ENV FILE")
	}
	e, document := scriptEnvOf(ts), []byte(ts.ReadFile(args[2]))
	op, err := operate.New(operate.Settings{Store: e.store, Env: args[1], OperatorName: args[0], Random: rand.Reader})
	ts.Check(err)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beforeWrite[config.DocumentKey(args[1])] = func() {
		if _, err := op.Apply(context.Background(), args[2], document, operate.AnyBase, "race"); err != nil {
			ts.Logf("the other operator failed: %s", err)
		}
	}
}

// setVMs implements the command vms: it sets which VMs hold a lease and which
// revision each has applied. The first call starts a server for /status and
// /owner and sets $ADMIN to its address.
func setVMs(ts *testscript.TestScript, _ bool, args []string) {
	e := scriptEnvOf(ts)
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
	e.mu.Lock()
	started := e.members != nil
	e.members = members
	e.mu.Unlock()
	if started {
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.HandleFunc("GET /owner", serveOwner)
	srv := httptest.NewServer(mux)
	ts.Defer(srv.Close)
	ts.Setenv("ADMIN", strings.TrimPrefix(srv.URL, "http://"))
}

func (e *scriptEnv) serveStatus(rw http.ResponseWriter, r *http.Request) {
	list, err := e.store.List(r.Context(), "")
	if err != nil {
		http.Error(rw, err.Error(), http.StatusInternalServerError)
		return
	}
	s := control.Status{VM: "vm-1", Controller: "vm-1", Term: 1, IsController: true, ConfigRevision: list.Revision, Fresh: true}
	e.mu.Lock()
	for vm, applied := range e.members {
		revision := list.Revision
		if applied != nil {
			revision = *applied
		}
		s.Members = append(s.Members, control.MemberStatus{VM: vm, ConfigRevision: revision, LeaseMs: 900})
	}
	e.mu.Unlock()
	writeTestJSON(rw, s)
}

func writeTestJSON(w http.ResponseWriter, v any) { _ = json.NewEncoder(w).Encode(v) }

func serveOwner(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("service") != "ledger" {
		http.Error(rw, "unknown service", http.StatusNotFound)
		return
	}
	writeTestJSON(rw, map[string]any{"service": "ledger", "key": r.URL.Query().Get("key"), "server": "s1", "fence": "1.7", "home_vm": "vm-1"})
}

// keyID sets $KEYID to the id of the caller key in the last command's standard
// output.
func keyID(ts *testscript.TestScript, _ bool, _ []string) {
	out := ts.ReadFile("stdout")
	_, key, found := strings.Cut(out, "shown only now: ")
	parts := strings.Split(strings.TrimSpace(key), "_")
	if !found || len(parts) < 4 {
		ts.Fatalf("no caller key in %q", out)
	}
	ts.Setenv("KEYID", parts[len(parts)-3])
}

// occupyAddr implements the command occupy: it listens on a free port and sets
// $BUSY to the address.
func occupyAddr(ts *testscript.TestScript, _ bool, _ []string) {
	srv := httptest.NewServer(http.NotFoundHandler())
	ts.Defer(srv.Close)
	ts.Setenv("BUSY", srv.Listener.Addr().String())
}

// freeAddrs sets each named variable to a different free loopback address.
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

// awaitCalls waits until the platform has received the given number of further
// calls.
func awaitCalls(ts *testscript.TestScript, _ bool, args []string) {
	e := scriptEnvOf(ts)
	n, err := strconv.ParseUint(args[0], 10, 32)
	ts.Check(err)
	calls := func() uint64 { c := e.platform.Counts(); return c.Reads() + c.Writes() }
	for until := calls() + n; calls() < until; {
		time.Sleep(10 * time.Millisecond)
	}
}

// awaitObject waits until an object exists in the store.
func awaitObject(ts *testscript.TestScript, _ bool, args []string) {
	for {
		if _, err := scriptEnvOf(ts).store.Get(context.Background(), args[0]); err == nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
