// Command godwitlock-node is the process of one VM on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"godwitlock.example/godwitlock/node"
	"godwitlock.example/godwitlock/platform"
)

// garbagePercent lets the heap grow by this much between two collections:
// memory costs more than the collector's time.
const garbagePercent = 60

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "godwitlock-node:", err)
		os.Exit(1)
	}
}

func run() error {
	debug.SetGCPercent(garbagePercent)
	signal.Ignore(syscall.SIGPIPE)
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return err
	}
	n, err := node.Listen(set, platform.New(set.StoreAddr))
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return n.Run(ctx)
}
