package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", "", "folder of logs and settings")
	bin := flag.String("bin", "", "godwitlock-node")
	flag.Parse()
	f := cases[*name]
	if f == nil || *dir == "" || *bin == "" {
		fmt.Fprintln(os.Stderr, "unknown case, or no folder or program")
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		cleanup()
		os.Exit(2)
	}()
	f(newRig(*dir, *bin, os.Getenv("TROUBLE") != "0"))
}

var cases = map[string]func(*rig){"withdrawn": withdrawn, "brokenoff": brokenOff, "copied": copied, "cold": cold}
