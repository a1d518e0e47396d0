// Command stand plays one case of the review: it starts the project's own programs as
// separate processes, with stand-ins for the backends, the clients, the operator and the
// platform, and checks one rule.
//
// # Usage
//
//	stand CASE FOLDER
//
// FOLDER gets record.txt. The exit code is 1 if the rule was broken, 0 if it held and 2 if
// the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout bounds a case.
	caseTimeout = 110 * time.Second
)

// cases are the cases by name. Each returns the number of times that it saw the rule broken.
var cases = map[string]func(s *stage) int{
	"withdrawn":      playWithdrawn,
	"second-refusal": playSecondRefusal,
	"truncated-body": playTruncatedBody,
	"foreign-beat":   playForeignBeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(cases[os.Args[1]], os.Args[2]))
}

func playCase(play func(s *stage) int, folder string) (code int) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	s := newStage(file, os.Getenv("TROUBLE") != "0")
	defer s.close()
	defer func() {
		if failure := recover(); failure != nil {
			if _, ok := failure.(notRun); !ok {
				panic(failure)
			}
			s.note("the case could not run: %v", failure)
			fmt.Println("the case could not run:", failure)
			code = exitNotRun
		}
	}()
	time.AfterFunc(caseTimeout, func() {
		fmt.Println("the case could not run: it took too long")
		s.close()
		os.Exit(exitNotRun)
	})
	broken := play(s)
	s.note("rule broken %d times, disruption %t", broken, s.trouble)
	fmt.Printf("rule broken %d times, disruption %t\n", broken, s.trouble)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}

// notRun is the panic of a case that could not run.
type notRun string

// giveUp ends a case that cannot run.
func giveUp(format string, values ...any) {
	panic(notRun(fmt.Sprintf(format, values...)))
}
