package cli

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/topo"
)

const (
	// changeInForceTimeout is the time after which a data centre that was taken
	// out must receive no new work, and a withdrawn caller key must be refused.
	changeInForceTimeout = 3 * time.Second
	// tourTimeout bounds one request of the tour, and the time until the first
	// request runs in a data centre that is back in service.
	tourTimeout = 10 * time.Second
	// tourRequests is the number of requests in the steps that check how
	// requests are distributed over servers.
	tourRequests = 40
)

// step is one step of the tour. Its run function returns a description of what it
// verified, or an error if a check failed.
type step struct {
	name string
	run  func(context.Context) (string, error)
}

// perform runs the steps of the tour in order and prints the result of each. It
// stops at the first step that fails.
func (t *tour) perform(ctx context.Context, printf func(string, ...any)) error {
	steps := []step{
		{"idempotent request", t.idempotent},
		{"exactly-once request", t.exactlyOnce},
		{"pooled service", t.pooled},
		{"owner of a key", t.owner},
		{"data centre out", t.dataCentreOut},
		{"data centre in", t.dataCentreIn},
		{"caller key withdrawn", t.callerKeyWithdrawn},
	}
	for i, s := range steps {
		result, err := s.run(ctx)
		if err != nil {
			printf("%d. %-22s FAILED\n", i+1, s.name)
			return errors.Annotatef(err, "step %d, %s", i+1, s.name)
		}
		printf("%d. %-22s %s\n", i+1, s.name, result)
	}
	printf("\nthe tour is complete: all %d steps passed\n", len(steps))
	return nil
}

// reply is the response to a request of the tour.
type reply struct {
	status int
	header http.Header
	body   string
}

// send sends a request through VM i, modulo the number of VMs.
func (t *tour) send(ctx context.Context, i int, method, path, key string, header http.Header) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, tourTimeout)
	defer cancel()
	vm := t.deployment.VMs[i%len(t.deployment.VMs)]
	req, err := http.NewRequestWithContext(ctx, method, "http://"+vm.Settings.CallerAddr+path, strings.NewReader(""))
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	for name, values := range header {
		req.Header[name] = values
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, errors.Trace(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: strings.TrimSpace(string(body))}, errors.Trace(err)
}

func (r reply) expectStatus(status int) error {
	if r.status != status {
		return errors.Errorf("got status %d (%s, %s) instead of %d", r.status,
			r.header.Get("Godwitlock-Error"), r.body, status)
	}
	return nil
}

func (t *tour) idempotent(ctx context.Context) (string, error) {
	baseline := 0
	for i := range t.deployment.VMs {
		r, err := t.send(ctx, i, http.MethodGet, "/ledger/device-42", t.callerKey.Reveal(), nil)
		if err == nil {
			err = r.expectStatus(http.StatusOK)
		}
		if err != nil {
			return "", err
		}
	}
	var ran []topo.ServerID
	for id, s := range t.deployment.Servers {
		if s.ExecutionsForKey("device-42") > baseline {
			ran = append(ran, id)
		}
	}
	if len(ran) != 1 {
		return "", errors.Errorf("requests for one key ran on %d servers instead of one: %v", len(ran), ran)
	}
	return fmt.Sprintf("6 requests through 6 VMs were all answered by %s, the key's owner", ran[0]), nil
}

func (t *tour) exactlyOnce(ctx context.Context) (string, error) {
	issued, err := t.send(ctx, 0, http.MethodPost, "/.godwitlock/idempotency-key", "", nil)
	if err != nil {
		return "", err
	}
	before := t.effects("device-43")
	header := http.Header{"Idempotency-Key": {issued.body}}
	for i := range t.deployment.VMs {
		r, err := t.send(ctx, i, http.MethodPost, "/ledger/device-43", t.callerKey.Reveal(), header)
		if err == nil {
			err = r.expectStatus(http.StatusOK)
		}
		if err != nil {
			return "", err
		}
	}
	if n := t.effects("device-43") - before; n != 1 {
		return "", errors.Errorf("the request ran %d times instead of once", n)
	}
	return "sent 6 times through 6 VMs with one idempotency key, answered 6 times, ran once", nil
}

// effects returns how many requests for a key have run on all servers together.
func (t *tour) effects(key string) int {
	n := 0
	for _, s := range t.deployment.Servers {
		n += s.ExecutionsForKey(key)
	}
	return n
}

func (t *tour) pooled(ctx context.Context) (string, error) {
	for i := range tourRequests {
		r, err := t.send(ctx, i, http.MethodGet, "/images/cover.png", t.callerKey.Reveal(), nil)
		if err == nil {
			err = r.expectStatus(http.StatusOK)
		}
		if err != nil {
			return "", err
		}
	}
	used := 0
	for id, s := range t.deployment.Servers {
		if strings.HasPrefix(string(id), "images-") && s.Stats().Executions > 0 {
			used++
		}
	}
	if used < 2 {
		return "", errors.Errorf("%d requests used only %d servers instead of at least 2", tourRequests, used)
	}
	return fmt.Sprintf("%d requests were spread over %d servers", tourRequests, used), nil
}

