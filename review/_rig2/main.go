package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases maps the names of cases to the functions that play them. The result says whether
// the rule held; an error says that the case could not run.
var cases = map[string]func(r *rig, trouble bool) (held bool, err error){}

// main plays the case of the first argument, writes its record to the second one, and
// exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(name, record string, trouble bool) int {
	r, err := newRig(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.note("the case was ended from outside")
		r.close()
		os.Exit(2)
	}()
	held, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case held:
		r.note("the rule held")
		return 0
	}
	r.note("the rule was broken")
	return 1
}
