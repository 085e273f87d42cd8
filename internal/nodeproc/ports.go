package nodeproc

import (
	"fmt"
	"net"
	"sync"

	"github.com/juju/errors"
)

// The ports of the processes lie below those that the kernel gives to outgoing
// connections, so that they stay free until a process listens and during a restart. Each
// test binary that runs takes a block of ports and keeps its first one open.
const (
	firstPort, lastPort = 12000, 32000
	portsPerBlock       = 1000
)

var (
	portsMu sync.Mutex
	// portBlock is the listener on the first port of the block, nextPort the next port
	// to try for a process.
	portBlock net.Listener
	nextPort  int
)

func listen(port int) (net.Listener, error) {
	return net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
}

// FreeAddrs returns n loopback addresses with free ports in ascending order. It does
// not reserve them.
func FreeAddrs(n int) ([]string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for first := firstPort; portBlock == nil; first += portsPerBlock {
		if first >= lastPort {
			return nil, errors.New("no free block of ports below the range for outgoing connections")
		}
		if lis, err := listen(first); err == nil {
			portBlock, nextPort = lis, first+1
		}
	}
	var out []string
	for ; len(out) < n; nextPort++ {
		if lis, err := listen(nextPort); err == nil {
			out = append(out, lis.Addr().String())
			_ = lis.Close()
		}
	}
	return out, nil
}
