// Command stand-2 plays the cases of the second review that are scripts. It is the platform,
// the backends, the clients and the operator of a small deployment.
//
// # Usage
//
//	stand-2 CASE FOLDER
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case could not run. With
// TROUBLE=0 nothing is disturbed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxDuration limits a case.
const maxDuration = 110 * time.Second

// play plays a case and reports whether the rule was broken.
type play func(ctx context.Context, s *stage, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"foreign":  playForeign,
	"founding": playFounding,
	"frozen":   playFrozen,
	"killed":   playKilled,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand-2 CASE FOLDER")
		return 2
	}
	s, err := newStage(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxDuration)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	broken, err := plays[os.Args[1]](ctx, s, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		return 2
	case broken:
		s.note("the rule was broken")
		return 1
	}
	s.note("the rule held")
	return 0
}
