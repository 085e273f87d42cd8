package gateway_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/call"
	"godwitlock.example/godwitlock/errkind"
	"godwitlock.example/godwitlock/gateway"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// heldMemory returns all that is held of a budget.
func heldMemory(b *membudget.Budget) (sum int64) {
	for _, p := range membudget.Purposes() {
		sum += b.Held(p)
	}
	return sum
}

// Guards against callers that make the gateway hold more than its budget, against memory
// that stays counted, and against an ordinary request that is refused afterwards.
func TestMemoryOfCallersIsBounded(t *testing.T) {
	const limit = 4 << 20
	var many strings.Builder
	for i := range 1500 {
		fmt.Fprintf(&many, "%c%c%c:\r\n", 'a'+i%26, 'a'+i/26%26, 'a'+i/676)
	}
	start := "POST /orders/k1 HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer " + testKey + "\r\n"
	for name, text := range map[string]string{
		"endless head":   start + many.String(),
		"many fields":    strings.Repeat("GET /none HTTP/1.1\r\nHost: h\r\n"+many.String()+"\r\n", 8),
		"body short":     start + "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 59999),
		"chunked short":  start + "Idempotency-Key: 01890a5d-ac96-774b-bcce-b302099a8057\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 5000),
		"nothing at all": "",
	} {
		t.Run(name, func(t *testing.T) {
			memory := membudget.New(limit)
			s := newStack(t, server.Options{}, func(c *gateway.Config) { c.Memory = memory })
			for range 300 {
				nc, err := net.Dial("tcp", s.addr)
				require.NoError(t, err)
				defer func() { _ = nc.Close() }()
				_, _ = io.WriteString(nc, text)
				require.LessOrEqual(t, heldMemory(memory), int64(limit))
			}
			// Connections are accepted some time after they were established.
			require.Eventually(t, func() bool {
				refused := int64(0)
				for _, c := range membudget.Classes() {
					refused += memory.Refused(c)
				}
				return refused > 0
			}, time.Minute, time.Millisecond)
			require.LessOrEqual(t, heldMemory(memory), int64(limit))
			require.NoError(t, s.gateway.Close())
			require.Eventually(t, func() bool { return heldMemory(memory) == 0 }, time.Minute, time.Millisecond)
		})
	}
}

// memoryOfOthers is an Admitter that leaves no memory for the body of the request.
type memoryOfOthers struct {
	gateway.Admitter
	memory *membudget.Budget
	take   atomic.Bool
}

// Reserve implements gateway.Admitter.
func (m *memoryOfOthers) Reserve(c topo.CustomerID, now time.Time) (gateway.Reservation, error) {
	if m.take.Load() {
		m.memory.Add(membudget.Responses, m.memory.Limit()-heldMemory(m.memory)-60<<10)
	}
	return m.Admitter.Reserve(c, now)
}

// Guards against a request inside the limits that is refused by the smallest budget, and
// against one that runs although there is no memory for it.
func TestRequestIsRefusedWithoutMemory(t *testing.T) {
	memory := membudget.New(membudget.CallerLimit(144 << 20))
	ran := 0
	doer := call.DoerFunc(func(_ context.Context, r *call.Request) (*call.Response, error) {
		ran++
		return &call.Response{Status: 200, Body: http.NoBody}, nil
	})
	others := &memoryOfOthers{memory: memory}
	s := newStack(t, server.Options{}, func(c *gateway.Config) {
		others.Admitter = c.Admitter
		c.Memory, c.Doer, c.Admitter = memory, doer, others
	})
	key := []string{call.HeaderIdempotencyKey, "01890a5d-ac96-774b-bcce-b302099a8057"}
	body := func() io.Reader { return bytes.NewReader(make([]byte, call.MaxBufferedBody)) }
	resp, _ := s.do(t, "POST", "/orders/k1", body(), append(key, "X-Long", strings.Repeat("x", 15000))...)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, 1, ran)
	others.take.Store(true)
	resp, _ = s.do(t, "POST", "/orders/k1", body(), key...)
	requireRefusal(t, resp, errkind.QueueFull)
	require.Equal(t, 1, ran)
	others.take.Store(false)
	memory.Give(membudget.Responses, memory.Held(membudget.Responses))
	resp, _ = s.do(t, "POST", "/orders/k1", body(), key...)
	require.Equal(t, 200, resp.StatusCode)
}
