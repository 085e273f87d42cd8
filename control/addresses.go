package control

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"godwitlock.example/godwitlock/store"
	"godwitlock.example/godwitlock/topo"
)

// vmKeyPrefix returns the key prefix of the objects in which the cell's VMs
// register their addresses.
func (n *Node) vmKeyPrefix() string { return "vm/" + string(n.cell) + "/" }

// meanRegisterRetryDelay is the mean delay between attempts to write this VM's
// addresses. Each delay is between 0.5 and 1.5 times as long, so that a restart
// of all VMs does not load the store in waves.
const meanRegisterRetryDelay = 2 * time.Second

// Register writes this VM's addresses to the store once, retrying until it
// succeeds, and then blocks until ctx ends. VMs that start later find this VM
// through the store. VMs that already run receive its addresses in heartbeat
// responses.
func (n *Node) Register(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := n.register(ctx); err == nil {
			break
		}
		sleep(ctx, meanRegisterRetryDelay/2+rand.N(meanRegisterRetryDelay))
	}
	<-ctx.Done()
	return ctx.Err()
}

func (n *Node) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	value, err := json.Marshal(n.cfg.VM)
	if err != nil {
		return errors.Trace(err)
	}
	key := n.vmKeyPrefix() + string(n.cfg.VM.ID)
	_, err = store.Update(ctx, n.cfg.Store, key, n.newWriterID(), func(old *store.Object) ([]byte, error) {
		if old != nil && bytes.Equal(old.Value, value) {
			// The stored addresses of a restarted VM are already correct.
			return nil, errNoChange
		}
		return value, nil
	})
	if errors.Is(err, errNoChange) {
		return nil
	}
	return errors.Trace(err)
}

// loadAddresses reads the addresses of the cell's VMs from the store.
func (n *Node) loadAddresses(ctx context.Context) {
	list, err := n.cfg.Store.List(ctx, n.vmKeyPrefix())
	if err != nil {
		return
	}
	for _, obj := range list.Objects {
		var vm topo.VM
		if json.Unmarshal(obj.Value, &vm) == nil {
			n.recordAddresses(vm)
		}
	}
}
