package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/ingress"
	"godwitlock.example/godwitlock/permit"
	"godwitlock.example/godwitlock/view"
)

// recordedSlots grants slots at once and records their results.
type recordedSlots chan permit.Result

func (s recordedSlots) Acquire(context.Context, *view.Snapshot, string, permit.Request) (Slot, permit.Decision) {
	return s, permit.Decision{Verdict: permit.Granted, Server: "s1"}
}

func (s recordedSlots) Finish(r permit.Result) { s <- r }

// Guards against a stop, or a caller that disconnects, counting as a failure of the
// server whose answer is being read.
func TestAnswerCancelledWhileItIsReadIsNoFailureOfItsServer(t *testing.T) {
	for _, cause := range []string{"stop", "disconnect"} {
		t.Run(cause, func(t *testing.T) {
			tf := newTestForwarder(t, func(id string) string {
				return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nSeal: s\r\nContent-Length: 5\r\n\r\nhel"
			})
			slots := make(recordedSlots, 4)
			tf.Slots = slots
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			r := newRequest("/r/1")
			answered := make(chan *ingress.Response, 1)
			go func() { answered <- tf.Serve(ctx, r) }()
			for r.Progress.Stage() != ingress.AnswerBegun {
				time.Sleep(time.Millisecond)
			}
			if cause == "stop" {
				tf.AbandonAttempts()
			} else {
				cancel()
			}
			require.Equal(t, http.StatusBadGateway, (<-answered).Status)
			require.Equal(t, permit.Result{}, <-slots)
		})
	}
}