func (t *tour) owner(context.Context) (string, error) {
	want, ok := t.deployment.VMs[0].Daemon.Owner("ledger", "device-42")
	if !ok || want.Server == "" {
		return "", errors.New("key device-42 of service ledger has no owner")
	}
	for _, vm := range t.deployment.VMs {
		if got, _ := vm.Daemon.Owner("ledger", "device-42"); got.Server != want.Server {
			return "", errors.Errorf("VM %s reports owner %s, VM %s reports owner %s", vm.Settings.VM, got.Server, t.deployment.VMs[0].Settings.VM, want.Server)
		}
	}
	return fmt.Sprintf("all VMs report %s (slice %d, fence %s, home VM %s)", want.Server, want.Slice, want.Fence, want.HomeVM), nil
}

// executions returns the number of requests that the servers of a data centre have
// run.
func (t *tour) executions(dc topo.DataCentreName) uint64 {
	var n uint64
	for _, s := range t.deployment.ServersIn(dc) {
		n += s.Stats().Executions
	}
	return n
}

// sendToManyKeys sends one request for each of tourRequests keys and returns the
// number of requests answered. It returns an error at the first one that fails.
func (t *tour) sendToManyKeys(ctx context.Context) (int, error) {
	for i := range tourRequests {
		r, err := t.send(ctx, i, http.MethodGet, fmt.Sprintf("/ledger/reader-%d", i), t.callerKey.Reveal(), nil)
		if err == nil {
			err = r.expectStatus(http.StatusOK)
		}
		if err != nil {
			return 0, err
		}
	}
	return tourRequests, nil
}

func (t *tour) dataCentreOut(ctx context.Context) (string, error) {
	if _, err := t.operator.SetDataCentreOut(ctx, "dc-b", true, false, "tour"); err != nil {
		return "", err
	}
	// Requests must also succeed while the data centre's keys move.
	for end := time.Now().Add(changeInForceTimeout); time.Now().Before(end); {
		if _, err := t.sendToManyKeys(ctx); err != nil {
			return "", errors.Annotate(err, "while the data centre is taken out of service")
		}
	}
	before := t.executions("dc-b")
	n, err := t.sendToManyKeys(ctx)
	if err != nil {
		return "", err
	}
	if ran := t.executions("dc-b") - before; ran != 0 {
		return "", errors.Errorf("%d requests ran in dc-b %v after it was taken out", ran, changeInForceTimeout)
	}
	return fmt.Sprintf("%v later, %d of %d requests ran in dc-b and all were answered", changeInForceTimeout, 0, n), nil
}

func (t *tour) dataCentreIn(ctx context.Context) (string, error) {
	if _, err := t.operator.SetDataCentreOut(ctx, "dc-b", false, false, "tour"); err != nil {
		return "", err
	}
	before := t.executions("dc-b")
	start := time.Now()
	for time.Since(start) < tourTimeout {
		if _, err := t.sendToManyKeys(ctx); err != nil {
			return "", errors.Annotate(err, "while the data centre is brought back into service")
		}
		if t.executions("dc-b") > before {
			return "requests run in dc-b again; its servers are refilled gradually", nil
		}
	}
	return "", errors.Errorf("no request ran in dc-b within %v after it was brought back into service", tourTimeout)
}

func (t *tour) callerKeyWithdrawn(ctx context.Context) (string, error) {
	sendWithKey := func(i int) (reply, error) {
		return t.send(ctx, i, http.MethodGet, "/ledger/device-42", t.keyToWithdraw.Reveal(), nil)
	}
	r, err := sendWithKey(0)
	if err == nil {
		err = r.expectStatus(http.StatusOK)
	}
	if err != nil {
		return "", errors.Annotate(err, "before the withdrawal")
	}
	if _, err := t.operator.WithdrawCallerKey(ctx, t.customer, t.keyToWithdraw.ID(), "tour"); err != nil {
		return "", err
	}
	start := time.Now()
	for i := 0; ; i++ {
		refused, err := t.refusedEverywhere(sendWithKey)
		if err != nil {
			return "", err
		}
		if refused {
			break
		}
		if time.Since(start) > changeInForceTimeout {
			return "", errors.Errorf("a VM still accepts the key %v after its withdrawal", changeInForceTimeout)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return fmt.Sprintf("refused on all VMs within %v; the other key still works", changeInForceTimeout), nil
}

func (t *tour) refusedEverywhere(sendWithKey func(int) (reply, error)) (bool, error) {
	for i := range t.deployment.VMs {
		r, err := sendWithKey(i)
		if err != nil {
			return false, err
		}
		if r.status != http.StatusUnauthorized {
			return false, nil
		}
	}
	r, err := t.send(context.Background(), 0, http.MethodGet, "/ledger/device-42", t.callerKey.Reveal(), nil)
	if err != nil {
		return false, err
	}
	return true, r.expectStatus(http.StatusOK)
}
