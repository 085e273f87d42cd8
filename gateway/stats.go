package gateway

import (
	"expvar"
	"log"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"godwitlock.example/godwitlock/errkind"
)

// The first refusalLogBurst refusals of each second are logged, then one in
// refusalLogSample, so that a flood of bad requests cannot flood the log.
const (
	refusalLogBurst  = 100
	refusalLogSample = 100
)

// stats holds the counters of a Gateway.
type stats struct {
	vars                 *expvar.Map
	requests             expvar.Int
	inFlight             expvar.Int
	refusals             *expvar.Map
	aborted              expvar.Int
	callersGone          expvar.Int
	requestBytes         expvar.Int
	responseBytes        expvar.Int
	durationMicroseconds expvar.Int
}

func newStats() *stats {
	s := &stats{vars: new(expvar.Map).Init(), refusals: new(expvar.Map).Init()}
	s.vars.Set("requests_total", &s.requests)
	s.vars.Set("running_requests", &s.inFlight)
	s.vars.Set("refusals_total", s.refusals)
	s.vars.Set("aborted_responses_total", &s.aborted)
	s.vars.Set("callers_gone_total", &s.callersGone)
	s.vars.Set("request_body_bytes_total", &s.requestBytes)
	s.vars.Set("response_body_bytes_total", &s.responseBytes)
	s.vars.Set("request_duration_microseconds_total", &s.durationMicroseconds)
	return s
}

// logEntry holds the values logged about one request. It never contains the
// caller key.
type logEntry struct {
	id, callerRequestID string
	proto               string
	method              string
	route               string
	service             string
	customer            string
	server              string
	status              int
	err                 error
	aborted             bool
	bytesIn, bytesOut   int64
}

// record counts a finished request and logs it.
func (g *Gateway) record(e *logEntry, elapsed time.Duration) {
	s := g.stats
	s.requestBytes.Add(e.bytesIn)
	s.responseBytes.Add(e.bytesOut)
	s.durationMicroseconds.Add(elapsed.Microseconds())
	if e.err == nil {
		e.write(g.successLog.Info(), elapsed)
		return
	}
	kind := errkind.Of(e.err)
	switch {
	case kind == errkind.CallerGone:
		s.callersGone.Add(1)
	case e.aborted:
		s.aborted.Add(1)
	default:
		s.refusals.Add(kind.String(), 1)
	}
	e.write(g.refusalLog.Warn().Err(e.err).Stringer("kind", kind).
		Stringer("outcome", kind.Answer().Outcome).Bool("aborted", e.aborted), elapsed)
}

func (e *logEntry) write(ev *zerolog.Event, elapsed time.Duration) {
	ev.Str("request_id", e.id).Str("caller_request_id", e.callerRequestID).Str("proto", e.proto).
		Str("method", e.method).Str("route", e.route).Str("service", e.service).
		Str("customer", e.customer).Str("server", e.server).Int("status", e.status).
		Int64("request_bytes", e.bytesIn).Int64("response_bytes", e.bytesOut).
		Dur("duration_ms", elapsed).Msg("request finished")
}

func sampledLogs(c Config) (success, refusal zerolog.Logger) {
	success = c.Log.Sample(&zerolog.BasicSampler{N: c.LogEvery})
	refusal = c.Log.Sample(&zerolog.BurstSampler{
		Burst: refusalLogBurst, Period: time.Second,
		NextSampler: &zerolog.BasicSampler{N: refusalLogSample},
	})
	return success, refusal
}

// errorLog writes net/http's own messages to the log at debug level: most of
// them are about callers that closed a connection early.
type errorLog struct{ log zerolog.Logger }

// Write implements io.Writer.
func (l errorLog) Write(p []byte) (int, error) {
	l.log.Debug().Str("message_of", "net/http").Msg(strings.TrimSpace(string(p)))
	return len(p), nil
}

func newErrorLog(l zerolog.Logger) *log.Logger { return log.New(errorLog{l}, "", 0) }
