// Command godwitlockd is the daemon. Every VM runs the same program; roles such as
// controller and home VM are acquired by lease.
package main

import (
	"os"

	"godwitlock.example/godwitlock/cli"
)

func main() { os.Exit(cli.DaemonMain(os.Args[1:], os.Stderr)) }
