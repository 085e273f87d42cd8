package permit

import "time"

// Cause tells why a request was refused.
type Cause uint8

const (
	// NoCause is the cause of requests that are not refused.
	NoCause Cause = iota
	// NoServer: the pool has no servers.
	NoServer
	// Stalled: no server of the pool answers.
	Stalled
	// QueueFull: the pool holds the maximum number of queued requests.
	QueueFull
	// NoRoom: the requests ahead of a new one take longer than it can wait.
	NoRoom
	// Overtaken: a queued request can no longer start in time, because others precede
	// it or the servers have become slower.
	Overtaken
	// TooLate: the latest start of the request has passed. A new one had less time left
	// than its work takes.
	TooLate
	// HeldBytes: a slot was free, but its server held too many bytes of other requests.
	HeldBytes
	// Ejected: a slot was free, but its server is ejected or gets only probes.
	Ejected

	// Causes is the number of causes, with NoCause.
	Causes = int(Ejected) + 1
)

var causeNames = [Causes]string{
	"", "no_server", "stalled", "queue_full", "no_room", "overtaken", "too_late", "held_bytes", "ejected",
}

// String returns the name of the cause in logs, metrics and messages; it is empty for
// NoCause.
func (c Cause) String() string {
	if int(c) < Causes {
		return causeNames[c]
	}
	return ""
}

// ParseCause returns the cause with a name. It returns NoCause for an unknown name,
// which a VM of another version may send.
func ParseCause(name string) Cause {
	for c, n := range causeNames {
		if n == name {
			return Cause(c)
		}
	}
	return NoCause
}

// blockedFor is how long an unused free slot explains refusals: two passes over the
// queue, so that the next pass after the observation is covered.
const blockedFor = 2 * sweepInterval

// refusalCause returns the cause of a refusal that the estimated wait of a request
// leads to. cause is that of a request which could still start in time if none preceded
// it.
func (p *Pool) refusalCause(now time.Time, r Request, cause Cause) Cause {
	switch {
	case p.blocked != NoCause && now.Sub(p.blockedAt) <= blockedFor:
		return p.blocked
	case now.After(r.StartBy):
		return TooLate
	}
	return cause
}

// startsLate reports whether a request that has been offered at a time and starts now
// starts after its latest prompt start. A request without an objective does not.
func startsLate(offered, now time.Time, r Request) bool {
	hasObjective := !r.ObjectiveBy.IsZero() || r.PromptBy.After(offered)
	return hasObjective && now.After(r.PromptBy)
}
