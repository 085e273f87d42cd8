package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/internal/httphead"
	"godwitlock.example/godwitlock/topo"
)

// maxReplyBytes limits the size of the reply to a control command. A list of
// 16,384 slices takes less than 1 MB.
const maxReplyBytes = 2 << 20

// HeldSlice is a slice that a server holds, with the fence of its grant.
type HeldSlice struct {
	Slice topo.SliceID `json:"slice"`
	topo.Fence
}

// Reply is a server's reply to a control command.
type Reply struct {
	// BootID changes when the server has lost its grants and its clock.
	BootID string `json:"boot_id"`
	// ClockMS is the reading of the server's own monotonic clock in ms.
	ClockMS int64 `json:"clock_ms"`
	// Term is the highest term that the server has accepted.
	Term topo.Term `json:"term"`
	// Accepted is false if the command was refused; Reason says why.
	Accepted bool `json:"accepted"`
	// ExpiresMS is the end of the server's lease on the server's own clock, in
	// ms; 0 means that it has no lease.
	ExpiresMS int64       `json:"expires_ms"`
	Slices    []HeldSlice `json:"slices"`
	Reason    string      `json:"reason"`
}

// Health is a server's report of its own state. It may be stale or wrong.
type Health struct {
	Status string `json:"status"`
	BootID string `json:"boot_id"`
	// Cold is true while the server is in a cold start, as after a reboot.
	Cold bool `json:"cold"`
}

// Load is a server's report of its load. It may be stale or wrong.
type Load struct {
	Running  int     `json:"running"`
	Capacity int     `json:"capacity"`
	Rate     float64 `json:"rate_per_second"`
}

// command is the JSON body of a control command.
type command struct {
	Term      topo.Term      `json:"term"`
	Seq       uint64         `json:"seq,omitempty"`
	Slices    []topo.SliceID `json:"slices,omitempty"`
	ExpiresMS int64          `json:"expires_ms,omitempty"`
	BootID    string         `json:"boot_id,omitempty"`
}

// Control sends control commands to one backend server over connections
// reserved for them. A command that failed may have taken effect; all commands
// may be repeated.
type Control struct {
	addr      string
	transport *http.Transport
}

// NewControl returns a control client for server. If dial is nil, it uses TCP.
func NewControl(server topo.BackendServer, dial DialFunc) *Control {
	return &Control{addr: server.Addr, transport: newTransport(controlConns, true, dial)}
}

// Close closes idle connections.
func (c *Control) Close() { c.transport.CloseIdleConnections() }

// Grant grants slices to the server under fence, and sets the end of its lease
// to expiresMS on the server's clock in boot bootID.
func (c *Control) Grant(ctx context.Context, fence topo.Fence, slices []topo.SliceID, expiresMS int64, bootID string) (Reply, error) {
	return c.command(ctx, "/control/grant", command{fence.Term, fence.Seq, slices, expiresMS, bootID})
}

// Renew sets the end of the server's lease to expiresMS on the server's clock
// in boot bootID.
func (c *Control) Renew(ctx context.Context, term topo.Term, expiresMS int64, bootID string) (Reply, error) {
	return c.command(ctx, "/control/renew", command{Term: term, ExpiresMS: expiresMS, BootID: bootID})
}

// Revoke revokes slices that were granted under fence or a lower one.
func (c *Control) Revoke(ctx context.Context, fence topo.Fence, slices []topo.SliceID) (Reply, error) {
	return c.command(ctx, "/control/revoke", command{Term: fence.Term, Seq: fence.Seq, Slices: slices})
}

// Claims returns the slices and the lease that the server claims to hold.
func (c *Control) Claims(ctx context.Context, term topo.Term) (Reply, error) {
	return c.command(ctx, "/control/claims", command{Term: term})
}

// Health requests the server's report of its own state.
func (c *Control) Health(ctx context.Context) (h Health, err error) {
	err = c.roundTrip(ctx, http.MethodGet, "/health", nil, &h)
	return h, err
}

// Load requests the server's report of its load.
func (c *Control) Load(ctx context.Context) (l Load, err error) {
	err = c.roundTrip(ctx, http.MethodGet, "/load", nil, &l)
	return l, err
}

func (c *Control) command(ctx context.Context, path string, cmd command) (r Reply, err error) {
	body, err := json.Marshal(cmd)
	if err != nil {
		return Reply{}, errors.Trace(err)
	}
	err = c.roundTrip(ctx, http.MethodPost, path, body, &r)
	return r, err
}

// roundTrip sends one request and decodes the reply. It does not follow
// redirects. net/http may send the body twice, which is safe because all
// commands may be repeated.
func (c *Control) roundTrip(ctx context.Context, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(httphead.WithTrace(ctx), method, "http://"+c.addr+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return errors.Annotatef(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s %s: expected status 200, got %d", method, path, resp.StatusCode)
	}
	limited := io.LimitReader(resp.Body, maxReplyBytes)
	if err := json.NewDecoder(limited).Decode(reply); err != nil {
		return errors.Annotatef(err, "%s %s: decoding the reply", method, path)
	}
	// Reads the rest of the body, so that the connection is reused.
	_, _ = io.Copy(io.Discard, limited)
	return nil
}
