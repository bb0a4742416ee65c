// Command oleanderlab runs stand-ins for the platform, engines and plain services that
// routers work with, and tools that send load to routers, measure them and compare
// their policies.
package main

import (
	"os"

	"github.com/oleanderpick/oleanderpick/internal/labcommands"
)

func main() {
	os.Exit(labcommands.New(os.Stdout, os.Stderr, os.Getenv).Run(os.Args[1:]))
}
