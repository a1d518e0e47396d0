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

// Names of the services.
const (
	journalName  = "journal"
	replicaName  = "replica"
	enrolName    = "enroller"
	linkName     = "links"
	operatorName = "operator"
)

// part is what each service of a process has.
type part struct {
	settings Settings
	options  Options
}

// journalService opens the data folder.
type journalService struct {
	part
	journal *journaler.Journal
	stored  *journaler.Stored
}

// Name implements [registrar.Service].
func (s *journalService) Name() string { return journalName }

// Needs implements [registrar.Service].
func (s *journalService) Needs() []string { return nil }

// Start implements [registrar.Service].
func (s *journalService) Start(ctx context.Context, _ *registrar.Registrar) error {
	if err := s.awaitDisk(ctx); err != nil {
		return Error.New("waiting for the disk: %w", err)
	}
	journal, stored, err := journaler.Open(s.options.Disk, s.settings.Data, s.identity())
	if err != nil {
		return Error.New("opening the data folder: %w", err)
	}
	if stored.Cut > 0 {
		s.options.Log.Emit(logger.TornRecordCut, "bytes", stored.Cut)
	}
	s.journal = journal
	s.stored = stored
	return nil
}

// probeInterval is the time between two looks whether a disk takes writes again.
const probeInterval = 500 * time.Millisecond

// awaitDisk waits until the disk takes writes. A replica that starts on a full disk
// would join the group and fail at its first write, again and again.
func (s *journalService) awaitDisk(ctx context.Context) error {
	err := journaler.Probe(s.options.Disk, s.settings.Data)
	if err == nil {
		return nil
	}
	s.options.Log.Emit(logger.DiskLost, "folder", s.settings.Data, "error", err)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return err
		}
		if err = journaler.Probe(s.options.Disk, s.settings.Data); err == nil {
			s.options.Log.Emit(logger.DiskFound, "folder", s.settings.Data)
			return nil
		}
	}
}

// identity is the one that an empty data folder gets.
func (s *journalService) identity() journaler.Identity {
	return journaler.Identity{
		Cluster:     s.settings.Cluster,
		Name:        s.settings.Name,
		Incarnation: randomNumber(),
		Founders:    s.settings.Members,
		Join:        s.settings.Join,
	}
}

// randomNumber is a random number other than 0.
func randomNumber() uint64 {
	var data [8]byte
	_, _ = rand.Read(data[:]) // never fails
	return binary.BigEndian.Uint64(data[:]) | 1
}

// Stop implements [registrar.Service].
func (s *journalService) Stop(context.Context) error {
	return s.journal.Close()
}
