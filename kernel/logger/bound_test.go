package logger_test

import (
	"bytes"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
)

// Ten thousand refusals in a second give a bounded number of lines and one that
// says how many were left out; a change of belief is never left out.
func TestLinesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := logger.New(&out, logger.FormatJSON, "router", "r1")
		for n := range 10_000 {
			log.Emit(logger.RequestEnded, "id", n)
			if n%1000 == 0 {
				log.Emit(logger.LeaseLost, "session", n)
			}
		}
		time.Sleep(time.Second)
		log.Emit(logger.RequestEnded, "id", "last")
		log.Close()
		text := out.String()
		qt.Check(t, strings.Count(text, `"event":351`), qt.Equals, 26)
		qt.Check(t, strings.Count(text, `"event":301`), qt.Equals, 10)
		qt.Check(t, text, qt.Contains, `"count":9975`)
	})
}

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	bytes.Buffer
	free chan struct{}
}

func (s *stuck) Write(data []byte) (int, error) {
	<-s.free
	return s.Buffer.Write(data)
}

func TestStuckOutputDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{free: make(chan struct{})}
		log := logger.New(out, logger.FormatJSON, "router", "r1")
		begun := time.Now()
		for range 20_000 {
			log.Emit(logger.LeaseLost, "session", 1)
		}
		qt.Check(t, time.Since(begun), qt.Equals, time.Duration(0))
		close(out.free)
		synctest.Wait()
		log.Emit(logger.LeaseGained, "session", 2)
		log.Close()
		qt.Check(t, out.String(), qt.Contains, "log lines were left out")
		qt.Check(t, out.String(), qt.Contains, `"session":2`)
	})
}
