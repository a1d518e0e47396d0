package assembler

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"time"

	"marigoldhill/control/journaler"
	"marigoldhill/kernel/logger"
	"marigoldhill/kernel/registrar"
)

// Names by which the services find each other.
const (
	journalName  = "journal"
	replicaName  = "replica"
	enrolName    = "enroller"
	linkName     = "links"
	operatorName = "operator"
)

// base holds the fields that all services share.
type base struct {
	settings Settings
	options  Options
}

// journalService opens the journal in the data directory.
type journalService struct {
	base
	journal *journaler.Journal
	stored  *journaler.Stored
}

// Name implements [registrar.Service].
func (s *journalService) Name() string { return journalName }

// Dependencies implements [registrar.Service].
func (s *journalService) Dependencies() []string { return nil }

// Start implements [registrar.Service].
func (s *journalService) Start(ctx context.Context, _ *registrar.Registrar) error {
	defer s.announce(ctx)()
	journal, stored, err := s.openWhenWritable(ctx)
	if err != nil {
		return err
	}
	if stored.TruncatedBytes > 0 {
		s.options.Log.Emit(logger.TornRecordRemoved, "bytes", stored.TruncatedBytes)
	}
	s.journal = journal
	s.stored = stored
	return nil
}

// openWhenWritable opens the data directory once the disk has room. The disk may fill up
// between the test write and the end of Open.
func (s *journalService) openWhenWritable(ctx context.Context) (*journaler.Journal, *journaler.Stored, error) {
	for {
		if err := s.waitForWritableDisk(ctx); err != nil {
			return nil, nil, Error.New("waiting for a writable disk: %w", err)
		}
		journal, stored, err := journaler.Open(s.options.Disk, s.settings.Data, s.identity())
		switch {
		case err == nil:
			return journal, stored, nil
		case !journaler.IsFull(err) || ctx.Err() != nil:
			return nil, nil, Error.New("opening the data directory: %w", err)
		}
		s.options.Log.Emit(logger.DiskUnwritable, "folder", s.settings.Data, "error", err)
		select {
		case <-time.After(diskProbeInterval):
		case <-ctx.Done():
		}
	}
}

// diskProbeInterval is the interval of test writes to a disk that is not writable.
const diskProbeInterval = 500 * time.Millisecond

// waitForWritableDisk waits until a test write succeeds. Without it, a replica that
// restarts on a full disk would join the group and fail at its first write each time.
func (s *journalService) waitForWritableDisk(ctx context.Context) error {
	err := journaler.Probe(s.options.Disk, s.settings.Data)
	if err == nil {
		return nil
	}
	s.options.Log.Emit(logger.DiskUnwritable, "folder", s.settings.Data, "error", err)
	ticker := time.NewTicker(diskProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return err
		}
		if err = journaler.Probe(s.options.Disk, s.settings.Data); err == nil {
			s.options.Log.Emit(logger.DiskWritable, "folder", s.settings.Data)
			return nil
		}
	}
}

// identity returns the identity to be stored in an empty data directory.
func (s *journalService) identity() journaler.Identity {
	return journaler.Identity{
		Cluster:     s.settings.Cluster,
		Name:        s.settings.Name,
		Incarnation: randomNumber(),
		Founders:    s.settings.Members,
		Join:        s.settings.Join,
	}
}

// randomNumber returns a random number that is never 0.
func randomNumber() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:]) // never fails
	return binary.BigEndian.Uint64(data[:]) | 1
}

// Stop implements [registrar.Service].
func (s *journalService) Stop(context.Context) error {
	return s.journal.Close()
}
