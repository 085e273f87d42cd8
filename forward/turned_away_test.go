package forward

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/egress"
	"godwitlock.example/godwitlock/topo"
)

// refusalStats records refusals of servers.
type refusalStats struct {
	fakeStats
	mu           sync.Mutex
	hadFreeSlots []bool
}

func (s *refusalStats) TurnedAway(_ topo.ServerID, hadFreeSlots bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hadFreeSlots = append(s.hadFreeSlots, hadFreeSlots)
}

// Guards against a full server that is reported as one that refuses regardless of its
// load, and the reverse: the keys of the first one move, those of the second one do not.
func TestRefusalsAreReportedWithTheLoadOfTheServer(t *testing.T) {
	for load, want := range map[string]bool{"1 0 4": true, "4 0 4": false, "1 2 4": false, "": false} {
		t.Run("load "+load, func(t *testing.T) {
			tf := newTestForwarder(t, func(string) string {
				return strings.ReplaceAll("HTTP/1.1 503 Service Unavailable\nNot-Run: 1\nLoad: "+load+"\nContent-Length: 0\n\n", "\n", "\r\n")
			})
			stats := &refusalStats{}
			tf.Stats = stats
			tf.Egress = egress.New(egress.Headers{
				RequestID: "Request-Id", DeadlineMS: "Deadline-Ms", Customer: "Customer", ExpectServer: "Expect-Server",
				NotRun: "Not-Run", Seal: "Seal", Load: "Load",
				ParseLoad: func(v string) (l egress.Load, ok bool) {
					n, _ := fmt.Sscan(v, &l.Running, &l.Waiting, &l.Slots)
					return l, n == 3
				},
			})
			tf.Serve(context.Background(), newRequest("/r/x"))
			stats.mu.Lock()
			defer stats.mu.Unlock()
			require.NotEmpty(t, stats.hadFreeSlots)
			for _, got := range stats.hadFreeSlots {
				require.Equal(t, want, got)
			}
		})
	}
}
