// Command godwitlock is the operators' command line. Package cli implements it.
package main

import (
	"os"

	"godwitlock.example/godwitlock/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
