// Command godwitlock-node is the process that one VM runs on the users' platform.
// SIGHUP makes it load its settings again; SIGTERM and SIGINT stop it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/node"
	"godwitlock.example/godwitlock/platform"
)

// gcPercent is the heap growth between two garbage collections, in percent. It is
// below Go's default of 100 because memory costs more than the collector's CPU
// time.
const gcPercent = 60

func main() {
	if err := run(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, "godwitlock-node:", err)
		os.Exit(1)
	}
}

func run() error {
	debug.SetGCPercent(gcPercent)
	// Without a handler, SIGHUP would end a process that is still starting.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := hangupSignals(ctx)
	settings, err := platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	if err != nil {
		return err
	}
	if limit := membudget.CollectorLimit(settings.MemoryBytes); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	p := platform.New(settings.StoreAddr)
	p.LimitMemory(settings.MemoryBytes)
	n, err := node.Listen(settings, p)
	if err != nil {
		return err
	}
	go n.WatchSettings(ctx, hangups, func() (node.Settings, error) {
		return platform.LoadSettings(os.Getenv(platform.SettingsEnv))
	})
	return n.Run(ctx)
}

// hangupSignals returns a channel that receives a value for each SIGHUP until ctx
// ends. SIGHUPs that arrive faster than they are received are combined.
func hangupSignals(ctx context.Context) <-chan struct{} {
	signals, out := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
			}
			select {
			case out <- struct{}{}:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out
}
