package assembler_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"marigoldhill/control/assembler"
	"marigoldhill/control/journaler"
	"marigoldhill/kernel/disrupter"
	"marigoldhill/kernel/messenger"
	"marigoldhill/kernel/parser"
)

func newSettings(directory, name string) assembler.Settings {
	settings := assembler.Settings{
		Version:  parser.Version,
		Cluster:  "test",
		Name:     name,
		Listen:   name + ":7000",
		Operator: name + ":7001",
		Data:     filepath.Join(directory, name),
	}
	for _, other := range []string{"a", "b", "c"} {
		settings.Members = append(settings.Members, messenger.Member{Name: other, Address: other + ":7000"})
	}
	return settings
}

// getHealth calls GET /health of a process over the in-memory network. It returns
// status 0 if the call fails.
func getHealth(network *disrupter.SimulatedNetwork, name string) (int, assembler.Health) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       dialFunc(network),
		DisableKeepAlives: true,
	}}
	var body assembler.Health
	response, err := client.Get("http://" + name + ":7001/health")
	if err != nil {
		return 0, body
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&body)
	return response.StatusCode, body
}

func TestGroupElectsLeaderAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := disrupter.New(time.Millisecond)
		directory := t.TempDir()
		var processes []*assembler.Process
		for _, name := range []string{"a", "b", "c"} {
			settings := newSettings(directory, name)
			qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
			process, err := assembler.New(settings, assembler.Options{Network: network.Node(name)})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, process.Start(t.Context()), qt.IsNil)
			processes = append(processes, process)
		}
		time.Sleep(3 * time.Second)
		code, first := getHealth(network, "a")
		qt.Check(t, code, qt.Equals, http.StatusOK)
		for _, name := range []string{"b", "c"} {
			_, other := getHealth(network, name)
			qt.Check(t, other.Leader, qt.Equals, first.Leader)
		}
		for _, process := range processes {
			qt.Check(t, process.Stop(t.Context()), qt.IsNil)
		}
	})
}

func TestStartFailures(t *testing.T) {
	directory := t.TempDir()
	locked := newSettings(directory, "b")
	qt.Assert(t, os.Mkdir(locked.Data, 0o700), qt.IsNil)
	journal, _, err := journaler.Open(journaler.OSDisk{}, locked.Data, journaler.Identity{Cluster: "test", Name: "b"})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = journal.Close() }()
	tests := []struct {
		name     string
		settings assembler.Settings
		want     error
		text     string
	}{
		{"missing data directory", newSettings(directory, "a"), journaler.ErrDirectoryMissing, ".*/a .create it.*"},
		{"locked data directory", locked, journaler.ErrLocked, ".*/b .stop the other.*"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			process, err := assembler.New(test.settings, assembler.Options{})
			qt.Assert(t, err, qt.IsNil)
			err = process.Start(context.Background())
			qt.Check(t, errors.Is(err, test.want), qt.IsTrue, qt.Commentf("got %v", err))
			qt.Check(t, err, qt.ErrorMatches, test.text)
		})
	}
}

func TestSettingsCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*assembler.Settings)
		field  string
	}{
		{"good", func(*assembler.Settings) {}, ""},
		{"no version", func(s *assembler.Settings) { s.Version = 0 }, "version"},
		{"no cluster", func(s *assembler.Settings) { s.Cluster = "" }, "cluster"},
		{"no data", func(s *assembler.Settings) { s.Data = "" }, "data"},
		{"listen address without port", func(s *assembler.Settings) { s.Listen = "a" }, "listen"},
		{"unknown log format", func(s *assembler.Settings) { s.Log = "xml" }, "log"},
		{"stranger", func(s *assembler.Settings) { s.Name = "d" }, "members"},
		{"twice", func(s *assembler.Settings) { s.Members[2].Name = "b" }, "members[2].name"},
		{"member address without port", func(s *assembler.Settings) { s.Members[1].Address = "b" }, "members[1].address"},
		{"join with members", func(s *assembler.Settings) { s.Join = true }, "members"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := newSettings("data", "a")
			test.change(&settings)
			field, _ := settings.Check()
			qt.Check(t, field, qt.Equals, test.field)
		})
	}
}

func dialFunc(network *disrupter.SimulatedNetwork) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Node("desk").Dial(ctx, address)
	}
}

// fullDisk is a disk on which files cannot be created until hasSpace is set.
type fullDisk struct {
	journaler.OSDisk
	hasSpace atomic.Bool
}

func (d *fullDisk) Create(path string) (journaler.File, error) {
	if !d.hasSpace.Load() {
		return nil, syscall.ENOSPC
	}
	return d.OSDisk.Create(path)
}

// A replica that starts on a full disk must wait for free space instead of failing.
func TestStartWaitsOnFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := disrupter.New(time.Millisecond)
		settings := newSettings(t.TempDir(), "a")
		qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
		disk := new(fullDisk)
		process, err := assembler.New(settings, assembler.Options{Network: network.Node("a"), Disk: disk})
		qt.Assert(t, err, qt.IsNil)
		time.AfterFunc(5*time.Second, func() { disk.hasSpace.Store(true) })
		started := time.Now()
		qt.Assert(t, process.Start(t.Context()), qt.IsNil)
		qt.Check(t, time.Since(started) < 6*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(started)))
		qt.Assert(t, process.Stop(t.Context()), qt.IsNil)
	})
}

// Guards against a process that is killed at the end of its grace period because a client has
// opened a connection and sent nothing.
func TestStopDoesNotWaitForCallsThatNeverCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := disrupter.New(time.Millisecond)
		settings := newSettings(t.TempDir(), "a")
		qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
		process, err := assembler.New(settings, assembler.Options{Network: network.Node("a")})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, process.Start(t.Context()), qt.IsNil)
		conn, err := network.Node("client").Dial(t.Context(), settings.Operator)
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		time.Sleep(100 * time.Millisecond)
		started := time.Now()
		qt.Assert(t, process.Stop(t.Context()), qt.IsNil)
		qt.Check(t, time.Since(started) < 4*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(started)))
	})
}

// A start that is canceled while the disk is full must return the write error.
func TestStartOnFullDiskTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := newSettings(t.TempDir(), "a")
		qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
		process, err := assembler.New(settings, assembler.Options{Network: disrupter.New(time.Millisecond).Node("a"), Disk: new(fullDisk)})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err = process.Start(ctx)
		qt.Check(t, errors.Is(err, journaler.ErrWriteFailed), qt.IsTrue, qt.Commentf("got %v", err))
	})
}
