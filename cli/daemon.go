package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/daemon"
	"godwitlock.example/godwitlock/membudget"
	"godwitlock.example/godwitlock/settings"
)

// DaemonMain runs the daemon until SIGINT or SIGTERM and returns its exit status:
// 0 after a graceful shutdown, 1 if it could not start or a request was aborted,
// 2 for invalid settings.
func DaemonMain(args []string, stderr io.Writer) int {
	cfg, err := settings.Load(args, os.ReadFile, stderr)
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	if err != nil {
		for line := range strings.Lines(err.Error()) {
			_, _ = fmt.Fprintln(stderr, "godwitlockd:", strings.TrimSpace(line))
		}
		return 2
	}
	level, err := zerolog.ParseLevel(cfg.LogLevel)
	if err != nil {
		level = zerolog.InfoLevel
	}
	log := zerolog.New(stderr).Level(level).With().Timestamp().Logger()
	if limit := membudget.CollectorLimit(cfg.MemoryMB << 20); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
	d, err := daemon.Listen(cfg, daemon.Options{Log: log})
	if err != nil {
		_, _ = fmt.Fprintln(stderr, "godwitlockd:", err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := d.Run(ctx); err != nil {
		_, _ = fmt.Fprintln(stderr, "godwitlockd:", err)
		return 1
	}
	return 0
}
