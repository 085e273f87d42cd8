package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/callerkey"
	"godwitlock.example/godwitlock/topo"
)

// Guards against a diff that leaves out a change, and against a wrong estimate of
// the number of slices that move.
func TestDiff(t *testing.T) {
	old := baseView(t)
	require.True(t, Diff(old, old).Empty())
	k2 := newKey(t, 2)
	text := strings.ReplaceAll(validDocument, `name = "dc-a"`, "name = \"dc-a\"\n[[data_centre]]\nname = \"dc-b\"")
	text = strings.ReplaceAll(text, `slots = 3, max_conns = 16 }]
[[service]]`, `slots = 4, max_conns = 16 }, { id = "s3", data_centre = "dc-b", addr = "127.0.0.1:21003", slots = 3, max_conns = 16 }]
[[service]]`) + "large = true\n[[route]]\npath = \"/i/\"\nmethods = [\"PUT\"]\nservice = \"images\"\n[limits]\nqueue_length = 9\n"
	next := applyDelta(t, old, 10, 20, putEvent(11, DocumentKey("trial"), text), putEvent(12, CustomerKey("trial", "c1"), customerJSON(t, "c1", 6, k2)), putEvent(13, CustomerKey("trial", "c2"), customerJSON(t, "c2", 1)))
	changes := Diff(old, next)
	require.Equal(t, strings.Join([]string{
		"limits per VM changed: queue_length: 256 -> 9",
		"server s1 changed: slots: 3 -> 4",
		"server s3 added: data_centre: dc-b, addr: 127.0.0.1:21003, slots: 3, max_conns: 16, service: ledger, draining: false",
		"route GET /ledger/ changed: large: false -> true",
		"route PUT /i/ added: service: images, key_header: , key_query: , key_segment: 0, open_to_all: false, idempotent: false, exactly_once: false, large: false, max_body: 1MiB, timeout: 10s, max_timeout: 1m0s",
		"rate of customer c1 changed: rate: 5 -> 6, burst: 5 -> 6",
		"customer c2 added: services: [ledger]",
		"caller key " + newKey(t, 1).ID().String() + " removed",
		"caller key " + k2.ID().String() + " added: customer: c1, withdrawn: false, not_before: none, not_after: none",
		"data centre dc-b added: in service: true",
		"service ledger: 0 servers stop and 1 begin to take work, about 8192 slices move (50.0%)", "",
	}, "\n"), orderKeyLines(changes.String(), k2))
	data, err := json.Marshal(changes)
	require.NoError(t, err)
	require.Contains(t, string(data), `"moves":[{"service":"ledger","lost":0,"gained":1,"slices":8192,"share":0.5}]`)

	withDataCentreOut := applyDelta(t, next, 20, 21, putEvent(21, DataCentreKey("trial", "dc-b"), `{"name":"dc-b","out":true,"by":"ana"}`))
	require.Equal(t, "data centre dc-b changed: in service: true -> false\nservice ledger: 1 servers stop and 0 begin to take work, about 8192 slices move (50.0%)\n", Diff(next, withDataCentreOut).String())
	drained := applyDelta(t, next, 20, 21, putEvent(21, DrainingKey("trial", "s3"), `{"server":"s3","by":"ana"}`))
	require.Contains(t, Diff(next, drained).String(), "server s3 changed: draining: false -> true\nservice ledger: 1 servers stop")
	resliced := applyDelta(t, old, 10, 11, putEvent(11, DocumentKey("trial"), strings.Replace(validDocument, `kind = "keyed"`, "kind = \"keyed\"\nslices = 1024", 1)))
	require.Contains(t, Diff(old, resliced).String(), "about 1024 slices move (100.0%)")
}

// orderKeyLines swaps the two lines of caller keys if needed, so that the line of
// the key last is second. Their order varies because the ids are hashes.
func orderKeyLines(s string, last callerkey.Key) string {
	lines := strings.Split(s, "\n")
	for i := 1; i < len(lines); i++ {
		if strings.HasPrefix(lines[i-1], "caller key "+last.ID().String()) && strings.HasPrefix(lines[i], "caller key") {
			lines[i-1], lines[i] = lines[i], lines[i-1]
		}
	}
	return strings.Join(lines, "\n")
}

// Guards against an estimated share of moved slices other than 1/n when one of n
// servers is added, removed or replaced (docs/design.md, section 4.6).
func TestMoveShare(t *testing.T) {
	serverSet := func(from, to int) map[topo.ServerID]bool {
		m := map[topo.ServerID]bool{}
		for i := from; i < to; i++ {
			m[topo.ServerID(fmt.Sprint(i))] = true
		}
		return m
	}
	require.InDelta(t, 1.0/35, estimateMove("s", serverSet(0, 35), serverSet(1, 35)).Share, 1e-9)
	require.InDelta(t, 1.0/36, estimateMove("s", serverSet(0, 35), serverSet(0, 36)).Share, 1e-9)
	require.InDelta(t, 1.0/35, estimateMove("s", serverSet(0, 35), serverSet(1, 36)).Share, 1e-9, "a replaced server moves its slices once")
	require.InDelta(t, 1, estimateMove("s", serverSet(0, 35), serverSet(0, 0)).Share, 1e-9)
}
