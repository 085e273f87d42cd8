package cli

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"

	"godwitlock.example/godwitlock/bound"
	"godwitlock.example/godwitlock/platform/sitefile"
)

const groupPlanning = "planning"

func boundCommand() *command {
	return &command{
		name: "bound", group: groupPlanning, args: "FILE", synopsis: "calculate what the days of a site file can be worth at most",
		help: `
Reads a site file of the platform and prints, for each of its days, an upper
bound of the worth before prices: the weighted sum, the whole day, the worst
windows, the worst kind of request and the share that is served. It counts what
arrives, what the servers can do, hot keys and lost or slow servers. It does not
count what a router may avoid or outrun, such as lost VMs, connections and
answers, an unavailable store and the time that keys take to move.

Example:
  godwitlock bound site.toml`,
		run: func(_ context.Context, s *session, args []string) error { return s.printBounds(args) },
	}
}

// boundRow is the bound of a day as it is printed.
type boundRow struct {
	Day       string  `json:"day"`
	One       float64 `json:"one"`
	Bound     float64 `json:"bound"`
	WholeDay  float64 `json:"whole_day"`
	Windows   float64 `json:"worst_windows"`
	Kind      float64 `json:"worst_kind"`
	WorstKind string  `json:"worst_kind_name"`
	Served    float64 `json:"served"`
}

func (s *session) printBounds(args []string) error {
	if err := expectArgs(args, "FILE"); err != nil {
		return err
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return err
	}
	days, err := sitefile.Decode(data)
	if err != nil {
		return err
	}
	rows := make([]boundRow, 0, len(days))
	for _, d := range days {
		r := bound.Of(d.Day)
		rows = append(rows, boundRow{d.Name, d.One, r.Total, r.Day, r.Windows, r.Kind, r.WorstKind, r.Served})
	}
	if s.json {
		return s.printJSON(rows)
	}
	w := tabwriter.NewWriter(s.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "DAY\tONE\tBOUND\tWHOLE DAY\tWORST WINDOWS\tWORST KIND\tSERVED")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f %s\t%.3f\n",
			r.Day, r.One, r.Bound, r.WholeDay, r.Windows, r.Kind, r.WorstKind, r.Served)
	}
	return w.Flush()
}
