package node

import (
	"bytes"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/declog"
	"godwitlock.example/godwitlock/metric"
)

// Guards against a task that fails a few times and holds up itself and all others
// for the back-off of the supervisor.
func TestFailingTaskDoesNotHoldUpOthers(t *testing.T) {
	for name, fail := range map[string]func() error{
		"error": func() error { return errors.New("fails") },
		"panic": func() error { panic("fails") },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var out bytes.Buffer
				n := &Node{log: declog.New(&out, "a"), metrics: metric.New()}
				ctx, cancel := context.WithCancel(context.Background())
				failures, otherRuns := 0, 0
				sup := n.supervise([]task{
					{"failing", func(context.Context) error { failures++; return fail() }},
					{"other", func(ctx context.Context) error {
						if otherRuns++; otherRuns == 1 {
							time.Sleep(time.Second)
							return errors.New("fails once")
						}
						<-ctx.Done()
						return ctx.Err()
					}},
				})
				done := sup.ServeBackground(ctx)
				time.Sleep(10 * time.Second)
				synctest.Wait()
				cancel()
				<-done
				require.Equal(t, 2, otherRuns, "the other task was not started again")
				require.Greater(t, failures, 10, "the failing task was not started again")
				require.Less(t, failures, 30, "the failing task takes the processor")
				require.Len(t, logLines(t, n.log, &out, "task_failed"), failures+1)
			})
		})
	}
}
