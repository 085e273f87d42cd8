package crowd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/knownred"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/standin/platform/site"
)

// checkStore answers the calls to the store by fault for crowdTime.
func checkStore(t *testing.T, fault http.HandlerFunc) {
	t.Helper()
	knownred.Skip(t)
	v := startVM(t)
	v.storeFault.Store(&fault)
	v.watch(func() { v.storeFault.Store(nil) })
	v.awaitAnswer()
}

// giga is how long a response is that has no end.
const giga = 1 << 30

// longEntry is the entry of a server, with a long field that no VM uses.
var longEntry = func() string {
	entry := site.Entry("other", "127.0.0.1:9", "z0", 1)
	entry["text"] = strings.Repeat("x", 900)
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return string(data)
}()

func storeItem(i int) string {
	return fmt.Sprintf(`{"metadata":{"name":"s%d","rev":%d},"spec":%s}`, i, i+1, longEntry)
}

// Guards against a list of the store, or a response to a watch, of 1 GB on one page.
func TestListOfTheStoreWithoutEnd(t *testing.T) {
	checkStore(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Store-Era", "0")
		_, _ = io.WriteString(w, `{"hasMore":false,"atRev":1000000,"items":[`)
		for i, n := 0, 0; n < giga; i++ {
			m, err := io.WriteString(w, storeItem(i)+",")
			if err != nil {
				return
			}
			n += m
		}
	})
}

// Guards against a list of ever more pages of the largest usual size.
func TestListOfTheStoreWithoutLastPage(t *testing.T) {
	checkStore(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Store-Era", "0")
		if r.URL.Query().Has("watch") {
			w.WriteHeader(http.StatusGone)
			return
		}
		after, _ := strconv.Atoi(strings.TrimPrefix(r.URL.Query().Get("after"), "s"))
		var items []string
		for i := range 1000 {
			items = append(items, storeItem(after+1+i))
		}
		_, _ = fmt.Fprintf(w, `{"hasMore":true,"atRev":1000000,"items":[%s]}`, strings.Join(items, ","))
	})
}

// putLongEntries writes objects of another program into the kind of the servers' entries.
// Together they are longer than the list that the process may hold.
func (v *vm) putLongEntries() {
	for i := range 24 {
		v.store.Put("servers", fmt.Sprintf("inventory-%02d", i), map[string]any{"service": "ledger", "inventory": strings.Repeat("x", 1_000_000)})
	}
}

func (v *vm) checkMemory() {
	v.t.Helper()
	peak, err := v.proc.PeakMemory()
	require.NoError(v.t, err)
	require.LessOrEqual(v.t, peak, int64(memoryMB)<<20, "peak resident memory in bytes")
}

// Guards against a process that serves nothing after its start, because of long entries of
// another program.
func TestStartBesideLongEntriesOfAnotherProgram(t *testing.T) {
	knownred.Skip(t)
	v := startVM(t)
	v.proc.Kill()
	v.putLongEntries()
	v.start()
	v.awaitAnswer()
	v.checkMemory()
}

// Guards against a process that follows no change of the servers any more, because another
// program wrote many long entries between two of its watches.
func TestServersAreFollowedBesideLongEntriesOfAnotherProgram(t *testing.T) {
	knownred.Skip(t)
	v := startVM(t)
	v.putLongEntries()
	for i, old := range v.servers {
		v.startServer(fmt.Sprintf("t-%d", i))
		v.store.Delete("servers", old.ID)
		old.Kill()
	}
	v.awaitAnswer()
	v.checkMemory()
}

// Guards against responses of servers whose heads have very many short fields.
func TestManyShortFieldsFromAServer(t *testing.T) {
	knownred.Skip(t)
	v := startVM(t)
	s := &site.Server{ID: "bad", Service: "ledger", DataCentre: "z0", StartedAtMs: 1, MaxRunning: 400}
	fields := map[string][]string{}
	for i := range 7000 {
		fields[fmt.Sprintf("%c%c%c", 'A'+i%26, 'a'+i/26%26, 'a'+i/676)] = []string{""}
	}
	s.Respond = func(w http.ResponseWriter, _ *http.Request) {
		for name, values := range fields {
			w.Header()[name] = values
		}
	}
	require.NoError(t, s.Start())
	t.Cleanup(s.Kill)
	v.store.Put("servers", s.ID, s.StoreEntry())
	request := head("GET", "/read/x") + "\r\n"
	v.crowd(v.front, writeAndNeverRead([]byte(strings.Repeat(request, 16))))
	v.store.Delete("servers", s.ID)
	v.awaitAnswer()
}

// Guards against limits of the collector and of the budget that do not follow the
// settings of the VM.
func TestLimitsFollowTheSettings(t *testing.T) {
	v := startVM(t)
	resp, err := http.Get("http://" + v.metrics + "/metrics")
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	for name, want := range map[string]int64{
		"collector_limit_bytes": membudget.CollectorLimit(memoryMB << 20), "caller_memory_limit_bytes": membudget.CallerLimit(memoryMB << 20),
	} {
		require.Contains(t, string(data), fmt.Sprintf("godwitlock_%s %d\n", name, want))
	}
	require.Contains(t, string(data), `godwitlock_caller_memory_bytes{purpose="connections"}`)
}
