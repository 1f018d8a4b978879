// Command fulmard is the daemon that runs on an entry host.
package main

import (
	"os"

	"fulmarcourse.example/fulmarcourse/pkg/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
