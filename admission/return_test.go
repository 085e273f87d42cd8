package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/topo"
)

// TestBlockIsReturnedOnlyByItsVM guards against accepting the return of a block from
// a VM that did not draw it. The VM that drew the block may still spend its tokens,
// so they must not be issued again.
func TestBlockIsReturnedOnlyByItsVM(t *testing.T) {
	start := time.Unix(1000, 0)
	l := NewLedger(1, start)
	require.NoError(t, l.SetCustomer(start, "c", Rate{PerSecond: 100, Burst: 200}))
	now := start.Add(2 * time.Second)
	draw := func(vm topo.VMID, returns ...Return) DrawReply {
		return l.Draw(now, DrawRequest{VM: vm, Wants: []Want{{Customer: "c", Tokens: 10}}, Returns: returns})
	}
	reply := draw("a")
	require.Len(t, reply.Blocks, 1)
	block := reply.Blocks[0]
	_, outstanding := l.Balance(now, "c")
	back := Return{Term: block.Term, Block: block.ID, Customer: "c", Tokens: block.Tokens}
	l.Draw(now, DrawRequest{VM: "b", Returns: []Return{back}})
	_, after := l.Balance(now, "c")
	require.Equal(t, outstanding, after, "another VM returned the block")
	l.Draw(now, DrawRequest{VM: "a", Returns: []Return{back}})
	_, after = l.Balance(now, "c")
	require.Less(t, after, outstanding)
}
