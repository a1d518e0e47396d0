package logger_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/kernel/logger"
)

// Without a limit, 10,000 refused requests per second flood the log. Only a limited
// number of their lines may be written, followed by the number of dropped lines.
// Lines of other events must not be dropped.
func TestRequestEventsAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := logger.New(&out, logger.FormatJSON, "router", "r1")
		for n := range 10_000 {
			log.Emit(logger.RequestUnanswered, "id", n)
			if n%1000 == 0 {
				log.Emit(logger.LeaseLost, "session", n)
			}
		}
		time.Sleep(time.Second)
		log.Emit(logger.RequestUnanswered, "id", "last")
		log.Close()
		text := out.String()
		qt.Check(t, strings.Count(text, `"event":351`), qt.Equals, 26)
		qt.Check(t, strings.Count(text, `"event":301`), qt.Equals, 10)
		qt.Check(t, text, qt.Contains, `"count":9975`)
	})
}

// blockedBuffer blocks writes until released is closed.
type blockedBuffer struct {
	bytes.Buffer
	released chan struct{}
}

func (b *blockedBuffer) Write(data []byte) (int, error) {
	<-b.released
	return b.Buffer.Write(data)
}

// A blocked output must not block Emit, because requests wait for it. The queue is
// limited, so lines beyond it are dropped and their number is logged later.
func TestBlockedOutputDoesNotBlockEmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedBuffer{released: make(chan struct{})}
		log := logger.New(out, logger.FormatJSON, "router", "r1")
		start := time.Now()
		for range 20_000 {
			log.Emit(logger.LeaseLost, "session", 1)
		}
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		close(out.released)
		synctest.Wait()
		log.Emit(logger.LeaseAcquired, "session", 2)
		log.Close()
		qt.Check(t, out.String(), qt.Contains, "log lines dropped")
		qt.Check(t, out.String(), qt.Contains, `"session":2`)
	})
}

// Guards against lines as long as the identifiers that senders choose.
func TestLongValuesAreShortened(t *testing.T) {
	var output bytes.Buffer
	log := logger.New(&output, logger.FormatJSON, "router", "r1")
	long := strings.Repeat("é", 20_000)
	log.Emit(logger.RequestFailed, "id", long, "error", errors.New(long), "key", "k1")
	log.Close()
	qt.Check(t, output.Len() < 8<<10, qt.IsTrue, qt.Commentf("%d bytes", output.Len()))
	var line map[string]any
	qt.Assert(t, json.Unmarshal(output.Bytes(), &line), qt.IsNil)
	qt.Check(t, line["key"], qt.Equals, "k1")
	qt.Check(t, strings.HasPrefix(line["id"].(string), "ééé"), qt.IsTrue)
}
