// Command stage plays a case of the review: it starts instances of `oleanderpick relay` as processes, and
// stand-ins of the platform's store, the servers and the clients in its own process, all on loopback addresses.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

// play is a case. It returns errBroken if the rule was broken.
type play func(s *stage, hasTrouble bool) error

// plays are the cases by name.
var plays = map[string]play{
	"restart-forgets": playRestartForgets,
}

func main() {
	name := flag.String("case", "", "the case to play")
	relay := flag.String("relay", "target/oleanderpick", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	hasTrouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	os.Exit(run(plays[*name], *relay, *recordPath, *hasTrouble))
}

// run plays a case and returns the exit code.
func run(played play, relay, recordPath string, hasTrouble bool) int {
	if played == nil {
		fmt.Fprintln(os.Stderr, "no such case")

		return exitCannotRun
	}
	s, err := newStage(relay, recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitCannotRun
	}
	err = played(s, hasTrouble)
	s.close()
	switch {
	case errors.Is(err, errBroken):
		fmt.Println("BROKEN:", err)

		return 1
	case err != nil:
		fmt.Fprintln(os.Stderr, "could not run:", err)

		return exitCannotRun
	}
	fmt.Println("held")

	return 0
}
