package bench

import (
	"context"
	"io"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"godwitlock.example/godwitlock/load"
	"godwitlock.example/godwitlock/standin/server"
	"godwitlock.example/godwitlock/topo"
)

// The routing policies that a run can measure.
const (
	// Current routes with the daemons of this repository.
	Current = "current"
	// Naive routes with a baseline proxy that hashes keys over the live servers.
	Naive = "naive"
)

// Options are the parameters of a run.
type Options struct {
	Policy   string
	Seed     uint64
	Duration time.Duration
	Log      zerolog.Logger
	// Progress receives progress lines; nil discards them.
	Progress io.Writer
}

// Result holds the metrics and violations of a run.
type Result struct {
	Workload   string     `json:"workload"`
	Policy     string     `json:"policy"`
	Seed       uint64     `json:"seed"`
	Measures   Measures   `json:"measures"`
	Violations Violations `json:"promises"`
	// Evidence describes attempts that violate a guarantee.
	Evidence []string            `json:"evidence,omitempty"`
	Load     []load.GroupSummary `json:"load"`
}

// Run runs a workload with its faults under a policy and evaluates the records.
func Run(ctx context.Context, w *Workload, opt Options) (*Result, error) {
	recording, err := performRun(ctx, w, opt)
	if err != nil {
		return nil, errors.Annotatef(err, "%s under %s", w.Name, opt.Policy)
	}
	return &Result{
		Workload: w.Name, Policy: opt.Policy, Seed: opt.Seed,
		Measures: Measure(recording), Violations: CountViolations(recording), Evidence: Evidence(recording), Load: load.Summarise(recording.Calls),
	}, nil
}

// performRun applies load and faults to a new deployment and returns the recording.
func performRun(ctx context.Context, w *Workload, opt Options) (*Recording, error) {
	d, err := start(ctx, w, opt.Policy, opt.Log)
	if err != nil {
		return nil, err
	}
	defer d.close()
	t := newTimeline(opt.Duration)
	plan := w.plan(t, opt.Duration, opt.Seed, d.targets, d.callerKey)
	plan.Progress = opt.Progress
	recording := &Recording{Rates: map[topo.CustomerID]Rate{}, Flooder: flooder, Prober: prober}
	for _, c := range customers() {
		recording.Rates[c.id] = c.Rate
	}
	for _, svc := range d.doc.Services {
		if svc.Name == w.KeyedService {
			recording.KeyedServers = len(svc.Servers)
		}
	}
	script := &faultScript{d: d, w: w, t: t, recording: recording, started: time.Now()}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() (err error) {
		recording.Calls, err = load.Run(ctx, plan)
		return err
	})
	group.Go(func() error { return script.runSteps(ctx) })
	if err := group.Wait(); err != nil {
		return nil, err
	}
	recording.Executions, err = d.executions()
	return recording, err
}

// faultScript injects the faults of a run at their scheduled times.
type faultScript struct {
	d         *deployment
	w         *Workload
	t         timeline
	recording *Recording
	started   time.Time
}

// step is one action of the fault script, at a time since the start of the run.
type step struct {
	at  time.Duration
	run func(context.Context) error
}

func (f *faultScript) runSteps(ctx context.Context) error {
	f.recording.Steady = f.span(f.t.steady, f.t.dataCentreRemoval)
	f.recording.Slowed = f.span(f.t.slowServers, f.t.restoreSpeed)
	f.recording.Transitions = []Span{f.span(f.t.dataCentreRemoval, f.t.dataCentreReturn), f.span(f.t.dataCentreReturn, f.t.slowServers)}
	for _, s := range []step{
		{f.t.dataCentreRemoval, f.removeDataCentre}, {f.t.dataCentreReturn, f.restoreDataCentre},
		{f.t.slowServers, f.slowServers(slowFactor)}, {f.t.restoreSpeed, f.slowServers(1)},
		{f.t.loseServer, f.loseServer}, {f.t.returnServer, f.returnServer},
	} {
		if !sleep(ctx, time.Until(f.started.Add(s.at))) {
			return ctx.Err()
		}
		if err := s.run(ctx); err != nil {
			return errors.Annotatef(err, "fault at %v", s.at)
		}
	}
	return nil
}

func (f *faultScript) span(from, to time.Duration) Span {
	return Span{f.started.Add(from), f.started.Add(to)}
}

func (f *faultScript) removeDataCentre(ctx context.Context) error {
	if err := f.d.setOutOfService(ctx, f.w.RemovedDataCentre, true); err != nil {
		return err
	}
	f.recording.Outages = append(f.recording.Outages, Outage{DataCentre: f.w.RemovedDataCentre, From: time.Now()})
	return nil
}

func (f *faultScript) restoreDataCentre(ctx context.Context) error {
	// The outage ends before the call, because the data centre may receive
	// requests before the change is acknowledged.
	f.recording.Outages[0].To = time.Now()
	return f.d.setOutOfService(ctx, f.w.RemovedDataCentre, false)
}

// slowServers multiplies the service time of the first slowedServers servers of the
// keyed service by factor.
func (f *faultScript) slowServers(factor float64) func(context.Context) error {
	return func(context.Context) error {
		for _, svc := range f.d.doc.Services {
			if svc.Name != f.w.KeyedService {
				continue
			}
			for _, s := range svc.Servers[:slowedServers] {
				f.d.Servers[s.ID].Apply(server.Faults{SlowFactor: &factor})
			}
		}
		return nil
	}
}

// loseServer kills the server that executed the latest probe of the first probed
// key, so that at least one probed key loses its server.
func (f *faultScript) loseServer(context.Context) error {
	var id topo.ServerID
	var latest time.Time
	for server, s := range f.d.Servers {
		for _, r := range s.Records() {
			if r.Key == "probe-0" && r.Start.After(latest) {
				id, latest = server, r.Start
			}
		}
	}
	if id == "" {
		return errors.New("no server has executed a request for key probe-0")
	}
	f.recording.ServerLosses = append(f.recording.ServerLosses, ServerLoss{Server: id, LostAt: time.Now()})
	f.d.KillServer(id)
	return nil
}

func (f *faultScript) returnServer(context.Context) error {
	f.recording.ServerLosses[0].ReturnedAt = time.Now()
	return f.d.RestartServer(f.recording.ServerLosses[0].Server)
}
