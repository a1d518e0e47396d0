// Command stand-3 runs the cases of the third review: it starts the programs as the deploy
// file does, with stand-ins for clients, backend servers and the platform.
//
// # Usage
//
//	stand-3 CASE FOLDER
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 in the environment, the disruption is left out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken is a broken rule.
type errBroken string

func (e errBroken) Error() string { return string(e) }

var cases = map[string]func(caseDir string, trouble bool) error{
	"early":  runEarly,
	"stall":  runStall,
	"poison": runPoison,
	"leave":  runLeave,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-3 CASE FOLDER")
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		os.Exit(2) // the processes end with their parent
	}()
	err := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	switch err.(type) {
	case nil:
		fmt.Println("the rule held")
	case errBroken:
		fmt.Println("the rule was broken:", err)
		os.Exit(1)
	default:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
}
