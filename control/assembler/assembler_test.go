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

func settingsOf(folder, name string) assembler.Settings {
	settings := assembler.Settings{
		Version:  parser.Version,
		Cluster:  "test",
		Name:     name,
		Listen:   name + ":7000",
		Operator: name + ":7001",
		Data:     filepath.Join(folder, name),
	}
	for _, other := range []string{"a", "b", "c"} {
		settings.Members = append(settings.Members, messenger.Member{Name: other, Address: other + ":7000"})
	}
	return settings
}

// health asks a process how it is, over the in-memory network.
func health(world *disrupter.World, name string) (int, assembler.Health) {
	client := &http.Client{Transport: &http.Transport{
		DialContext:       dialer(world),
		DisableKeepAlives: true,
	}}
	var answer assembler.Health
	response, err := client.Get("http://" + name + ":7001/health")
	if err != nil {
		return 0, answer
	}
	defer func() { _ = response.Body.Close() }()
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer
}

func TestGroupElectsAndStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := disrupter.New(time.Millisecond)
		folder := t.TempDir()
		var processes []*assembler.Process
		for _, name := range []string{"a", "b", "c"} {
			settings := settingsOf(folder, name)
			qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
			process, err := assembler.New(settings, assembler.Options{Network: world.Node(name)})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, process.Start(t.Context()), qt.IsNil)
			processes = append(processes, process)
		}
		time.Sleep(3 * time.Second)
		code, first := health(world, "a")
		qt.Check(t, code, qt.Equals, http.StatusOK)
		for _, name := range []string{"b", "c"} {
			_, other := health(world, name)
			qt.Check(t, other.Leader, qt.Equals, first.Leader)
		}
		for _, process := range processes {
			qt.Check(t, process.Stop(t.Context()), qt.IsNil)
		}
	})
}

func TestStartFailures(t *testing.T) {
	folder := t.TempDir()
	held := settingsOf(folder, "b")
	qt.Assert(t, os.Mkdir(held.Data, 0o700), qt.IsNil)
	journal, _, err := journaler.Open(journaler.OS{}, held.Data, journaler.Identity{Cluster: "test", Name: "b"})
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = journal.Close() }()
	tests := []struct {
		name     string
		settings assembler.Settings
		want     error
		text     string
	}{
		{"missing folder", settingsOf(folder, "a"), journaler.ErrFolder, ".*/a .create it.*"},
		{"locked folder", held, journaler.ErrLocked, ".*/b .stop the other.*"},
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

func TestCheck(t *testing.T) {
	tests := []struct {
		name   string
		change func(*assembler.Settings)
		field  string
	}{
		{"good", func(*assembler.Settings) {}, ""},
		{"no version", func(s *assembler.Settings) { s.Version = 0 }, "version"},
		{"no cluster", func(s *assembler.Settings) { s.Cluster = "" }, "cluster"},
		{"no data", func(s *assembler.Settings) { s.Data = "" }, "data"},
		{"no port", func(s *assembler.Settings) { s.Listen = "a" }, "listen"},
		{"bad log", func(s *assembler.Settings) { s.Log = "xml" }, "log"},
		{"stranger", func(s *assembler.Settings) { s.Name = "d" }, "members"},
		{"twice", func(s *assembler.Settings) { s.Members[2].Name = "b" }, "members[2].name"},
		{"bad address", func(s *assembler.Settings) { s.Members[1].Address = "b" }, "members[1].address"},
		{"join with members", func(s *assembler.Settings) { s.Join = true }, "members"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			settings := settingsOf("data", "a")
			test.change(&settings)
			field, _ := settings.Check()
			qt.Check(t, field, qt.Equals, test.field)
		})
	}
}

func dialer(world *disrupter.World) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return world.Node("desk").Dial(ctx, address)
	}
}

// fullDisk takes no writes until it has room.
type fullDisk struct {
	journaler.OS
	room atomic.Bool
}

func (d *fullDisk) Create(path string) (journaler.File, error) {
	if !d.room.Load() {
		return nil, syscall.ENOSPC
	}
	return d.OS.Create(path)
}

// A replica that starts on a full disk waits for room instead of ending.
func TestStartOnAFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := disrupter.New(time.Millisecond)
		settings := settingsOf(t.TempDir(), "a")
		qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
		disk := new(fullDisk)
		process, err := assembler.New(settings, assembler.Options{Network: world.Node("a"), Disk: disk})
		qt.Assert(t, err, qt.IsNil)
		time.AfterFunc(5*time.Second, func() { disk.room.Store(true) })
		begun := time.Now()
		qt.Assert(t, process.Start(t.Context()), qt.IsNil)
		qt.Check(t, time.Since(begun) < 6*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(begun)))
		qt.Assert(t, process.Stop(t.Context()), qt.IsNil)
	})
}

// A start that is given up while the disk is full says why.
func TestStartOnAFullDiskIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		settings := settingsOf(t.TempDir(), "a")
		qt.Assert(t, os.Mkdir(settings.Data, 0o700), qt.IsNil)
		process, err := assembler.New(settings, assembler.Options{Network: disrupter.New(time.Millisecond).Node("a"), Disk: new(fullDisk)})
		qt.Assert(t, err, qt.IsNil)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		err = process.Start(ctx)
		qt.Check(t, errors.Is(err, journaler.ErrWrite), qt.IsTrue, qt.Commentf("got %v", err))
	})
}
