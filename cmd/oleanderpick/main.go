// Command oleanderpick runs instances of the router and validates resource manifests
// and settings files.
package main

import (
	"os"

	"github.com/oleanderpick/oleanderpick/internal/commands"
)

func main() {
	os.Exit(commands.New(os.Stdout, os.Stderr, os.Getenv).Run(os.Args[1:]))
}
